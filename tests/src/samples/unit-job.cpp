#include <topaztack/samples/job.hpp>

#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>
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

TEST(Job, JobHeadRoundTrips)
{
    const auto head = someHead();
    CHECK_TRUE(parseJobHead(toText(head)).value() == head);
}

// A caller may submit a job at a path with any bytes. Its head was written and could not be read: no VM could end the
// job, return its results or take it over.
TEST(Job, AHeadIsReadWhateverBytesItsPathHas)
{
    auto head = someHead();
    head.path = "/x/\xff\xe9";
    const auto read = parseJobHead(toText(head));
    CHECK_TRUE(read.has_value() && read.value() == head);
}

// A VM of an earlier version accepted the job, or it runs without workspaces.
TEST(Job, AHeadWithoutAWorkspaceIsReadAsBefore)
{
    auto head = someHead();
    CHECK_TRUE(toText(head).find("workspace") == std::string::npos);
    CHECK_TRUE(parseJobHead(toText(head)).value().workspace == WorkspaceName());
    head.workspace = WorkspaceName("w\"1");
    CHECK_TRUE(parseJobHead(toText(head)).value() == head);
    CHECK_FALSE(head == someHead());
}

TEST(Job, TruncatedOrMalformedJobHeadIsRefused)
{
    const auto text = toText(someHead());
    for (std::size_t length = 0; length < text.size(); ++length)
        CHECK_FALSE(parseJobHead(text.substr(0, length)).has_value());
    CHECK_TRUE(parseJobHead(R"({"owner": 7})").error().kind == ErrorKind::BadFrame);
}

TEST(Job, ProgressOfUnfinishedItemsRoundTrips)
{
    std::map<ItemId, ItemProgress> items;
    items[ItemId("a")] = { "one\ntwo", { WeightVersion(2), WeightVersion(3) }, 2, false };
    items[ItemId("none")] = {};
    items[ItemId("a")].softwareVersion = "v1.1";
    const auto read = parseItemProgress(toText(items)).value();
    LONGS_EQUAL(1, read.size());
    const auto& progress = read.at(ItemId("a"));
    STRCMP_EQUAL("one\ntwo", progress.output.c_str());
    CHECK_TRUE(progress.versions == items.at(ItemId("a")).versions);
    LONGS_EQUAL(2, *progress.lastEvent);
    STRCMP_EQUAL("v1.1", progress.softwareVersion.c_str());
    CHECK_FALSE(progress.isComplete);
    const auto bytes = toText(items);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(parseItemProgress(bytes.substr(0, length)).has_value());
}

TEST(Job, ResultsOfAnyLengthRoundTripThroughRows)
{
    for (const std::size_t length : { 0U, 10U, 63U, 64U, 65U, 1000U }) {
        std::vector<ResultFragment> rows;
        for (auto& fragment : splitResult(7, resultOf("a", length), 64))
            rows.push_back(std::move(fragment));
        for (auto& fragment : splitResult(8, resultOf("b", 2), 64))
            rows.push_back(std::move(fragment));
        CHECK_TRUE(std::is_sorted(rows.begin(), rows.end(),
            [](const ResultFragment& one, const ResultFragment& other) { return one.key < other.key; }));
        for (const auto& row : rows)
            CHECK_TRUE(row.value.size() <= 64);
        const auto results = joinResults(7, rows);
        LONGS_EQUAL(2, results.value().size());
        CHECK_TRUE(results.value()[0] == resultOf("a", length));
        CHECK_TRUE(results.value()[1] == resultOf("b", 2));
    }
}

// A VM of an earlier version stored what an engine had sent; one such row made the whole page unreadable.
TEST(Job, ARowWhoseTextIsNoUtf8HidesNoOther)
{
    auto spoiled = resultOf("b", 100);
    spoiled.output[50] = '\xff';
    std::vector<ResultFragment> rows;
    std::uint64_t position = 0;
    for (const auto& result : { resultOf("a", 100), spoiled, resultOf("c", 100) }) {
        for (auto& fragment : splitResult(position++, result, 64))
            rows.push_back(std::move(fragment));
    }
    const auto results = joinResults(0, rows);
    CHECK_TRUE(results.has_value());
    LONGS_EQUAL(3, results.value().size());
    CHECK_TRUE(results.value()[0] == resultOf("a", 100));
    CHECK_TRUE(results.value()[1] == ItemResult({ ItemId("b"), ItemState::Unreadable, "", {} }));
    CHECK_TRUE(results.value()[2] == resultOf("c", 100));
}

// Limits of writes and pages count bytes of JSON.
TEST(Job, SizesAreThoseOfTheSerialisedJson)
{
    CHECK_TRUE(rc::check([] {
        const auto text = *rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
        RC_ASSERT(jsonSize(text) + 2 == boost::json::serialize(boost::json::string(text)).size());
        auto result = resultOf("a", 10);
        result.output += text;
        result.score = text;
        std::size_t stored = 0;
        for (const auto& fragment : splitResult(0, result, 1000))
            stored += fragment.value.size() - 1;
        RC_ASSERT(jsonSize(result) >= stored && jsonSize(result) < stored + 200);
    }));
}

// An engine may send events without end, each with other weights, too: the versions alone exceeded a transaction.
TEST(Job, ATextOfAnyEventsHasALimitAndIsUnchangedBeyondIt)
{
    for (const auto& data : { std::string(), std::string("\x01\""), std::string(10'000, 'x') }) {
        ItemProgress progress;
        std::size_t size = 0;
        std::uint64_t number = 0;
        do {
            ++number;
            LONGS_EQUAL(size, jsonSize(progress));
        } while (appendEvent(progress, number, data, WeightVersion(number), size));
        LONGS_EQUAL(number - 1, *progress.lastEvent);
        ItemResult result;
        result.output = progress.output;
        result.versions = progress.versions;
        // The store's limit for a transaction; rows are base64.
        std::size_t stored = 0;
        for (const auto& fragment : splitResult(0, result, 49'152))
            stored += (fragment.value.size() + 2) / 3 * 4;
        CHECK_TRUE(stored < 1'000'000);
        CHECK_TRUE(jsonSize(result) > maxStoredTextBytes - 20'000);
    }
}

TEST(Job, JoiningStopsAtAGapAndAtAnIncompleteResult)
{
    std::vector<ResultFragment> rows = splitResult(0, resultOf("a", 5), 1000);
    for (auto& fragment : splitResult(2, resultOf("c", 5), 1000))
        rows.push_back(std::move(fragment));
    LONGS_EQUAL(1, joinResults(0, rows).value().size());
    auto fragments = splitResult(0, resultOf("a", 500), 64);
    fragments.pop_back();
    CHECK_TRUE(joinResults(0, fragments).value().empty());
}

TEST(Job, ProgressIsUsableOnlyIfEveryVersionIsAllowed)
{
    ItemProgress progress;
    progress.versions = { WeightVersion(4), WeightVersion(5) };
    CHECK_TRUE(satisfiesVersionRequirement(progress, WeightVersion(4), false));
    CHECK_FALSE(satisfiesVersionRequirement(progress, WeightVersion(5), false));
    CHECK_FALSE(satisfiesVersionRequirement(progress, WeightVersion(4), true));
}

TEST(Job, AScoredItemIsListableOnlyWithTheScoreOfItsOwnCall)
{
    JobItem item;
    ItemProgress progress;
    CHECK_FALSE(isListable(item, progress));
    progress.isComplete = true;
    CHECK_TRUE(isListable(item, progress));
    item.scoring = ScoringCall { RequestId("c1"), "a.example", "/s/1", "body" };
    CHECK_FALSE(isListable(item, progress));
    progress.score = ItemScore { RequestId("c0"), "stamp" };
    CHECK_FALSE(isListable(item, progress));
    progress.score = ItemScore { RequestId("c1"), "stamp" };
    CHECK_TRUE(isListable(item, progress));
    progress.isComplete = false;
    CHECK_FALSE(isListable(item, progress));
}

TEST(Job, ScoresAreKeptWithTextsAndResults)
{
    std::map<ItemId, ItemProgress> items;
    items[ItemId("a")] = { "one", { WeightVersion(2) }, 1, true, ItemScore { RequestId("c1"), "3e1b.07" } };
    CHECK_TRUE(parseItemProgress(toText(items)).value().at(ItemId("a")).score == items.at(ItemId("a")).score);
    auto result = resultOf("a", 10);
    result.score = "3e1b.07";
    CHECK_TRUE(joinResults(0, splitResult(0, result, 1000)).value().at(0) == result);
}
