#include <platform/workers.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace topaztack::platform;
using namespace std::chrono_literals;

namespace {

ServerRecord someServer()
{
    ServerRecord server;
    server.name = BackendName("i-1");
    return server;
}

std::string headerOf(const HttpRequest& request, std::string_view name)
{
    return std::string(findHeader(request.headers, name));
}

HttpResponse answerWith(unsigned status, std::vector<HttpHeader> headers)
{
    HttpResponse response;
    response.status = status;
    response.headers = std::move(headers);
    return response;
}

SseEvent eventOf(const std::string& id, const std::string& data, std::vector<SseField> others = {})
{
    return { id, data, std::move(others) };
}

} // namespace

TEST_GROUP(Workers) {};

TEST(Workers, ARequestIsPassedOnWithItsHeadersAndTheTimeLeft)
{
    HttpRequest original;
    original.method = "PUT";
    original.target = "/x/1?y=2";
    original.body = "bytes";
    original.headers = { { "Host", "a.example" }, { "Topaztack-Request-Id", "r1" }, { "X-Own", "1" },
        { "Connection", "close" }, { "Topaztack-Deadline-Ms", "800" }, { "Topaztack-Expect-Instance", "i-9" } };
    const auto request = encodeServiceRequest(original, someServer(), 640ms, std::nullopt, {});
    STRCMP_EQUAL("PUT", request.method.c_str());
    STRCMP_EQUAL("/x/1?y=2", request.target.c_str());
    STRCMP_EQUAL("bytes", std::string(bodyToSend(request)).c_str());
    STRCMP_EQUAL("a.example", headerOf(request, "Host").c_str());
    STRCMP_EQUAL("r1", headerOf(request, "Topaztack-Request-Id").c_str());
    STRCMP_EQUAL("1", headerOf(request, "X-Own").c_str());
    STRCMP_EQUAL("640", headerOf(request, "Topaztack-Deadline-Ms").c_str());
    STRCMP_EQUAL("i-1", headerOf(request, "Topaztack-Expect-Instance").c_str());
    STRCMP_EQUAL("", headerOf(request, "Connection").c_str());
}

TEST(Workers, AnItemIsARequestOfItsOwnAndResumesAfterItsLastEvent)
{
    JobSpec job;
    job.host = "a.example";
    JobItem item;
    item.id = ItemId("i1");
    item.path = "/p/1";
    item.body = "bytes";
    item.headers = { { "Topaztack-Model", "m" } };
    const auto fresh = encodeItemRequest(job, item, someServer(), std::nullopt);
    STRCMP_EQUAL("POST", fresh.method.c_str());
    STRCMP_EQUAL("/p/1", fresh.target.c_str());
    STRCMP_EQUAL("a.example", headerOf(fresh, "Host").c_str());
    STRCMP_EQUAL("i1", headerOf(fresh, "Topaztack-Request-Id").c_str());
    STRCMP_EQUAL("m", headerOf(fresh, "Topaztack-Model").c_str());
    STRCMP_EQUAL("", headerOf(fresh, "Last-Event-Id").c_str());
    const auto resumed = encodeItemRequest(job, item, someServer(), 12);
    STRCMP_EQUAL("12", headerOf(resumed, "Last-Event-Id").c_str());
}

// A trainer could have its items run as another workspace's.
TEST(Workers, AnItemCarriesItsJobsWorkspaceAndNoOtherIdentity)
{
    JobSpec job;
    JobItem item;
    item.headers = { { "authorization", "Bearer k" }, { "topaztack-tenant", "w2" }, { "X-Own", "1" } };
    const auto plain = encodeItemRequest(job, item, someServer(), std::nullopt);
    STRCMP_EQUAL("Bearer k", headerOf(plain, "Authorization").c_str());
    STRCMP_EQUAL("w2", headerOf(plain, "Topaztack-Tenant").c_str());
    job.workspace = WorkspaceName("w1");
    const auto named = encodeItemRequest(job, item, someServer(), std::nullopt);
    STRCMP_EQUAL("", headerOf(named, "Authorization").c_str());
    STRCMP_EQUAL("w1", headerOf(named, "Topaztack-Tenant").c_str());
    STRCMP_EQUAL("1", headerOf(named, "X-Own").c_str());
}

TEST(Workers, BetweenVmsTheNameReplacesTheKeyAndIsMarkedAsChecked)
{
    HttpRequest original;
    original.headers = { { "Authorization", "Bearer k" }, { "Topaztack-Tenant", "forged" },
        { "Topaztack-Tenant-Checked", "1" }, { "Topaztack-Deadline-Ms", "800" }, { "Connection", "close" } };
    const CallerIdentity known { true, WorkspaceName("w1") };
    const auto relayed = encodeRelayedCall(original, known);
    STRCMP_EQUAL("800", headerOf(relayed, "Topaztack-Deadline-Ms").c_str());
    for (const auto& request : { relayed, encodeCarriedRequest(original, 500ms, known) }) {
        STRCMP_EQUAL("", headerOf(request, "Authorization").c_str());
        STRCMP_EQUAL("w1", headerOf(request, "Topaztack-Tenant").c_str());
        STRCMP_EQUAL("1", headerOf(request, "Topaztack-Tenant-Checked").c_str());
    }
    const auto sent = encodeServiceRequest(original, someServer(), 500ms, std::nullopt, known);
    STRCMP_EQUAL("", headerOf(sent, "Authorization").c_str());
    STRCMP_EQUAL("", headerOf(sent, "Topaztack-Tenant-Checked").c_str());
    const auto withoutWorkspaces = encodeRelayedCall(original, {});
    STRCMP_EQUAL("Bearer k", headerOf(withoutWorkspaces, "Authorization").c_str());
    STRCMP_EQUAL("", headerOf(withoutWorkspaces, "Topaztack-Tenant-Checked").c_str());
}

TEST(Workers, AScoringCallIsSentAsItWasGivenWithADeadlineOfOurs)
{
    const ScoringCall call { RequestId("c1"), "b.example", "/s/1?x=2", "bytes" };
    const auto request = encodeScoringRequest(call, someServer(), 1500ms);
    STRCMP_EQUAL("POST", request.method.c_str());
    STRCMP_EQUAL("/s/1?x=2", request.target.c_str());
    STRCMP_EQUAL("bytes", request.body.c_str());
    STRCMP_EQUAL("b.example", headerOf(request, "Host").c_str());
    STRCMP_EQUAL("c1", headerOf(request, "Topaztack-Request-Id").c_str());
    STRCMP_EQUAL("1500", headerOf(request, "Topaztack-Deadline-Ms").c_str());
    STRCMP_EQUAL("i-1", headerOf(request, "Topaztack-Expect-Instance").c_str());
}

TEST(Workers, OnlyASignOfNotRunningProvesIt)
{
    CHECK_TRUE(decodeAnswer(answerWith(503, { { "Topaztack-Not-Executed", "1" } })).saysNotRun);
    CHECK_FALSE(decodeAnswer(answerWith(503, {})).saysNotRun);
    CHECK_TRUE(decodeAnswer(answerWith(421, {})).isOtherServer);
}

TEST(Workers, AnAnswersHeadSaysWhoseItIs)
{
    const auto answer = decodeAnswer(answerWith(200,
        { { "topaztack-request-id", "r1" }, { "Topaztack-Server-Stamp", "s" }, { "Connection", "Close" },
            { "Topaztack-Weight-Versions", "6" } }));
    STRCMP_EQUAL("r1", answer.request.value().c_str());
    STRCMP_EQUAL("s", answer.serverStamp.c_str());
    CHECK_TRUE(answer.closesConnection);
    CHECK_TRUE(answer.version == WeightVersion(6));
    CHECK_FALSE(decodeAnswer(answerWith(200, { { "Topaztack-Weight-Versions", "six" } })).version.has_value());
}

TEST(Workers, AnyAnswerMayAnnounceTheServersDeparture)
{
    for (const unsigned status : { 200U, 202U, 409U, 500U, 503U })
        CHECK_TRUE(decodeAnswer(answerWith(status, { { "server-leaving", "1" } })).isLeaving);
    CHECK_FALSE(decodeAnswer(answerWith(200, { { "Server-Leaving", "0" } })).isLeaving);
    CHECK_FALSE(decodeAnswer(answerWith(200, {})).isLeaving);
}

TEST(Workers, AnswersOfAnyStatusNameTheRequestLimit)
{
    for (const auto status : { 200U, 429U, 500U, 503U })
        DOUBLES_EQUAL(2.5, *decodeAnswer(answerWith(status, { { "server-limit", "2.5" } })).requestsPerSecond, 0);
    DOUBLES_EQUAL(0, *decodeAnswer(answerWith(200, { { "Server-Limit", "0" } })).requestsPerSecond, 0);
    CHECK_FALSE(decodeAnswer(answerWith(200, {})).requestsPerSecond.has_value());
    CHECK_FALSE(decodeAnswer(answerWith(200, {})).isLimitMalformed);
}

TEST(Workers, AMalformedRequestLimitIsToldFromNone)
{
    for (const std::string text : { "-1", "nan", "inf", "1e999", "2.5/s", "many" }) {
        const auto answer = decodeAnswer(answerWith(200, { { "Server-Limit", text } }));
        CHECK_FALSE(answer.requestsPerSecond.has_value());
        CHECK_TRUE(answer.isLimitMalformed);
    }
}

TEST(Workers, AnEventNamesNewWeightsInItsFirstLine)
{
    const auto event = decodeEvent(eventOf("7", "text", { { "topaztack-weight-versions", "8" } }));
    LONGS_EQUAL(7, event.value().number);
    STRCMP_EQUAL("text", event.value().data.c_str());
    CHECK_TRUE(event.value().version == WeightVersion(8));
    CHECK_FALSE(decodeEvent(eventOf("7", "text")).value().version.has_value());
    CHECK_FALSE(decodeEvent(eventOf("", "text")).has_value());
    CHECK_FALSE(decodeEvent(eventOf("7", "text", { { "topaztack-weight-versions", "" } })).has_value());
}

TEST(Workers, AnOrderCarriesItsFenceAndTheOrdersExpectedBefore)
{
    LoadOrder order;
    order.model = ModelName("m");
    order.version = WeightVersion(2);
    order.mode = LoadMode::Continue;
    order.holder = VmName("vm-1");
    order.fencingNumber = FencingNumber(41);
    order.expectedOrders = 3;
    const auto request = encodeOrder(order, someServer());
    STRCMP_EQUAL("/-/order", request.target.c_str());
    STRCMP_EQUAL("i-1", headerOf(request, "Topaztack-Expect-Instance").c_str());
    STRCMP_EQUAL(R"({"operation":"version","model":"m","version":2,"mode":"retain","holder":"vm-1","fencingToken":41,)"
                 R"("expected":3})",
        request.body.c_str());
}

TEST(Workers, AnOrdersAnswerIsAVerdictAndAnythingElseIsUnknown)
{
    CHECK_TRUE(decodeOrder(answerWith(202, {})) == OrderResponse::Accepted);
    CHECK_TRUE(decodeOrder(answerWith(200, {})) == OrderResponse::AlreadyLoaded);
    CHECK_TRUE(decodeOrder(answerWith(409, {})) == OrderResponse::Conflict);
    CHECK_TRUE(decodeOrder(answerWith(412, {})) == OrderResponse::FencedOff);
    CHECK_TRUE(decodeOrder(answerWith(400, {})) == OrderResponse::Refused);
    CHECK_TRUE(decodeOrder(answerWith(421, {})) == OrderResponse::OtherServer);
    CHECK_TRUE(decodeOrder(answerWith(500, {})) == OrderResponse::Unknown);
}

TEST(Workers, AReportGivesVersionsAndTheNumberOfOrders)
{
    auto response = answerWith(200, {});
    response.body = R"({"stage":"both","models":[{"name":"m","version":3,"adapters":[]}],"busy":true,"sequence":2})";
    const auto report = decodeReport(response);
    CHECK_TRUE(report.value().models.at(0) == LoadedModel({ ModelName("m"), WeightVersion(3) }));
    LONGS_EQUAL(2, report.value().orders);
    CHECK_TRUE(report.value().isBusy);
    response.body = R"({"models":[{"name":"m","version":-3}]})";
    CHECK_FALSE(decodeReport(response).has_value());
    CHECK_FALSE(decodeReport(answerWith(503, {})).has_value());
}
