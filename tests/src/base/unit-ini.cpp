#include <topaztack/base/ini.hpp>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace topaztack;

TEST_GROUP(Ini) { std::vector<IniProblem> problems; };

TEST(Ini, SectionsAndEntriesKeepTheirLines)
{
    const auto file = parseIni("# note\n[pool lm]\nkind = engine\n\n[limits]\nmax_body=1KiB\n", "f.ini", problems);
    CHECK_TRUE(problems.empty());
    LONGS_EQUAL(2, file.sections.size());
    STRCMP_EQUAL("lm", file.sections[0].name.c_str());
    LONGS_EQUAL(3, file.sections[0].entries[0].line);
    STRCMP_EQUAL("1KiB", file.sections[1].entries[0].value.c_str());
}

TEST(Ini, ProblemsCarryFileLineKeyAndRemedy)
{
    parseIni("[pool lm]\nnonsense\n", "f.ini", problems);
    LONGS_EQUAL(1, problems.size());
    STRCMP_EQUAL("f.ini:2: nonsense: neither a section header nor `key = value`; correct or remove the line",
        toText(problems[0]).c_str());
}

TEST(Ini, AnyInputAtAllGivesAValueOrProblems)
{
    CHECK_TRUE(rc::check("parseIni takes any text", [] {
        const auto text = *rc::gen::container<std::string>(
            rc::gen::element('[', ']', '=', '#', '\n', '\r', ' ', 'a', '\0', '\xff', '-'));
        std::vector<IniProblem> found;
        parseIni(text, "f", found);
        for (const auto& problem : found)
            RC_ASSERT(problem.line > 0U);
    }));
}

TEST(Ini, DurationsAndSizesNeedUnitsAndKeepTheirRange)
{
    using namespace std::chrono_literals;
    std::chrono::microseconds time { 0 };
    STRCMP_EQUAL("", readDuration("250ms", 1ms, 1s, time).c_str());
    CHECK_TRUE(time == 250ms);
    STRCMP_EQUAL("", readDuration("2.5s", 1ms, 3s, time).c_str());
    CHECK_TRUE(time == 2500ms);
    CHECK_FALSE(readDuration("-1s", 0ms, 3s, time).empty());
    CHECK_FALSE(readDuration("nans", 0ms, 3s, time).empty());
    CHECK_FALSE(readDuration("250", 1ms, 1s, time).empty());
    CHECK_FALSE(readDuration("2s", 1ms, 1s, time).empty());
    CHECK_FALSE(readDuration("99999999999999999999h", 1ms, 1s, time).empty());
    std::uint64_t size = 0;
    STRCMP_EQUAL("", readSize("2KiB", 1, 1 << 20, size).c_str());
    LONGS_EQUAL(2048, size);
}
