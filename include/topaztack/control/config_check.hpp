#pragma once

#include <topaztack/control/document_diff.hpp>
#include <topaztack/control/route_table.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Finds mistakes in configurations that the parser accepts: entries that never apply, and limits that contradict each
/// other. Pure functions over what the parsers return.

namespace topaztack {

enum class FindingSeverity : std::uint8_t {
    /// A part of the configuration can't work.
    Error,
    /// It works, but probably not as meant.
    Warning,
};

/// @brief One thing wrong with a configuration.
struct ConfigFinding {
    FindingSeverity severity { FindingSeverity::Error };
    /// The entry, such as `route booking` or `rollout.ini:12: pool`.
    std::string where;
    std::string what;
    std::string remedy;

    bool operator==(const ConfigFinding&) const = default;
};

/// @brief Prints `where: what; remedy`; warnings begin with `warning: `.
std::string toText(const ConfigFinding& finding);

/// @brief Checks a gateway's configuration.
/// @complexity quadratic in the number of routes.
std::vector<ConfigFinding> checkRouteTable(const RouteTable& table);

/// @brief Checks whether a configuration can replace the one in force.
std::vector<ConfigFinding> checkReplacement(const RouteTable& inForce, const RouteTable& table);

/// @brief Parses and checks a node's document.
std::vector<ConfigFinding> checkDocument(std::string_view text, std::string_view fileName);

/// @brief The changes from one configuration to another, by route, pool and workspace. Keys are only counted; a changed
/// key shows as `other keys`.
std::vector<DocumentChange> diffRouteTables(const RouteTable& before, const RouteTable& after);

} // namespace topaztack
