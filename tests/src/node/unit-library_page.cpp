#include <topaztack/topaztack.hpp>

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <sstream>

TEST_GROUP(LibraryPage) { static std::string readFile(const std::filesystem::path& name) { std::ifstream file(name);
std::stringstream text;
text << file.rdbuf();
return text.str();
}
}
;

TEST(LibraryPage, EveryExampleStandsInThePageAsItIsCompiled)
{
    const auto page = readFile(TOPAZTACK_SOURCE_DIR "/docs/LIBRARY.md");
    int examples = 0;
    for (const auto& entry : std::filesystem::directory_iterator(TOPAZTACK_SOURCE_DIR "/docs/examples")) {
        const auto block = "```cpp\n" + readFile(entry.path()) + "```";
        CHECK_TEXT(page.find(block) != std::string::npos, entry.path().filename().c_str());
        ++examples;
    }
    CHECK_TRUE(examples >= 2);
}
