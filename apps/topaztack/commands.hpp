#pragma once

#include "node_client.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// @file
/// What each command does; each returns the exit code.

namespace topaztack::cli {

inline constexpr int exitGood = 0;
/// The node said no, or could not be reached.
inline constexpr int exitRefused = 1;
/// A bad document, file or option.
inline constexpr int exitBadInput = 2;
/// It can't be found out whether the change took effect.
inline constexpr int exitUnknown = 3;

/// @brief A document on its way to be accepted.
struct AcceptOptions {
    std::string text;
    std::uint64_t base { 0 };
    /// Empty to draw a new one; that of an earlier try finds out what became of it.
    std::string operation;
    std::string author;
};

int check(const std::string& fileName);
int acceptFile(const Access& access, const std::string& fileName, AcceptOptions options);

/// @brief Sends the document and, if the answer is lost, asks every node what became of it.
int accept(const Access& access, AcceptOptions options);

/// @brief Accepts the document of version `to` again, as a new version on top of the base.
int revert(const Access& access, std::uint64_t to, AcceptOptions options);

/// @brief Prints the difference of two documents, each a file or, if it is a number, an accepted version; an empty
/// right one stands for the document in force.
int diff(const Access& access, const std::string& left, const std::string& right);

int show(const Access& access, const std::string& version);
int history(const Access& access);
int status(const Access& access, bool isJson);
int dump(const Access& access);
int drain(const Access& access);

/// @brief Prints, in order of time, the lines of log files that speak of an id, and of the job that an item belongs to.
int explain(const std::string& id, const std::vector<std::string>& files);

} // namespace topaztack::cli
