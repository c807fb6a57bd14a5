#include <topaztack/base/error.hpp>

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>

using namespace topaztack;

TEST_GROUP(Error) {};

TEST(Error, EveryKindHasANameARemedyAndASectionInTheDocs)
{
    std::ifstream file(TOPAZTACK_SOURCE_DIR "/docs/ERRORS.md");
    std::stringstream page;
    page << file.rdbuf();
    const auto text = page.str();
    int kinds = 0;
    for (unsigned number = 100; number < 800; ++number) {
        const auto kind = static_cast<ErrorKind>(number);
        const bool isNumbered = kindName(kind) != kindName(ErrorKind::Internal) || kind == ErrorKind::Internal;
        if (!isNumbered)
            continue;
        ++kinds;
        CHECK_FALSE(defaultRemedy(kind).empty());
        const auto heading = "### " + std::to_string(number) + " `" + std::string(kindName(kind)) + "`";
        CHECK_TEXT(text.find(heading) != std::string::npos, heading.c_str());
    }
    CHECK_TRUE(kinds >= 35);
}
