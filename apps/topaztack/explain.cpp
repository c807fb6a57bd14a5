#include "commands.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <set>
#include <string_view>

namespace topaztack::cli {

namespace {

    /// A log line and its timestamp, the sort key.
    struct LogLine {
        std::string time;
        std::string text;
    };

    /// Returns the value of a `key=value` field; nothing if the line has no such key.
    std::optional<std::string_view> findField(std::string_view line, std::string_view key)
    {
        std::size_t position = 0;
        while ((position = line.find(key, position)) != std::string_view::npos) {
            const auto end = position + key.size();
            const bool isKey = (position == 0 || line[position - 1] == ' ') && end < line.size() && line[end] == '=';
            if (isKey) {
                const auto value = line.substr(end + 1);
                return value.substr(0, value.find(' '));
            }
            position = end;
        }
        return std::nullopt;
    }

    bool mentionsAnyOf(std::string_view line, const std::set<std::string>& ids)
    {
        for (const auto* key : { "id", "item", "job", "request", "server" }) {
            const auto value = findField(line, key);
            if (value && ids.contains(std::string(*value)))
                return true;
        }
        return false;
    }

    /// Whether the line is about one of the jobs as a whole, not about one of its items.
    bool isAboutWholeJob(std::string_view line, const std::set<std::string>& jobs)
    {
        const auto job = findField(line, "job");
        return job && jobs.contains(std::string(*job)) && !findField(line, "item");
    }

    bool readLogLines(const std::string& fileName, std::vector<LogLine>& lines)
    {
        std::ifstream file(fileName);
        std::string text;
        while (std::getline(file, text)) {
            const auto time = findField(text, "time");
            if (time)
                lines.push_back({ std::string(*time), text });
        }
        if (file.eof())
            return true;
        std::cerr << fileName << ": can't be read; check the name and its permissions\n";
        return false;
    }

} // namespace

int explain(const std::string& id, const std::vector<std::string>& files)
{
    std::vector<LogLine> lines;
    for (const auto& file : files) {
        if (!readLogLines(file, lines))
            return exitBadInput;
    }
    std::set<std::string> jobs;
    for (const auto& line : lines) {
        const auto job = findField(line.text, "job");
        if (job && findField(line.text, "item") == std::string_view(id))
            jobs.insert(std::string(*job));
    }
    std::erase_if(lines,
        [&](const LogLine& line) { return !mentionsAnyOf(line.text, { id }) && !isAboutWholeJob(line.text, jobs); });
    if (lines.empty()) {
        std::cerr << "no line of " << files.size() << " files mentions `" << id
                  << "`; give the log files of all VMs, and set log_level = debug to have every request logged\n";
        return exitRefused;
    }
    std::stable_sort(
        lines.begin(), lines.end(), [](const LogLine& one, const LogLine& other) { return one.time < other.time; });
    for (const auto& line : lines)
        std::cout << line.text << '\n';
    return exitSuccess;
}

} // namespace topaztack::cli
