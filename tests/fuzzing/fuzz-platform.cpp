#include "mutator.hpp"

#include <platform/callers.hpp>
#include <platform/records.hpp>
#include <platform/store.hpp>
#include <platform/workers.hpp>
#include <topaztack/policy/event_stream.hpp>

#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

using namespace topaztack;
using namespace topaztack::fuzzing;

namespace {

HttpResponse answerOf(const std::string& body, unsigned status = 200)
{
    HttpResponse response;
    response.status = status;
    response.body = body;
    return response;
}

/// A decoder gives a value or an error that says what is wrong.
template <typename Decoded> void checkTyped(const Decoded& decoded)
{
    if (!decoded)
        CHECK_FALSE(decoded.error().message.empty());
}

/// A text of all events that may be a part of it, as an item's attempt makes it.
ItemResult resultOfEvents(const std::string& stream)
{
    ItemResult result;
    result.id = ItemId("i1");
    std::optional<std::uint64_t> last;
    SseReader reader;
    reader.feed(stream);
    while (const auto event = reader.nextEvent()) {
        const auto decoded = platform::decodeEvent(*event);
        if (!decoded || checkTextEvent(last, decoded.value().number, decoded.value().data))
            break;
        result.output += (last ? "\n" : "") + decoded.value().data;
        last = decoded.value().number;
        if (decoded.value().version)
            result.versions.push_back(*decoded.value().version);
    }
    return result;
}

const std::string configurationText
    = R"({"version":3,"routes":[{"name":"jobs","hostname":"a.example","prefix":"/j/","type":"rollout",)"
      R"("timeoutMs":10000,"targetLatencyMs":400,"service":"lm","maxAttempts":2,"retentionS":40.0,"runTargetMs":7500},)"
      R"({"name":"safe","hostname":"a.example","prefix":"/b/","type":"safe","timeoutMs":800,"targetLatencyMs":150,)"
      R"("trafficSplit":[{"service":"app","weight":1},{"service":"app2","weight":3}],"maxAttempts":2}],)"
      R"("services":[{"name":"lm","engine":{"slots":4,"models":[{"name":"m"}]}},{"name":"app"}],)"
      R"("tenants":[{"name":"w1","apiKeys":["k1","k2"],"priority":1},{"name":"w2","apiKeys":["k3"]}],)"
      R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"idleTimeoutMs":15000}})";

} // namespace

TEST_GROUP(FuzzPlatform) {};

TEST(FuzzPlatform, AConfigurationIsReadOrRefused)
{
    fuzz({ configurationText }, [](const std::string& text) {
        const auto decoded = platform::decodeConfiguration(text);
        checkTyped(decoded);
        if (decoded)
            CHECK_TRUE(decoded.value()->version.value() > 0);
    });
}

TEST(FuzzPlatform, AServersRecordIsReadOrRefused)
{
    fuzz({ R"({"service":"lm","address":"10.1.0.10:8000","zone":"z1","version":"1.2","slots":12,"state":"ready",)"
           R"("coldRemainingMs":0,"sequence":7,"born":1800000000123,"stage":"both",)"
           R"("models":[{"name":"m","version":3,"adapters":[]}]})" },
        [](const std::string& text) {
            const auto decoded = platform::decodeServer("i-1", text);
            checkTyped(decoded);
            if (decoded)
                CHECK_TRUE(decoded.value().endpoint.port > 0 && !decoded.value().pool.value().empty());
        });
}

TEST(FuzzPlatform, ANamedVersionIsReadOrRefused)
{
    fuzz({ R"({"model":"m","version":2})" },
        [](const std::string& text) { checkTyped(platform::decodePublishedVersion("version/m", text)); });
}

TEST(FuzzPlatform, ASubmissionIsReadOrRefused)
{
    fuzz({ R"({"step":7,"model":"m","minVersion":6,"desiredCount":12,"items":[{"id":"e5b2","path":"/j/3/91c4",)"
           R"("headers":{"Topaztack-Model":"m","Topaztack-Token-Usage":"540,400"},"body":"q83vEjRWeJA=",)"
           R"("tokenCount":940,"group":"g1002a"}]})" },
        [](const std::string& text) {
            StoredSubmission submission { JobId("j"), "a.example", "/j/1", text };
            const auto decoded = platform::decodeSubmission(submission);
            checkTyped(decoded);
            if (!decoded)
                return;
            for (const auto& item : decoded.value().items)
                CHECK_FALSE(item.id.value().empty());
        });
}

TEST(FuzzPlatform, ReportsAndEventsAreReadOrRefused)
{
    fuzz({ R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":2,)"
           R"("waiting":1,"running":12,"kvUsed":41000,"kvTotal":90000,"handles":0})" },
        [](const std::string& text) { checkTyped(platform::decodeReport(answerOf(text))); });
    fuzz({ "id: 1\ndata: a b\n\nid: 2\ndata: topaztack-weight-versions: 3\ndata: c\n\n" }, [](const std::string& text) {
        SseReader reader;
        reader.feed(text);
        while (const auto event = reader.nextEvent())
            checkTyped(platform::decodeEvent(*event));
    });
}

// Whatever a server sends: rows that hold it can be read at another VM, and so can a trainer read the page.
TEST(FuzzPlatform, ResultsOfAnyEventsAreReadBackFromRowsAndPages)
{
    constexpr std::size_t rowBytes = 64;
    const std::string text = "caf\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80";
    fuzz({ "id: 1\ndata: " + text + "\n\ntopaztack-weight-versions: 3\nid: 2\ndata: \"" + text + "\\u00e9\n\n" },
        [](const std::string& stream) {
            const auto result = resultOfEvents(stream);
            const auto rows = joinResults(0, splitResult(0, result, rowBytes));
            CHECK_TRUE(rows.has_value() && rows.value().at(0) == result);
            boost::system::error_code problem;
            const auto page = boost::json::parse(platform::encodeResults({ 1, 1, { result } }).body, problem);
            CHECK_FALSE(problem.failed());
            CHECK_TRUE(page.at("results").at(0).at("output").as_string() == result.output);
        });
}

TEST(FuzzPlatform, TheStoresAnswersAreReadOrRefused)
{
    const auto& store = platform::storeProtocol();
    fuzz({ R"({"rows":[{"table":"t","part":"","key":"k","ver":4,"value":"Ym9keQ=="},{"table":"t","part":"",)"
           R"("key":"x","ver":5,"removed":true}],"morePages":false,"ver":5,"nowMs":1})" },
        [&store](const std::string& text) {
            checkTyped(store.decodeRows(answerOf(text)));
            checkTyped(store.decodeCommit(answerOf(text, 412)));
            checkTyped(store.decodeCommit(answerOf(text)));
        });
}

TEST(FuzzPlatform, ACallersTargetIsReadOrRefused)
{
    fuzz({ "/-/lots/7c41?after=12", "/-/items/7c41?id=e5b2", "/j/1/2?x=%20", "/-/lots/" },
        [](const std::string& target) {
            HttpRequest request;
            request.target = target;
            request.headers.push_back({ "Host", "a.example" });
            checkTyped(platform::decodeCall(request));
        });
}
