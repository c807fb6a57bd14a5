#include "mutator.hpp"

#include <topaztack/base/ids.hpp>
#include <topaztack/control/document.hpp>
#include <topaztack/control/lease.hpp>
#include <topaztack/control/settings.hpp>
#include <topaztack/wire/messages.hpp>
#include <topaztack/wire/sse.hpp>

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>

using namespace topaztack;
using namespace topaztack::fuzzing;

namespace {

std::string readFile(const std::string& name)
{
    std::ifstream file(std::string(TOPAZTACK_SOURCE_DIR) + "/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

const std::string settingsText = "[vm a]\ndata_centre = d\ncallers = 127.0.0.1:1\noperators = 127.0.0.1:2\n"
                                 "peers = [::1]:3\nthreads = 2\n[platform]\naddress = 127.0.0.1:4\ntimeout = 2s\n"
                                 "[tls]\ncertificate = none\n[peer b]\ndata_centre = d\naddress = 127.0.0.1:5\n";

std::vector<std::string> eventsOf(SseReader& reader)
{
    std::vector<std::string> events;
    while (auto data = reader.next())
        events.push_back(std::move(*data));
    return events;
}

GossipDatagram someDatagram()
{
    GossipDatagram datagram;
    datagram.sender.identity = { VmName("vm-a"), Incarnation(7) };
    datagram.sender.endpoint = { "127.0.0.1", 17 };
    datagram.updates.assign(3, datagram.sender);
    return datagram;
}

PeerCall someCall()
{
    ForwardedCall call;
    call.id = RequestId("r-1");
    call.home = { VmName("vm-a"), Incarnation(7) };
    call.request.headers.push_back({ "Idempotency-Key", "tkt-1-7-vm-a" });
    call.request.body = "chapel two";
    return call;
}

PeerAnswer someAnswer()
{
    ForwardedAnswer answer;
    answer.response.body = "booked";
    answer.response.headers.push_back({ "Topaztack-Outcome", "ran" });
    return answer;
}

} // namespace

TEST_GROUP(FuzzInputs) {};

TEST(FuzzInputs, ADocumentIsReadOrItsProblemsHavePositions)
{
    const std::string workspace = "[workspace w]\nkeys = first-key-of-w-0000, second-key-of-w-000\nrank = 3\n";
    fuzz({ readFile("examples/velandino/rollout.ini"), readFile("examples/possession/rollout.ini") + workspace },
        [](const std::string& text) {
            std::vector<IniProblem> problems;
            const auto document = parseDocument(text, "f.ini", problems);
            for (const auto& problem : problems)
                CHECK_TRUE(problem.line > 0 && !problem.message.empty() && !problem.remedy.empty());
            if (!problems.empty())
                return;
            for (const auto& backend : document.backends)
                CHECK_TRUE(findPool(document, backend.pool) != nullptr);
        });
}

TEST(FuzzInputs, SettingsAreReadOrTheirProblemsHavePositions)
{
    fuzz({ settingsText }, [](const std::string& text) {
        std::vector<IniProblem> problems;
        const auto settings = parseVmSettings(text, "f.ini", problems);
        for (const auto& problem : problems)
            CHECK_TRUE(problem.line > 0 && !problem.message.empty() && !problem.remedy.empty());
        if (problems.empty())
            CHECK_TRUE(settings.threads >= 1 && !settings.name.value().empty());
    });
}

TEST(FuzzInputs, EventsAreTheSameHoweverTheStreamIsCut)
{
    Random random(seed);
    fuzz({ "data: a\n\ndata: b\r\n\r\n: note\n\nid: 1\ndata: c\ndata: d\n\n",
             sseEvent("{\"x\": 1}") + sseEvent("[DONE]") },
        [&random](const std::string& text) {
            SseReader whole;
            whole.feed(text);
            const auto expected = eventsOf(whole);
            SseReader cut;
            std::vector<std::string> found;
            for (std::size_t place = 0; place < text.size();) {
                const auto size = 1 + static_cast<std::size_t>(random.below(5));
                cut.feed(std::string_view(text).substr(place, size));
                place += size;
                for (auto& event : eventsOf(cut))
                    found.push_back(std::move(event));
            }
            CHECK_TRUE(found == expected);
        });
}

TEST(FuzzInputs, FramesBetweenVmsGiveAMessageOrBadFrame)
{
    fuzz({ encode(someDatagram()), encode(someCall()), encode(someAnswer()) }, [](const std::string& bytes) {
        const auto gossip = decodeGossip(bytes);
        const auto call = decodeCall(bytes);
        const auto answer = decodeAnswer(bytes);
        CHECK_TRUE(gossip || gossip.error().kind == ErrorKind::BadFrame);
        CHECK_TRUE(call || call.error().kind == ErrorKind::BadFrame);
        CHECK_TRUE(answer || answer.error().kind == ErrorKind::BadFrame);
    });
}

TEST(FuzzInputs, TicketsAndLeaseRowsThatAreReadPrintTheSameAgain)
{
    const TicketId ticket { { VmName("vm-a-1"), Incarnation(0xfeed) }, 42 };
    const LeaseRow row { ticket.home, FencingNumber(3), std::chrono::milliseconds(6000), OperationId("o"), false };
    fuzz({ toText(ticket), toText(row), "127.0.0.1:80", "[::1]:80" }, [](const std::string& text) {
        const auto ticketRead = parseTicketId(text);
        if (ticketRead)
            CHECK_TRUE(parseTicketId(toText(*ticketRead)) == ticketRead);
        const auto rowRead = parseLeaseRow(text);
        if (rowRead)
            CHECK_TRUE(parseLeaseRow(toText(*rowRead)) == rowRead);
        const auto endpoint = parseEndpoint(text);
        if (endpoint)
            CHECK_TRUE(parseEndpoint(toText(*endpoint)) == endpoint);
    });
}
