#pragma once

#include <topaztack/base/error.hpp>
#include <topaztack/base/ids.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The INI format of settings and documents: parsing with positions, and binding to plain structs by a
/// table of key rules. Unknown sections and keys are errors.

namespace topaztack {

/// @brief One `key = value` line.
struct IniEntry {
    std::string key;
    std::string value;
    std::size_t line { 0 };
};

/// @brief A `[kind name]` header and the entries below it; the name may be empty.
struct IniSection {
    std::string kind;
    std::string name;
    std::size_t line { 0 };
    std::vector<IniEntry> entries;
};

struct IniFile {
    std::vector<IniSection> sections;
};

/// @brief One thing wrong with a file, at its position.
struct IniProblem {
    std::string file;
    std::size_t line { 0 };
    std::string key;
    std::string message;
    std::string remedy;
};

/// @brief Prints `file:line: key: what is wrong; remedy`.
std::string toText(const IniProblem& problem);

/// @brief Prints every problem, one a line.
std::string toText(const std::vector<IniProblem>& problems);

/// @brief Splits a text into sections. Every problem found is appended to `problems`; what can be read is returned.
/// @complexity linear in the text.
IniFile parseIni(std::string_view text, std::string_view fileName, std::vector<IniProblem>& problems);

/// @brief How one key of a section is read into a struct of type `Target`.
template <typename Target> struct KeyRule {
    std::string_view key;
    /// The value taken when the key is absent; "required" if it must be present.
    std::string_view fallback;
    /// What the key means and its range, as printed in docs/SETTINGS.md.
    std::string_view meaning;
    /// Stores the text's value; returns what is wrong with it, empty if nothing.
    std::string (*assign)(Target&, std::string_view);
};

inline constexpr std::string_view requiredKey = "required";

/// @brief Reads a section into `target`: each key by its rule, absent ones by their fallback.
template <typename Target>
void bindSection(const IniSection& section, std::string_view fileName, const std::vector<KeyRule<Target>>& rules,
    Target& target, std::vector<IniProblem>& problems)
{
    const auto report = [&](std::size_t line, std::string_view key, std::string message, std::string remedy) {
        problems.push_back({ std::string(fileName), line, std::string(key), std::move(message), std::move(remedy) });
    };
    for (const auto& entry : section.entries) {
        bool known = false;
        for (const auto& rule : rules)
            known = known || rule.key == entry.key;
        if (!known)
            report(entry.line, entry.key, "unknown key in [" + section.kind + "]",
                "remove it or correct its name; docs/SETTINGS.md lists the keys");
    }
    for (const auto& rule : rules) {
        const IniEntry* found = nullptr;
        for (const auto& entry : section.entries) {
            if (entry.key != rule.key)
                continue;
            if (found)
                report(entry.line, entry.key, "given twice", "keep one of the two lines");
            found = &entry;
        }
        if (!found && rule.fallback == requiredKey) {
            report(section.line, rule.key, "missing in [" + section.kind + " " + section.name + "]",
                "add it: " + std::string(rule.meaning));
            continue;
        }
        std::string wrong = rule.assign(target, found ? std::string_view(found->value) : rule.fallback);
        if (!wrong.empty())
            report(found ? found->line : section.line, rule.key, std::move(wrong), std::string(rule.meaning));
    }
}

/// @name Readers for key rules
/// Each stores the value and returns an empty text, or returns what is wrong.
/// @{
std::string readWhole(std::string_view text, std::uint64_t least, std::uint64_t most, std::uint64_t& value);
std::string readFraction(std::string_view text, double least, double most, double& value);
std::string readBool(std::string_view text, bool& value);
std::string readName(std::string_view text, std::string& value);
std::string readEndpoint(std::string_view text, Endpoint& value);
std::string readEndpoints(std::string_view text, std::vector<Endpoint>& value);
/// Number with a unit: `us`, `ms`, `s`, `min`, `h`. Decimals are rounded to microseconds.
std::string readDuration(std::string_view text, std::chrono::microseconds least, std::chrono::microseconds most,
    std::chrono::microseconds& value);
/// Whole number with an optional unit: `B`, `KiB`, `MiB`, `MB`.
std::string readSize(std::string_view text, std::uint64_t least, std::uint64_t most, std::uint64_t& value);
/// @}

/// @brief Whether a text is a legal name: letters, digits, `-`, `_`, `.`; 1 to 64 characters, no `-` first.
bool isName(std::string_view text);

} // namespace topaztack
