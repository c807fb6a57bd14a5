#include <topaztack/control/settings_page.hpp>

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>

using namespace topaztack;

TEST_GROUP(SettingsPage) {};

TEST(SettingsPage, GeneratedPageEqualsTheOneInDocs)
{
    std::ifstream file(TOPAZTACK_SOURCE_DIR "/docs/SETTINGS.md");
    std::stringstream page;
    page << file.rdbuf();
    STRCMP_EQUAL(settingsPage().c_str(), page.str().c_str());
}
