#include <platform/callers.hpp>
#include <platform/workers.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace topaztack::platform;
using namespace std::chrono_literals;

namespace {

HttpRequest requestOf(const std::string& method, const std::string& target, std::vector<HttpHeader> headers = {})
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.headers = std::move(headers);
    return request;
}

const std::string wholeJob
    = R"({"step":7,"model":"m","minVersion":6,"desiredCount":12,"items":[)"
      R"({"id":"i1","path":"/p/1","headers":{"Topaztack-Model":"m","Topaztack-Length-Hint":"71"},)"
      R"("body":"q83vEjRWeJA=","tokenCount":940,"group":"g1"}]})";

Result<JobSpec> submitted(const std::string& body)
{
    return decodeSubmission({ JobId("j1"), "a.example", "/p/j1", body });
}

} // namespace

TEST_GROUP(Callers) {};

TEST(Callers, ARequestForARouteSaysWhoItIsAndHowLongItWaits)
{
    const auto call = decodeCall(requestOf("POST", "/x/1?a=b",
        { { "Host", "a.example" }, { "Topaztack-Request-Id", "r1" }, { "Topaztack-Deadline-Ms", "800" } }));
    CHECK_TRUE(call.value().action == CallerAction::Route);
    STRCMP_EQUAL("r1", call.value().id.value().c_str());
    STRCMP_EQUAL("a.example", call.value().host.c_str());
    CHECK_TRUE(call.value().timeLimit == 800ms);
}

TEST(Callers, AKeyIsABearerTokenInAnyCaseOfTheScheme)
{
    const auto keyOf = [](const std::string& value) {
        return decodeCall(requestOf("POST", "/x/1", { { "Authorization", value } })).value().apiKey;
    };
    for (const char* value : { "Bearer key-1", "bearer key-1", "BEARER   key-1 " })
        STRCMP_EQUAL("key-1", keyOf(value).c_str());
    for (const char* value : { "", "key-1", "Bearer", "Bearer ", "Basic key-1", "Bearerkey-1" })
        STRCMP_EQUAL("", keyOf(value).c_str());
}

// A caller could otherwise name any workspace.
TEST(Callers, AWorkspaceIsReadOnlyBesideTheMarkOfAVmThatCheckedIt)
{
    const auto forged = requestOf("POST", "/x/1", { { "Topaztack-Tenant", "w1" } });
    CHECK_TRUE(decodeCall(forged).value().workspace == WorkspaceName());
    CHECK_FALSE(decodeIdentity(forged).hasWorkspaces);
    CHECK_TRUE(decodeIdentity(forged).workspace == WorkspaceName());
    const auto relayed = encodeRelayedCall(forged, { true, WorkspaceName("w2") });
    CHECK_TRUE(decodeIdentity(relayed).hasWorkspaces);
    CHECK_TRUE(decodeIdentity(relayed).workspace == WorkspaceName("w2"));
}

TEST(Callers, CallsOfTrainersAreToldByMethodAndPath)
{
    const auto read = decodeCall(requestOf("GET", "/-/lots/j1?after=12", { { "Topaztack-Wait-Ms", "1000" } }));
    CHECK_TRUE(read.value().action == CallerAction::ReadResults);
    STRCMP_EQUAL("j1", read.value().job.value().c_str());
    LONGS_EQUAL(12, read.value().position);
    CHECK_TRUE(read.value().wait == 1s);
    const auto body = decodeCall(requestOf("GET", "/-/items/j1?id=i1"));
    CHECK_TRUE(body.value().action == CallerAction::ReadItemBody);
    STRCMP_EQUAL("i1", body.value().item.value().c_str());
    CHECK_TRUE(decodeCall(requestOf("DELETE", "/-/lots/j1")).value().action == CallerAction::EndJob);
    CHECK_TRUE(decodeCall(requestOf("POST", "/-/lots/j1")).value().action == CallerAction::Route);
}

TEST(Callers, ANumberThatIsNoneIsAnErrorThatNamesItsField)
{
    const auto bad = decodeCall(requestOf("GET", "/", { { "Topaztack-Deadline-Ms", "soon" } }));
    CHECK_TRUE(bad.error().kind == ErrorKind::BadRequest);
    CHECK_TRUE(bad.error().message.find("Topaztack-Deadline-Ms") != std::string::npos);
    CHECK_FALSE(decodeCall(requestOf("GET", "/-/lots/j?after=-1")).has_value());
    CHECK_FALSE(decodeCall(requestOf("GET", "/-/lots/j?after=99999999999999999999")).has_value());
}

TEST(Callers, ATimeThatNoClockCanHoldIsAnErrorThatNamesItsField)
{
    for (const auto* name : { "Topaztack-Deadline-Ms", "Topaztack-Wait-Ms" }) {
        const auto bad = decodeCall(requestOf("GET", "/", { { name, "18446744073709551615" } }));
        CHECK_FALSE(bad.has_value());
        CHECK_TRUE(bad.error().message.find(name) != std::string::npos);
        CHECK_TRUE(decodeCall(requestOf("GET", "/", { { name, "1000000000000" } })).has_value());
    }
}

TEST(Callers, AJobIsReadWhole)
{
    const auto job = submitted(wholeJob);
    LONGS_EQUAL(7, job.value().step.value());
    LONGS_EQUAL(6, job.value().oldestVersion.value());
    LONGS_EQUAL(12, job.value().wantedGroups);
    const auto& item = job.value().items.at(0);
    STRCMP_EQUAL("i1", item.id.value().c_str());
    STRCMP_EQUAL("/p/1", item.path.c_str());
    LONGS_EQUAL(8, item.body.size());
    LONGS_EQUAL(940, item.tokens);
    LONGS_EQUAL(71, item.expectedTokens);
    LONGS_EQUAL(2, item.headers.size());
}

TEST(Callers, AnyDamagedJobGivesAnError)
{
    for (std::size_t length = 0; length < wholeJob.size(); ++length)
        CHECK_TRUE(submitted(wholeJob.substr(0, length)).error().kind == ErrorKind::BadRequest);
    const auto missing = submitted(R"({"items":[{"id":"i1"}]})");
    CHECK_TRUE(missing.error().message.find("`path`") != std::string::npos);
    const auto wrong = submitted(R"({"items":[{"id":"i1","path":"/","body":"?"}]})");
    CHECK_TRUE(wrong.error().message.find("`body`") != std::string::npos);
}

TEST(Callers, AnEstimateThatIsNoNumberIsNone)
{
    const auto job = submitted(R"({"items":[{"id":"i","path":"/","headers":{"Topaztack-Length-Hint":"many"}}]})");
    LONGS_EQUAL(0, job.value().items.at(0).expectedTokens);
    LONGS_EQUAL(1, job.value().invalidEstimates);
}

TEST(Callers, APageOfResultsIsWrittenAsTrainersReadIt)
{
    ResultPage page;
    page.total = 40;
    page.next = 13;
    page.results.push_back({ ItemId("i1"), ItemState::Completed, "a\nb", { WeightVersion(6), WeightVersion(7) } });
    page.results.push_back({ ItemId("i2"), ItemState::Aborted, "", {} });
    STRCMP_EQUAL(R"({"total":40,"next":13,"results":[{"id":"i1","state":"completed","output":"a\nb","versions":[6,7]},)"
                 R"({"id":"i2","state":"aborted","output":"","versions":[]}]})",
        encodeResults(page).body.c_str());
}

TEST(Callers, ThePromptsTokensAreReadFromTheUsage)
{
    const auto job = submitted(R"({"items":[{"id":"i","path":"/","headers":{"Topaztack-Token-Usage":"540,400"}},)"
                               R"({"id":"k","path":"/","headers":{"Topaztack-Token-Usage":"much"}}]})");
    LONGS_EQUAL(540, job.value().items.at(0).promptTokens);
    LONGS_EQUAL(0, job.value().items.at(1).promptTokens);
    LONGS_EQUAL(1, job.value().invalidEstimates);
}

namespace {

const std::string scoredItem = R"({"id":"i1","path":"/p/1","scorerUrl":{"id":"c1","hostname":"b.example",)"
                               R"("path":"/s/1?x=2","body":"3q2+7w=="}})";

std::string withReplaced(std::string text, const std::string& before, const std::string& after)
{
    return text.replace(text.find(before), before.size(), after);
}

} // namespace

TEST(Callers, AnItemMayNameTheCallThatScoresItsText)
{
    const auto job = submitted(R"({"items":[)" + scoredItem + R"(,{"id":"i2","path":"/p/2"}]})");
    const auto& scoring = job.value().items.at(0).scoring;
    STRCMP_EQUAL("c1", scoring->id.value().c_str());
    STRCMP_EQUAL("b.example", scoring->host.c_str());
    STRCMP_EQUAL("/s/1?x=2", scoring->path.c_str());
    CHECK_TRUE(scoring->body == "\xde\xad\xbe\xef");
    CHECK_FALSE(job.value().items.at(1).scoring.has_value());
}

TEST(Callers, AMalformedScoringCallRefusesTheJobAndNamesItemAndField)
{
    const std::vector<std::pair<std::string, std::string>> damages {
        { R"("id":"c1",)", "" },
        { R"("id":"c1")", R"("id":7)" },
        { R"("id":"c1")", R"("id":"")" },
        { R"("hostname":"b.example",)", "" },
        { R"("path":"/s/1?x=2",)", "" },
        { R"(,"body":"3q2+7w==")", "" },
        { R"("body":"3q2+7w==")", R"("body":"?")" },
        { R"({"id":"c1","hostname":"b.example","path":"/s/1?x=2","body":"3q2+7w=="})", R"("c1")" },
    };
    const std::vector<std::string> fields { "id", "id", "id", "hostname", "path", "body", "body", "scorerUrl" };
    for (std::size_t index = 0; index < damages.size(); ++index) {
        const auto& [before, after] = damages[index];
        const auto job = submitted(R"({"items":[)" + withReplaced(scoredItem, before, after) + "]}");
        CHECK_TRUE(job.error().kind == ErrorKind::BadRequest);
        CHECK_TRUE(job.error().message.find("`i1`") != std::string::npos);
        CHECK_TRUE(job.error().message.find("`" + fields[index] + "`") != std::string::npos);
    }
}

TEST(Callers, AScoreStandsInItsResult)
{
    ResultPage page;
    page.total = 1;
    page.next = 1;
    page.results.push_back({ ItemId("i1"), ItemState::Completed, "a", { WeightVersion(6) }, "3e1b.07" });
    STRCMP_EQUAL(R"({"total":1,"next":1,"results":[{"id":"i1","state":"completed","output":"a","versions":[6],)"
                 R"("score":"3e1b.07"}]})",
        encodeResults(page).body.c_str());
}
