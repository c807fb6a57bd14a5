#include <topaztack/base/random.hpp>
#include <topaztack/wire/messages.hpp>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace topaztack;

namespace {

MemberUpdate anyUpdate()
{
    MemberUpdate update;
    update.identity = { VmName(*rc::gen::arbitrary<std::string>()), Incarnation(*rc::gen::arbitrary<std::uint64_t>()) };
    update.dataCentre = DataCentre(*rc::gen::arbitrary<std::string>());
    update.endpoint = { "10.1.2.3", *rc::gen::arbitrary<std::uint16_t>() };
    update.state = *rc::gen::element(MemberState::Alive, MemberState::Leaving, MemberState::Suspect, MemberState::Dead);
    update.round = *rc::gen::arbitrary<std::uint64_t>();
    update.inForce = ConfigVersion(*rc::gen::arbitrary<std::uint64_t>());
    return update;
}

std::vector<MemberUpdate> anyUpdates()
{
    std::vector<MemberUpdate> updates(*rc::gen::inRange<std::size_t>(0, 12));
    for (auto& update : updates)
        update = anyUpdate();
    return updates;
}

HttpRequest anyRequest()
{
    return { "POST", *rc::gen::arbitrary<std::string>(), { { "Idempotency-Key", *rc::gen::arbitrary<std::string>() } },
        *rc::gen::arbitrary<std::string>() };
}

/// One byte string of each message, to be damaged.
std::vector<std::string> samples()
{
    const MemberUpdate update { { VmName("vm-a"), Incarnation(7) }, DataCentre("north"), { "127.0.0.1", 17251 },
        MemberState::Suspect, 3, ConfigVersion(9) };
    GossipDatagram datagram { GossipKind::IndirectProbe, update, 99, VmName("vm-b"), { "::1", 2 }, { update, update } };
    const HttpRequest request { "POST", "/bookings", { { "a", "b" } }, "body" };
    return {
        encode(datagram),
        encode(PeerCall(ForwardedCall { RequestId("r"), update.identity, request, std::chrono::milliseconds(50) })),
        encode(PeerCall(DocumentFetch { ConfigVersion(4) })),
        encode(PeerCall(PartCall { "samples", std::string("\0\x01", 2) })),
        encode(PeerAnswer(makeError(ErrorKind::IncarnationGone, "gone"))),
        encode(PeerAnswer(ForwardedAnswer { { 200, { { "c", "d" } }, "answer" } })),
        encode(PeerAnswer(MembersAnswer { { update, update, update } })),
    };
}

/// Any bytes must give a message or BadFrame; a crash, an exception or a sanitizer's report fails the test.
void decodeAll(std::string_view bytes)
{
    const auto gossip = decodeGossip(bytes);
    const auto call = decodeCall(bytes);
    const auto answer = decodeAnswer(bytes);
    CHECK_TRUE(gossip || gossip.error().kind == ErrorKind::BadFrame);
    CHECK_TRUE(call || call.error().kind == ErrorKind::BadFrame);
    CHECK_TRUE(answer || answer.error().kind == ErrorKind::BadFrame);
}

} // namespace

TEST_GROUP(Messages) {};

// A VM of an earlier version relays a server's answer whatever its status. The range of statuses was wider here than
// where answers of servers are read.
TEST(Messages, ARelayedAnswerWithAStatusOutsideOfTheProtocolIsRefused)
{
    for (const unsigned status : { 200U, 404U, 599U })
        CHECK_TRUE(decodeAnswer(encode(PeerAnswer(ForwardedAnswer { { status, {}, "" } }))).has_value());
    for (const unsigned status : { 0U, 99U, 100U, 101U, 103U, 600U, 999U })
        CHECK_FALSE(decodeAnswer(encode(PeerAnswer(ForwardedAnswer { { status, {}, "" } }))).has_value());
}

TEST(Messages, GossipReadsBackWhatWasWritten)
{
    CHECK_TRUE(rc::check([] {
        GossipDatagram datagram;
        datagram.kind
            = *rc::gen::element(GossipKind::Probe, GossipKind::Ack, GossipKind::IndirectProbe, GossipKind::Push);
        datagram.sender = anyUpdate();
        datagram.nonce = *rc::gen::arbitrary<std::uint64_t>();
        datagram.subject = VmName(*rc::gen::arbitrary<std::string>());
        datagram.subjectEndpoint = { "::1", 17 };
        datagram.updates = anyUpdates();
        const auto read = decodeGossip(encode(datagram));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read.value().kind == datagram.kind);
        RC_ASSERT(read.value().sender == datagram.sender);
        RC_ASSERT(read.value().nonce == datagram.nonce);
        RC_ASSERT(read.value().subject == datagram.subject);
        RC_ASSERT(read.value().subjectEndpoint == datagram.subjectEndpoint);
        RC_ASSERT(read.value().updates == datagram.updates);
    }));
}

TEST(Messages, ForwardedCallsReadBackWhatWasWritten)
{
    CHECK_TRUE(rc::check([] {
        const ForwardedCall call { RequestId(*rc::gen::arbitrary<std::string>()), anyUpdate().identity, anyRequest(),
            std::chrono::milliseconds(*rc::gen::inRange(0, 1000000)) };
        const auto read = decodeCall(encode(PeerCall(call)));
        RC_ASSERT(read.has_value());
        const auto& got = std::get<ForwardedCall>(read.value());
        RC_ASSERT(got.id == call.id);
        RC_ASSERT(got.home == call.home);
        RC_ASSERT(got.remaining == call.remaining);
        RC_ASSERT(got.request.target == call.request.target);
        RC_ASSERT(got.request.body == call.request.body);
        RC_ASSERT(got.request.headers.at(0).value == call.request.headers.at(0).value);
    }));
}

TEST(Messages, EachAnswerKeepsItsKind)
{
    const auto error = makeError(ErrorKind::RetentionOver, "too late");
    CHECK_TRUE(std::get<Error>(decodeAnswer(encode(PeerAnswer(error))).value()) == error);
    const PeerAnswer document = DocumentAnswer { ConfigVersion(12), "[pool a]\n" };
    CHECK_TRUE(std::get<DocumentAnswer>(decodeAnswer(encode(document)).value()).version == ConfigVersion(12));
    const PeerAnswer part = PartAnswer { std::string("\0x", 2) };
    CHECK_TRUE(std::get<PartAnswer>(decodeAnswer(encode(part)).value()).body.size() == 2);
    CHECK_TRUE(std::holds_alternative<StatusFetch>(decodeCall(encode(PeerCall(StatusFetch {}))).value()));
    CHECK_TRUE(std::holds_alternative<MembersFetch>(decodeCall(encode(PeerCall(MembersFetch {}))).value()));
}

TEST(Messages, DamagedBytesGiveAMessageOrBadFrame)
{
    Random random(20261203);
    const auto originals = samples();
    for (int round = 0; round < 20000; ++round) {
        auto bytes = originals[random.below(originals.size())];
        for (auto damages = 1 + random.below(4); damages > 0 && !bytes.empty(); --damages) {
            const auto place = random.below(bytes.size());
            if (random.below(3) == 0)
                bytes.erase(place, 1 + random.below(8));
            else if (random.below(3) == 0)
                bytes.insert(place, 1 + random.below(4), static_cast<char>(random.next()));
            else
                bytes[place] = static_cast<char>(random.next());
        }
        decodeAll(bytes);
    }
}

TEST(Messages, BytesAfterAMessageAreRefused)
{
    for (const auto& bytes : samples())
        decodeAll(bytes + "x");
    CHECK_FALSE(decodeCall(encode(PeerCall(StatusFetch {})) + "x").has_value());
}

TEST(Messages, ValuesOutOfRangeAreRefused)
{
    GossipDatagram datagram;
    datagram.sender.endpoint = { "127.0.0.1", 1 };
    CHECK_TRUE(decodeGossip(encode(datagram)).has_value());
    datagram.sender.state = static_cast<MemberState>(9);
    CHECK_FALSE(decodeGossip(encode(datagram)).has_value());
    datagram.sender.state = MemberState::Alive;
    datagram.sender.endpoint.address = "no address";
    CHECK_FALSE(decodeGossip(encode(datagram)).has_value());
}
