#include "form.hpp"

#include <topaztack/control/document.hpp>
#include <topaztack/wire/http.hpp>

#include <algorithm>

namespace topaztack::console {

namespace {

    constexpr std::size_t sectionLimit = 10000;

    std::string decode(std::string_view text) { return queryParameter("/?v=" + std::string(text), "v"); }

    template <typename Target> std::vector<FormKey> keysOfRules(const std::vector<KeyRule<Target>>& rules)
    {
        std::vector<FormKey> keys;
        keys.reserve(rules.size());
        for (const auto& rule : rules)
            keys.push_back({ rule.key, rule.fallback, rule.meaning });
        return keys;
    }

    /// A value stays on its line, whatever the browser sent.
    std::string oneLine(std::string text)
    {
        std::replace_if(
            text.begin(), text.end(), [](unsigned char c) { return c < 0x20; }, ' ');
        return text;
    }

    std::string valueOf(const FormFields& fields, const std::string& name)
    {
        const auto place = fields.find(name);
        return place == fields.end() ? std::string {} : oneLine(place->second);
    }

    bool isEmpty(const FormSection& section)
    {
        return section.kind != "limits" && section.name.empty()
            && std::all_of(
                section.values.begin(), section.values.end(), [](const auto& entry) { return entry.second.empty(); });
    }

    struct Position {
        std::size_t section;
        std::string key;
    };

    void placeProblem(
        std::vector<FormSection>& sections, const std::map<std::size_t, Position>& lines, const IniProblem& problem)
    {
        if (sections.empty())
            return;
        const auto place = lines.find(problem.line);
        auto& section = sections[place == lines.end() ? 0 : place->second.section];
        const auto keys = keysOf(section.kind);
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
        std::string spaced(value);
        std::replace(spaced.begin(), spaced.end(), '+', ' ');
        fields[decode(pair.substr(0, equals))] = decode(spaced);
        body.remove_prefix(std::min(end + 1, body.size()));
    }
    return fields;
}

std::vector<FormKey> keysOf(std::string_view kind)
{
    if (kind == "pool")
        return keysOfRules(poolRules());
    if (kind == "backend")
        return keysOfRules(backendRules());
    if (kind == "trainer")
        return keysOfRules(trainerRules());
    return keysOfRules(limitsRules());
}

std::vector<FormSection> sectionsOf(std::string_view text)
{
    std::vector<IniProblem> problems;
    const auto file = parseIni(text, "document", problems);
    std::vector<FormSection> sections;
    for (const std::string kind : { "pool", "backend", "trainer", "limits" }) {
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

std::vector<FormSection> sectionsOf(const FormFields& fields)
{
    std::vector<FormSection> sections;
    for (std::size_t index = 0; index < sectionLimit; ++index) {
        const auto prefix = "s" + std::to_string(index) + ".";
        const auto kind = valueOf(fields, prefix + "kind");
        if (kind.empty())
            break;
        FormSection section { kind, valueOf(fields, prefix + "name"), {}, {} };
        for (const auto& key : keysOf(kind))
            section.values[std::string(key.key)] = valueOf(fields, prefix + "key." + std::string(key.key));
        if (valueOf(fields, prefix + "remove").empty() && !isEmpty(section))
            sections.push_back(std::move(section));
    }
    return sections;
}

std::string toDocument(std::vector<FormSection>& sections, bool& isSound)
{
    std::string text;
    std::map<std::size_t, Position> lines;
    std::size_t line = 0;
    for (std::size_t index = 0; index < sections.size(); ++index) {
        const auto& section = sections[index];
        text += "[" + section.kind + (section.name.empty() ? "" : " " + section.name) + "]\n";
        lines[++line] = { index, {} };
        for (const auto& [key, value] : section.values) {
            if (value.empty())
                continue;
            text += key + " = " + value + "\n";
            lines[++line] = { index, key };
        }
        text += "\n";
        ++line;
    }
    std::vector<IniProblem> problems;
    parseDocument(text, "document", problems);
    for (const auto& problem : problems)
        placeProblem(sections, lines, problem);
    isSound = problems.empty();
    return text;
}

} // namespace topaztack::console
