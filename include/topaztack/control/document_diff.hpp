#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The difference of two documents by section and key.

namespace topaztack {

/// @brief One key that differs. An absent value is empty. A section that was added or removed is a separate change with
/// an empty key.
struct DocumentChange {
    /// As written in the header, such as `pool lm-rollout`.
    std::string section;
    std::string key;
    std::string before;
    std::string after;
    bool wasPresent { true };
    bool isPresent { true };

    bool operator==(const DocumentChange&) const = default;
};

/// @brief The entries of each section by key.
using ConfigSections = std::map<std::string, std::map<std::string, std::string>>;

/// @brief All changes from one set of sections to another, sorted by section and key.
std::vector<DocumentChange> diffSections(const ConfigSections& before, const ConfigSections& after);

/// @brief All changes from one document to another, sorted by section and key. Comments and the order of entries are
/// ignored.
/// @complexity n log n in the entries.
std::vector<DocumentChange> diffDocuments(std::string_view before, std::string_view after);

/// @brief Formats one line for each side of a change: `- [section] key = before` and `+ [section] key = after`.
std::string toText(const std::vector<DocumentChange>& changes);

/// @brief Lists each changed key as `[section] key`, separated by commas.
std::string changedKeys(const std::vector<DocumentChange>& changes);

} // namespace topaztack
