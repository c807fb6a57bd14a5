#pragma once

#include "node_client.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// @file
/// The commands; each function returns the exit code.

namespace topaztack::cli {

inline constexpr int exitSuccess = 0;
/// The node refused the request or could not be reached.
inline constexpr int exitRefused = 1;
/// check() found something.
inline constexpr int exitFindings = 1;
/// An invalid document, file or option.
inline constexpr int exitBadInput = 2;
/// It could not be determined whether the change took effect.
inline constexpr int exitUnknown = 3;

/// @brief A document to be accepted, and the header values of the request.
struct AcceptOptions {
    std::string text;
    std::uint64_t base { 0 };
    /// Operation id; empty to generate one. The id of an earlier attempt makes the request a repetition of that
    /// attempt, and its response tells the outcome.
    std::string operation;
    std::string author;
};

/// @brief Prints what is wrong with a configuration: a node's document, or the platform's configuration in JSON. With
/// `against`, also the differences from that file.
/// @return exitFindings if something is wrong, exitBadInput if a file can't be read.
int check(const std::string& fileName, const std::string& against, bool isJson);
int acceptFile(const NodeAccess& access, const std::string& fileName, AcceptOptions options);

/// @brief Sends the document and, if the response is lost, asks every node for the state of the operation.
int accept(const NodeAccess& access, AcceptOptions options);

/// @brief Accepts the document of version `revertVersion` again, as a new version on top of the base.
int revert(const NodeAccess& access, std::uint64_t revertVersion, AcceptOptions options);

/// @brief Prints the difference between two documents. Each is a file name or the number of an accepted version. If
/// `right` is empty, prints the difference from the document in force to `left`.
int diff(const NodeAccess& access, const std::string& left, const std::string& right);

int show(const NodeAccess& access, const std::string& version);
int history(const NodeAccess& access);
int status(const NodeAccess& access, bool isJson);
int dump(const NodeAccess& access);
int drain(const NodeAccess& access);

/// @brief Prints in time order the log lines that mention an id. For an item, this includes the lines about the whole
/// job that it belongs to.
int explain(const std::string& id, const std::vector<std::string>& files);

} // namespace topaztack::cli
