#include <topaztack/control/document_diff.hpp>

#include <topaztack/base/ini.hpp>

#include <map>
#include <optional>

namespace topaztack {

namespace {

    using Entries = std::map<std::string, std::string>;

    ConfigSections readSections(std::string_view text)
    {
        std::vector<IniProblem> problems;
        ConfigSections sections;
        for (const auto& section : parseIni(text, "document", problems).sections) {
            const auto header = section.name.empty() ? section.kind : section.kind + " " + section.name;
            auto& entries = sections[header];
            for (const auto& entry : section.entries)
                entries[entry.key] = entry.value;
        }
        return sections;
    }

    template <typename Map> auto findValue(const Map& map, const std::string& key)
    {
        const auto found = map.find(key);
        return found == map.end() ? nullptr : &found->second;
    }

    template <typename Map> std::map<std::string, bool> allKeys(const Map& left, const Map& right)
    {
        std::map<std::string, bool> keys;
        for (const auto& [key, value] : left)
            keys[key] = true;
        for (const auto& [key, value] : right)
            keys[key] = true;
        return keys;
    }

    /// Differences are printed and logged, so keys of workspaces are only counted.
    std::string printable(const std::string& section, const std::string& key, const std::string* value)
    {
        if (!value || key != "keys" || !section.starts_with("workspace "))
            return value ? *value : std::string {};
        std::size_t count = 0;
        bool isInKey = false;
        for (const char letter : *value) {
            const bool isSeparator = letter == ' ' || letter == '\t' || letter == ',';
            count += !isSeparator && !isInKey ? 1 : 0;
            isInKey = !isSeparator;
        }
        return "(" + std::to_string(count) + (count == 1 ? " key)" : " keys)");
    }

    void diffEntries(
        const std::string& section, const Entries& before, const Entries& after, std::vector<DocumentChange>& changes)
    {
        for (const auto& [key, unused] : allKeys(before, after)) {
            const auto* previous = findValue(before, key);
            const auto* current = findValue(after, key);
            if (previous && current && *previous == *current)
                continue;
            changes.push_back({ section, key, printable(section, key, previous), printable(section, key, current),
                previous != nullptr, current != nullptr });
        }
    }

} // namespace

std::vector<DocumentChange> diffDocuments(std::string_view before, std::string_view after)
{
    return diffSections(readSections(before), readSections(after));
}

std::vector<DocumentChange> diffSections(const ConfigSections& previous, const ConfigSections& current)
{
    const Entries none;
    std::vector<DocumentChange> changes;
    for (const auto& [section, unused] : allKeys(previous, current)) {
        const auto* previousEntries = findValue(previous, section);
        const auto* currentEntries = findValue(current, section);
        if (!previousEntries || !currentEntries)
            changes.push_back({ section, {}, {}, {}, previousEntries != nullptr, currentEntries != nullptr });
        diffEntries(
            section, previousEntries ? *previousEntries : none, currentEntries ? *currentEntries : none, changes);
    }
    return changes;
}

std::string toText(const std::vector<DocumentChange>& changes)
{
    const auto formatLine = [](char sign, const DocumentChange& change, const std::string& value) {
        const auto entry = change.key.empty() ? std::string {} : " " + change.key + " = " + value;
        return std::string(1, sign) + " [" + change.section + "]" + entry + "\n";
    };
    std::string text;
    for (const auto& change : changes) {
        if (change.wasPresent)
            text += formatLine('-', change, change.before);
        if (change.isPresent)
            text += formatLine('+', change, change.after);
    }
    return text;
}

std::string changedKeys(const std::vector<DocumentChange>& changes)
{
    std::string text;
    for (const auto& change : changes) {
        if (change.key.empty())
            continue;
        text += (text.empty() ? "[" : ", [") + change.section + "] " + change.key;
    }
    return text;
}

} // namespace topaztack
