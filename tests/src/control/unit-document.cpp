#include <topaztack/control/document.hpp>
#include <topaztack/control/document_diff.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;

namespace {

const std::string someDocument = "[pool p]\nkind = service\n[backend b]\npool = p\naddress = 10.0.0.1:80\n"
                                 "data_centre = z1\n[workspace one]\nkeys = first-key-of-one-00 second-key-of-one-0\n"
                                 "[workspace two]\nkeys = the-key-of-two-0000\nrank = 3\n";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::vector<IniProblem> problemsOf(const std::string& text)
{
    std::vector<IniProblem> problems;
    parseDocument(text, "f.ini", problems);
    return problems;
}

} // namespace

TEST_GROUP(Document) {};

TEST(Document, WorkspacesHaveKeysAndARank)
{
    std::vector<IniProblem> problems;
    const auto document = parseDocument(someDocument, "f.ini", problems);
    CHECK_TRUE(problems.empty());
    LONGS_EQUAL(2, document.workspaces.size());
    LONGS_EQUAL(0, document.workspaces[0].rank);
    LONGS_EQUAL(3, document.workspaces[1].rank);
    CHECK_TRUE(findWorkspace(document.workspaceKeys, "second-key-of-one-0") == WorkspaceName("one"));
    CHECK_TRUE(findWorkspace(document.workspaceKeys, "the-key-of-two-0000") == WorkspaceName("two"));
}

// Problems are printed and logged, so none may quote a key.
TEST(Document, KeysThatAreMissingShortOrSharedAreProblemsThatNameNoKey)
{
    const std::vector<std::string> wrongDocuments { replaced(someDocument, "the-key-of-two-0000", "short-key"),
        replaced(someDocument, "the-key-of-two-0000", "first-key-of-one-00"),
        replaced(someDocument, "the-key-of-two-0000", ","),
        replaced(someDocument, "keys = the-key-of-two-0000\n", "") };
    for (const auto& text : wrongDocuments) {
        const auto problems = problemsOf(text);
        LONGS_EQUAL(1, problems.size());
        STRCMP_EQUAL("keys", problems[0].key.c_str());
        for (const char* key : { "short-key", "first-key" })
            CHECK_TRUE((problems[0].message + problems[0].remedy).find(key) == std::string::npos);
    }
}

TEST(Document, ADifferenceCountsKeysAndShowsNone)
{
    const auto after = replaced(replaced(someDocument, "second-key-of-one-0", ""), "rank = 3", "rank = 1");
    STRCMP_EQUAL("- [workspace one] keys = (2 keys)\n+ [workspace one] keys = (1 key)\n"
                 "- [workspace two] rank = 3\n+ [workspace two] rank = 1\n",
        toText(diffDocuments(someDocument, after)).c_str());
    STRCMP_EQUAL("- [workspace two] keys = (1 key)\n+ [workspace two] keys = (1 key)\n",
        toText(diffDocuments(someDocument, replaced(someDocument, "the-key-of-two", "new-key-of-two"))).c_str());
}
