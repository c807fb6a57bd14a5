#include <topaztack/wire/messages.hpp>

#include "generated/topaztack_types.h"
#include "http_head.hpp"

#include <boost/asio/ip/address.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <limits>
#include <stdexcept>

namespace topaztack {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

namespace {

    constexpr std::size_t longestMessage = 16UL * 1024 * 1024;
    constexpr int mostEntries = 16 * 1024;
    constexpr int deepestNesting = 8;
    constexpr std::int64_t longestRemainingMs = 24LL * 60 * 60 * 1000;

    /// Thrown by the readers below, caught by `decodeAs`.
    [[noreturn]] void refuse(const char* what) { throw std::invalid_argument(what); }

    std::uint64_t toBits(std::int64_t value) { return static_cast<std::uint64_t>(value); }
    std::int64_t fromBits(std::uint64_t value) { return static_cast<std::int64_t>(value); }

    template <typename Enumeration> Enumeration toEnumeration(std::int32_t value, Enumeration last)
    {
        if (value < 0 || value > static_cast<std::int32_t>(last))
            refuse("unknown enumeration value");
        return static_cast<Enumeration>(value);
    }

    idl::Endpoint toWire(const Endpoint& endpoint)
    {
        idl::Endpoint wire;
        wire.address = endpoint.address;
        wire.port = endpoint.port;
        return wire;
    }

    Endpoint fromWire(idl::Endpoint&& wire)
    {
        if (wire.port < 0 || wire.port > std::numeric_limits<std::uint16_t>::max())
            refuse("port out of range");
        boost::system::error_code problem;
        boost::asio::ip::make_address(wire.address, problem);
        if (problem && !wire.address.empty())
            refuse("address is no IP number");
        return { std::move(wire.address), static_cast<std::uint16_t>(wire.port) };
    }

    idl::VmIdentity toWire(const VmIdentity& identity)
    {
        idl::VmIdentity wire;
        wire.name = identity.name.value();
        wire.incarnation = fromBits(identity.incarnation.value());
        return wire;
    }

    VmIdentity fromWire(idl::VmIdentity&& wire)
    {
        return { VmName(std::move(wire.name)), Incarnation(toBits(wire.incarnation)) };
    }

    idl::MemberUpdate toWire(const MemberUpdate& update)
    {
        idl::MemberUpdate wire;
        wire.identity = toWire(update.identity);
        wire.dataCentre = update.dataCentre.value();
        wire.endpoint = toWire(update.endpoint);
        wire.state = static_cast<std::int32_t>(update.state);
        wire.round = fromBits(update.round);
        wire.inForce = fromBits(update.inForce.value());
        return wire;
    }

    MemberUpdate fromWire(idl::MemberUpdate&& wire)
    {
        MemberUpdate update;
        update.identity = fromWire(std::move(wire.identity));
        update.dataCentre = DataCentre(std::move(wire.dataCentre));
        update.endpoint = fromWire(std::move(wire.endpoint));
        update.state = toEnumeration(wire.state, MemberState::Dead);
        update.round = toBits(wire.round);
        update.inForce = ConfigVersion(toBits(wire.inForce));
        return update;
    }

    std::vector<idl::MemberUpdate> toWire(const std::vector<MemberUpdate>& updates)
    {
        std::vector<idl::MemberUpdate> wire;
        wire.reserve(updates.size());
        for (const auto& update : updates)
            wire.push_back(toWire(update));
        return wire;
    }

    std::vector<MemberUpdate> fromWire(std::vector<idl::MemberUpdate>&& wire)
    {
        std::vector<MemberUpdate> updates;
        updates.reserve(wire.size());
        for (auto& update : wire)
            updates.push_back(fromWire(std::move(update)));
        return updates;
    }

    std::vector<idl::HttpHeader> toWire(const std::vector<HttpHeader>& headers)
    {
        std::vector<idl::HttpHeader> wire(headers.size());
        for (std::size_t index = 0; index < headers.size(); ++index) {
            wire[index].name = headers[index].name;
            wire[index].value = headers[index].value;
        }
        return wire;
    }

    std::vector<HttpHeader> fromWire(std::vector<idl::HttpHeader>&& wire)
    {
        std::vector<HttpHeader> headers;
        headers.reserve(wire.size());
        for (auto& header : wire)
            headers.push_back({ std::move(header.name), std::move(header.value) });
        return headers;
    }

    idl::HttpRequest toWire(const HttpRequest& request)
    {
        idl::HttpRequest wire;
        wire.method = request.method;
        wire.target = request.target;
        wire.headers = toWire(request.headers);
        wire.body = request.body;
        return wire;
    }

    HttpRequest fromWire(idl::HttpRequest&& wire)
    {
        return { std::move(wire.method), std::move(wire.target), fromWire(std::move(wire.headers)),
            std::move(wire.body) };
    }

    idl::HttpResponse toWire(const HttpResponse& response)
    {
        idl::HttpResponse wire;
        wire.status = static_cast<std::int32_t>(response.status);
        wire.headers = toWire(response.headers);
        wire.body = response.body;
        return wire;
    }

    HttpResponse fromWire(idl::HttpResponse&& wire)
    {
        const auto status = static_cast<unsigned>(std::max(0, wire.status));
        if (status < minFinalStatus || checkStatus(status))
            refuse("status out of range");
        return { status, fromWire(std::move(wire.headers)), std::move(wire.body) };
    }

    /// @name Sets the alternative of the union that stands for a message.
    /// @{
    void fill(idl::PeerCall& wire, const ForwardedCall& call)
    {
        idl::ForwardedCall forwarded;
        forwarded.id = call.id.value();
        forwarded.home = toWire(call.home);
        forwarded.request = toWire(call.request);
        forwarded.remainingMs = call.remaining.count();
        wire.__set_forwarded(forwarded);
    }

    void fill(idl::PeerCall& wire, const DocumentFetch& call)
    {
        idl::DocumentFetch fetch;
        fetch.newerThan = fromBits(call.newerThan.value());
        wire.__set_document(fetch);
    }

    void fill(idl::PeerCall& wire, const StatusFetch& /*call*/) { wire.__set_status({}); }

    void fill(idl::PeerCall& wire, const MembersFetch& /*call*/) { wire.__set_members({}); }

    void fill(idl::PeerCall& wire, const PartCall& call)
    {
        idl::PartCall part;
        part.part = call.part;
        part.body = call.body;
        wire.__set_part(part);
    }

    void fill(idl::PeerAnswer& wire, const Error& error)
    {
        idl::Failure failure;
        failure.kind = static_cast<std::int32_t>(error.kind);
        failure.message = error.message;
        failure.remedy = error.remedy;
        wire.__set_failure(failure);
    }

    void fill(idl::PeerAnswer& wire, const ForwardedAnswer& answer)
    {
        idl::ForwardedAnswer forwarded;
        forwarded.response = toWire(answer.response);
        wire.__set_forwarded(forwarded);
    }

    void fill(idl::PeerAnswer& wire, const DocumentAnswer& answer)
    {
        idl::DocumentAnswer document;
        document.version = fromBits(answer.version.value());
        document.text = answer.text;
        wire.__set_document(document);
    }

    void fill(idl::PeerAnswer& wire, const StatusAnswer& answer)
    {
        idl::StatusAnswer status;
        status.identity = toWire(answer.identity);
        status.dataCentre = answer.dataCentre.value();
        status.inForce = fromBits(answer.inForce.value());
        wire.__set_status(status);
    }

    void fill(idl::PeerAnswer& wire, const MembersAnswer& answer)
    {
        idl::MembersAnswer members;
        members.members = toWire(answer.members);
        wire.__set_members(members);
    }

    void fill(idl::PeerAnswer& wire, const PartAnswer& answer)
    {
        idl::PartAnswer part;
        part.body = answer.body;
        wire.__set_part(part);
    }
    /// @}

    PeerCall fromWire(idl::PeerCall&& wire)
    {
        if (wire.__isset.forwarded) {
            auto& forwarded = wire.forwarded;
            if (forwarded.remainingMs < 0 || forwarded.remainingMs > longestRemainingMs)
                refuse("remaining time out of range");
            return ForwardedCall { RequestId(std::move(forwarded.id)), fromWire(std::move(forwarded.home)),
                fromWire(std::move(forwarded.request)), std::chrono::milliseconds(forwarded.remainingMs) };
        }
        if (wire.__isset.document)
            return DocumentFetch { ConfigVersion(toBits(wire.document.newerThan)) };
        if (wire.__isset.status)
            return StatusFetch {};
        if (wire.__isset.members)
            return MembersFetch {};
        if (wire.__isset.part)
            return PartCall { std::move(wire.part.part), std::move(wire.part.body) };
        refuse("no known call");
    }

    PeerAnswer fromWire(idl::PeerAnswer&& wire)
    {
        if (wire.__isset.failure) {
            if (wire.failure.kind < 0 || wire.failure.kind > std::numeric_limits<std::uint16_t>::max())
                refuse("error kind out of range");
            return Error { static_cast<ErrorKind>(wire.failure.kind), std::move(wire.failure.message),
                std::move(wire.failure.remedy) };
        }
        if (wire.__isset.forwarded)
            return ForwardedAnswer { fromWire(std::move(wire.forwarded.response)) };
        if (wire.__isset.document)
            return DocumentAnswer { ConfigVersion(toBits(wire.document.version)), std::move(wire.document.text) };
        if (wire.__isset.status)
            return StatusAnswer { fromWire(std::move(wire.status.identity)),
                DataCentre(std::move(wire.status.dataCentre)), ConfigVersion(toBits(wire.status.inForce)) };
        if (wire.__isset.members)
            return MembersAnswer { fromWire(std::move(wire.members.members)) };
        if (wire.__isset.part)
            return PartAnswer { std::move(wire.part.body) };
        refuse("no known answer");
    }

    GossipDatagram fromWire(idl::GossipDatagram&& wire)
    {
        GossipDatagram datagram;
        datagram.kind = toEnumeration(wire.kind, GossipKind::Push);
        datagram.sender = fromWire(std::move(wire.sender));
        datagram.nonce = toBits(wire.nonce);
        datagram.subject = VmName(std::move(wire.subject));
        datagram.subjectEndpoint = fromWire(std::move(wire.subjectEndpoint));
        datagram.updates = fromWire(std::move(wire.updates));
        return datagram;
    }

    template <typename Wire> std::string write(const Wire& wire)
    {
        const auto buffer = std::make_shared<TMemoryBuffer>();
        TCompactProtocolT<TMemoryBuffer> protocol(buffer);
        wire.write(&protocol);
        return buffer->getBufferAsString();
    }

    /// Lists and strings are bounded by the bytes there are, so that a short message can't ask for much memory.
    template <typename Wire> Wire read(std::string_view bytes)
    {
        // The buffer is only read; Thrift's interface lacks the const.
        auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
        const auto size = static_cast<int>(bytes.size());
        const auto limits = std::make_shared<TConfiguration>(size, size, deepestNesting);
        const auto buffer = std::make_shared<TMemoryBuffer>(data, size, TMemoryBuffer::OBSERVE, limits);
        TCompactProtocolT<TMemoryBuffer> protocol(buffer, size, std::min(size, mostEntries));
        Wire wire;
        wire.read(&protocol);
        if (buffer->available_read() > 0)
            refuse("bytes after the message");
        return wire;
    }

    template <typename Message, typename Wire> Result<Message> decodeAs(std::string_view bytes)
    {
        // PeerAnswer can hold an Error itself, so that each result says which of the two it is.
        const auto refused = [](const std::string& what) {
            return Result<Message>(boost::outcome_v2::in_place_type<Error>,
                makeError(ErrorKind::BadFrame, "message not understood: " + what));
        };
        if (bytes.empty() || bytes.size() > longestMessage)
            return refused(std::to_string(bytes.size()) + " bytes");
        try {
            return Result<Message>(boost::outcome_v2::in_place_type<Message>, fromWire(read<Wire>(bytes)));
        } catch (const std::exception& problem) {
            return refused(problem.what());
        }
    }

} // namespace

std::string encode(const GossipDatagram& datagram)
{
    idl::GossipDatagram wire;
    wire.kind = static_cast<std::int32_t>(datagram.kind);
    wire.sender = toWire(datagram.sender);
    wire.nonce = fromBits(datagram.nonce);
    wire.subject = datagram.subject.value();
    wire.subjectEndpoint = toWire(datagram.subjectEndpoint);
    wire.updates = toWire(datagram.updates);
    return write(wire);
}

std::string encode(const PeerCall& call)
{
    idl::PeerCall wire;
    std::visit([&wire](const auto& message) { fill(wire, message); }, call);
    return write(wire);
}

std::string encode(const PeerAnswer& answer)
{
    idl::PeerAnswer wire;
    std::visit([&wire](const auto& message) { fill(wire, message); }, answer);
    return write(wire);
}

Result<GossipDatagram> decodeGossip(std::string_view bytes)
{
    return decodeAs<GossipDatagram, idl::GossipDatagram>(bytes);
}

Result<PeerCall> decodeCall(std::string_view bytes) { return decodeAs<PeerCall, idl::PeerCall>(bytes); }

Result<PeerAnswer> decodeAnswer(std::string_view bytes) { return decodeAs<PeerAnswer, idl::PeerAnswer>(bytes); }

} // namespace topaztack
