#include "form.hpp"

#include <topaztack/control/document.hpp>
#include <topaztack/wire/http.hpp>

#include <algorithm>

namespace topaztack::console {

namespace {

    constexpr std::size_t maxSections = 10000;

    std::string decodePercent(std::string_view text) { return queryParameter("/?v=" + std::string(text), "v"); }

    template <typename Target> std::vector<FormKey> toFormKeys(const std::vector<KeyRule<Target>>& rules)
    {
        std::vector<FormKey> keys;
        keys.reserve(rules.size());
        for (const auto& rule : rules)
            keys.push_back({ rule.key, rule.fallback, rule.meaning });
        return keys;
    }

    /// Replaces line breaks and other control characters by spaces, so that a value cannot add lines to the document.
    std::string replaceControlCharacters(std::string text)
    {
        std::replace_if(
            text.begin(), text.end(), [](unsigned char c) { return c < 0x20; }, ' ');
        return text;
    }

    std::string singleLineValue(const FormFields& fields, const std::string& name)
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string {} : replaceControlCharacters(found->second);
    }

    bool isEmpty(const FormSection& section)
    {
        return section.kind != "limits" && section.name.empty()
            && std::all_of(
                section.values.begin(), section.values.end(), [](const auto& entry) { return entry.second.empty(); });
    }

    struct FieldLocation {
        std::size_t section;
        std::string key;
    };

    /// Adds a problem to the field that it concerns, or to its section if the form has no such field. A problem on a
    /// line that belongs to no section goes to the first section.
    void addProblem(std::vector<FormSection>& sections, const std::map<std::size_t, FieldLocation>& locations,
        const IniProblem& problem)
    {
        if (sections.empty())
            return;
        const auto found = locations.find(problem.line);
        auto& section = sections[found == locations.end() ? 0 : found->second.section];
        const auto keys = formKeysOf(section.kind);
        const bool isField
            = std::any_of(keys.begin(), keys.end(), [&](const FormKey& known) { return known.key == problem.key; });
        auto& message = section.errors[isField ? problem.key : std::string {}];
        message += (message.empty() ? "" : "; ") + problem.message + "; " + problem.remedy;
    }

} // namespace

FormFields parseForm(std::string_view body)
{
    FormFields fields;
    while (!body.empty()) {
        const auto end = std::min(body.find('&'), body.size());
        const auto pair = body.substr(0, end);
        const auto equals = std::min(pair.find('='), pair.size());
        const auto value = equals < pair.size() ? pair.substr(equals + 1) : std::string_view {};
        std::string spacedValue(value);
        std::replace(spacedValue.begin(), spacedValue.end(), '+', ' ');
        fields[decodePercent(pair.substr(0, equals))] = decodePercent(spacedValue);
        body.remove_prefix(std::min(end + 1, body.size()));
    }
    return fields;
}

std::vector<FormKey> formKeysOf(std::string_view kind)
{
    if (kind == "pool")
        return toFormKeys(poolRules());
    if (kind == "backend")
        return toFormKeys(backendRules());
    if (kind == "trainer")
        return toFormKeys(trainerRules());
    if (kind == "workspace")
        return toFormKeys(workspaceRules());
    return toFormKeys(limitsRules());
}

std::vector<FormSection> toFormSections(std::string_view text)
{
    std::vector<IniProblem> problems;
    const auto file = parseIni(text, "document", problems);
    std::vector<FormSection> sections;
    for (const std::string kind : { "pool", "backend", "trainer", "workspace", "limits" }) {
        bool isPresent = false;
        for (const auto& section : file.sections) {
            if (section.kind != kind)
                continue;
            isPresent = true;
            FormSection form { kind, section.name, {}, {} };
            for (const auto& entry : section.entries)
                form.values[entry.key] = entry.value;
            sections.push_back(std::move(form));
        }
        if (kind != "limits" || !isPresent)
            sections.push_back({ kind, {}, {}, {} });
    }
    return sections;
}

std::vector<FormSection> toFormSections(const FormFields& fields)
{
    std::vector<FormSection> sections;
    for (std::size_t index = 0; index < maxSections; ++index) {
        const auto prefix = "s" + std::to_string(index) + ".";
        const auto kind = singleLineValue(fields, prefix + "kind");
        if (kind.empty())
            break;
        FormSection section { kind, singleLineValue(fields, prefix + "name"), {}, {} };
        for (const auto& key : formKeysOf(kind))
            section.values[std::string(key.key)] = singleLineValue(fields, prefix + "key." + std::string(key.key));
        if (singleLineValue(fields, prefix + "remove").empty() && !isEmpty(section))
            sections.push_back(std::move(section));
    }
    return sections;
}

std::string buildDocument(std::vector<FormSection>& sections, bool& isValid)
{
    std::string text;
    std::map<std::size_t, FieldLocation> locations;
    std::size_t line = 0;
    for (std::size_t index = 0; index < sections.size(); ++index) {
        const auto& section = sections[index];
        text += "[" + section.kind + (section.name.empty() ? "" : " " + section.name) + "]\n";
        locations[++line] = { index, {} };
        for (const auto& [key, value] : section.values) {
            if (value.empty())
                continue;
            text += key + " = " + value + "\n";
            locations[++line] = { index, key };
        }
        text += "\n";
        ++line;
    }
    std::vector<IniProblem> problems;
    parseDocument(text, "document", problems);
    for (const auto& problem : problems)
        addProblem(sections, locations, problem);
    isValid = problems.empty();
    return text;
}

} // namespace topaztack::console
