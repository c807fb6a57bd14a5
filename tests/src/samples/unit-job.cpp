#include <topaztack/samples/job.hpp>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace topaztack;

namespace {

JobHead someHead()
{
    JobHead head;
    head.owner = { VmName("vm-1"), Incarnation(0xfeedfacecafebeefULL) };
    head.listed = 3;
    head.total = 40;
    head.objects = 1;
    head.writes = 9;
    head.acceptedAt = std::chrono::milliseconds(1'800'000'000'123);
    head.host = "a.example";
    head.path = "/x/1";
    head.model = ModelName("m");
    head.inFlight[BackendName("i-1")] = 4;
    return head;
}

ItemResult resultOf(const std::string& id, std::size_t length)
{
    ItemResult result;
    result.id = ItemId(id);
    result.output = std::string(length, 'x') + "\n\"quoted\"";
    result.versions = { WeightVersion(2), WeightVersion(3) };
    return result;
}

} // namespace

TEST_GROUP(Job) {};

TEST(Job, AHeadIsReadAsItWasWritten)
{
    const auto head = someHead();
    CHECK_TRUE(parseJobHead(toText(head)).value() == head);
}

TEST(Job, ADamagedHeadIsAnErrorThatSaysWhat)
{
    const auto text = toText(someHead());
    for (std::size_t length = 0; length < text.size(); ++length)
        CHECK_FALSE(parseJobHead(text.substr(0, length)).has_value());
    CHECK_TRUE(parseJobHead(R"({"owner": 7})").error().kind == ErrorKind::BadFrame);
}

TEST(Job, TextsOfUnfinishedItemsAreReadAsTheyWereLeft)
{
    std::map<ItemId, ItemText> texts;
    texts[ItemId("a")] = { "one\ntwo", { WeightVersion(2), WeightVersion(3) }, 2, false };
    texts[ItemId("none")] = {};
    const auto read = parseItemTexts(toText(texts)).value();
    LONGS_EQUAL(1, read.size());
    const auto& text = read.at(ItemId("a"));
    STRCMP_EQUAL("one\ntwo", text.output.c_str());
    CHECK_TRUE(text.versions == texts.at(ItemId("a")).versions);
    LONGS_EQUAL(2, *text.lastEvent);
    CHECK_FALSE(text.isWhole);
    const auto bytes = toText(texts);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(parseItemTexts(bytes.substr(0, length)).has_value());
}

TEST(Job, ResultsOfAnyLengthComeBackFromTheirRows)
{
    for (const std::size_t length : { 0U, 10U, 63U, 64U, 65U, 1000U }) {
        std::vector<ResultPiece> rows;
        for (auto& piece : toPieces(7, resultOf("a", length), 64))
            rows.push_back(std::move(piece));
        for (auto& piece : toPieces(8, resultOf("b", 2), 64))
            rows.push_back(std::move(piece));
        CHECK_TRUE(std::is_sorted(rows.begin(), rows.end(),
            [](const ResultPiece& one, const ResultPiece& other) { return one.key < other.key; }));
        for (const auto& row : rows)
            CHECK_TRUE(row.value.size() <= 64);
        const auto results = fromPieces(7, rows);
        LONGS_EQUAL(2, results.value().size());
        CHECK_TRUE(results.value()[0] == resultOf("a", length));
        CHECK_TRUE(results.value()[1] == resultOf("b", 2));
    }
}

TEST(Job, ReadingStopsAtAGapAndAtAResultThatIsNotWhole)
{
    std::vector<ResultPiece> rows = toPieces(0, resultOf("a", 5), 1000);
    for (auto& piece : toPieces(2, resultOf("c", 5), 1000))
        rows.push_back(std::move(piece));
    LONGS_EQUAL(1, fromPieces(0, rows).value().size());
    auto pieces = toPieces(0, resultOf("a", 500), 64);
    pieces.pop_back();
    CHECK_TRUE(fromPieces(0, pieces).value().empty());
}

TEST(Job, ATextFitsOnlyIfEachOfItsVersionsDoes)
{
    ItemText text;
    text.versions = { WeightVersion(4), WeightVersion(5) };
    CHECK_TRUE(fitsVersions(text, WeightVersion(4), false));
    CHECK_FALSE(fitsVersions(text, WeightVersion(5), false));
    CHECK_FALSE(fitsVersions(text, WeightVersion(4), true));
}
