#include <topaztack/base/ini.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <type_traits>

namespace topaztack {

namespace {

    constexpr std::size_t longestName = 64;
    constexpr std::size_t longestLine = 4096;

    std::string_view trim(std::string_view text)
    {
        const auto first = text.find_first_not_of(" \t\r");
        if (first == std::string_view::npos)
            return {};
        const auto last = text.find_last_not_of(" \t\r");
        return text.substr(first, last - first + 1);
    }

    struct Unit {
        std::string_view name;
        std::uint64_t factor;
    };

    constexpr std::array timeUnits {
        Unit { "us", 1 },
        Unit { "ms", 1'000 },
        Unit { "s", 1'000'000 },
        Unit { "min", 60'000'000 },
        Unit { "h", 3'600'000'000 },
    };

    constexpr std::array sizeUnits {
        Unit { "", 1 },
        Unit { "B", 1 },
        Unit { "KiB", 1024 },
        Unit { "MiB", 1024 * 1024 },
        Unit { "MB", 1'000'000 },
    };

    /// Below the largest number that converts to an integer without loss of its sign.
    constexpr double maxScaledNumber = 9e18;

    /// @tparam Number type in which the number before the unit is read.
    template <typename Number, typename Units>
    bool readWithUnit(std::string_view text, const Units& units, std::uint64_t& value)
    {
        const char* end = text.data() + text.size();
        Number number = 0;
        const auto [stop, problem] = std::from_chars(text.data(), end, number);
        if (problem != std::errc {})
            return false;
        const auto name = trim(std::string_view(stop, static_cast<std::size_t>(end - stop)));
        for (const auto& unit : units) {
            if (unit.name != name)
                continue;
            if constexpr (std::is_floating_point_v<Number>) {
                const auto product = number * static_cast<Number>(unit.factor);
                const bool isInRange = product >= 0 && product < maxScaledNumber;
                value = isInRange ? static_cast<std::uint64_t>(std::llround(product)) : 0;
                return isInRange;
            } else {
                return !__builtin_mul_overflow(number, unit.factor, &value);
            }
        }
        return false;
    }

    std::string quoted(std::string_view text) { return "`" + std::string(text) + "`"; }

    class IniReader {
    public:
        IniReader(std::string_view fileName, std::vector<IniProblem>& problems)
            : fileName(fileName)
            , problems(problems)
        {
        }

        void readLine(std::string_view line)
        {
            ++this->lineNumber;
            if (line.size() > longestLine) {
                this->report("", "line longer than 4096 characters", "split the value");
                return;
            }
            line = trim(line);
            if (line.empty() || line.front() == '#' || line.front() == ';')
                return;
            if (line.front() == '[')
                this->readHeader(line);
            else
                this->readEntry(line);
        }

        IniFile file;

    private:
        void report(std::string_view key, std::string message, std::string remedy)
        {
            this->problems.push_back({ std::string(this->fileName), this->lineNumber, std::string(key),
                std::move(message), std::move(remedy) });
        }

        void readHeader(std::string_view line)
        {
            if (line.back() != ']') {
                this->report(line, "section header without `]`", "write `[kind name]`");
                return;
            }
            const auto inside = trim(line.substr(1, line.size() - 2));
            const auto space = inside.find_first_of(" \t");
            const auto kind = inside.substr(0, space);
            const auto name = space == std::string_view::npos ? std::string_view {} : trim(inside.substr(space));
            if (!isName(kind) || (!name.empty() && !isName(name))) {
                this->report(line, "not a section header", "write `[kind name]` with letters, digits, `-`, `_`, `.`");
                return;
            }
            for (const auto& section : this->file.sections) {
                if (section.kind == kind && section.name == name)
                    this->report(line, "section given twice", "merge it with line " + std::to_string(section.line));
            }
            this->file.sections.push_back({ std::string(kind), std::string(name), this->lineNumber, {} });
        }

        void readEntry(std::string_view line)
        {
            const auto equals = line.find('=');
            const auto key = trim(line.substr(0, equals));
            if (equals == std::string_view::npos || !isName(key)) {
                this->report(line, "neither a section header nor `key = value`", "correct or remove the line");
                return;
            }
            if (this->file.sections.empty()) {
                this->report(key, "key before the first section", "put it below a `[section]` line");
                return;
            }
            this->file.sections.back().entries.push_back(
                { std::string(key), std::string(trim(line.substr(equals + 1))), this->lineNumber });
        }

        std::string_view fileName;
        std::vector<IniProblem>& problems;
        std::size_t lineNumber { 0 };
    };

} // namespace

std::string toText(const IniProblem& problem)
{
    std::string text = problem.file + ":" + std::to_string(problem.line) + ": ";
    if (!problem.key.empty())
        text += problem.key + ": ";
    return text + problem.message + "; " + problem.remedy;
}

std::string toText(const std::vector<IniProblem>& problems)
{
    std::string text;
    for (const auto& problem : problems)
        text += toText(problem) + "\n";
    return text;
}

IniFile parseIni(std::string_view text, std::string_view fileName, std::vector<IniProblem>& problems)
{
    IniReader reader(fileName, problems);
    while (!text.empty()) {
        const auto end = text.find('\n');
        reader.readLine(text.substr(0, end));
        if (end == std::string_view::npos)
            break;
        text.remove_prefix(end + 1);
    }
    return std::move(reader.file);
}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > longestName || text.front() == '-')
        return false;
    return std::all_of(text.begin(), text.end(), [](char character) {
        const auto isBetween = [character](char least, char most) { return character >= least && character <= most; };
        return isBetween('a', 'z') || isBetween('A', 'Z') || isBetween('0', '9') || character == '-' || character == '_'
            || character == '.';
    });
}

std::string readWhole(std::string_view text, std::uint64_t least, std::uint64_t most, std::uint64_t& value)
{
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, problem] = std::from_chars(text.data(), end, number);
    if (problem != std::errc {} || stop != end)
        return quoted(text) + " is not a whole number";
    if (number < least || number > most)
        return quoted(text) + " is not in " + std::to_string(least) + ".." + std::to_string(most);
    value = number;
    return {};
}

std::string readFraction(std::string_view text, double least, double most, double& value)
{
    double number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, problem] = std::from_chars(text.data(), end, number);
    if (problem != std::errc {} || stop != end)
        return quoted(text) + " is not a number";
    if (!(number >= least && number <= most))
        return quoted(text) + " is out of range";
    value = number;
    return {};
}

std::string readBool(std::string_view text, bool& value)
{
    if (text != "yes" && text != "no")
        return quoted(text) + " is neither yes nor no";
    value = text == "yes";
    return {};
}

std::string readName(std::string_view text, std::string& value)
{
    if (!isName(text))
        return quoted(text) + " is not a name of letters, digits, `-`, `_`, `.`";
    value = std::string(text);
    return {};
}

std::string readEndpoint(std::string_view text, Endpoint& value)
{
    const auto endpoint = parseEndpoint(text);
    if (!endpoint)
        return quoted(text) + " is not IP:PORT";
    value = *endpoint;
    return {};
}

std::string readEndpoints(std::string_view text, std::vector<Endpoint>& value)
{
    value.clear();
    while (!text.empty()) {
        const auto comma = text.find(',');
        Endpoint endpoint;
        auto wrong = readEndpoint(trim(text.substr(0, comma)), endpoint);
        if (!wrong.empty())
            return wrong;
        value.push_back(endpoint);
        if (comma == std::string_view::npos)
            break;
        text.remove_prefix(comma + 1);
    }
    return {};
}

std::string readDuration(std::string_view text, std::chrono::microseconds least, std::chrono::microseconds most,
    std::chrono::microseconds& value)
{
    std::uint64_t microseconds = 0;
    if (!readWithUnit<double>(text, timeUnits, microseconds))
        return quoted(text) + " is not a number with a unit (us, ms, s, min, h)";
    if (microseconds < static_cast<std::uint64_t>(least.count())
        || microseconds > static_cast<std::uint64_t>(most.count()))
        return quoted(text) + " is out of range";
    value = std::chrono::microseconds(microseconds);
    return {};
}

std::string readSize(std::string_view text, std::uint64_t least, std::uint64_t most, std::uint64_t& value)
{
    std::uint64_t bytes = 0;
    if (!readWithUnit<std::uint64_t>(text, sizeUnits, bytes))
        return quoted(text) + " is not a whole number with a unit (B, KiB, MiB, MB)";
    if (bytes < least || bytes > most)
        return quoted(text) + " is out of range";
    value = bytes;
    return {};
}

} // namespace topaztack
