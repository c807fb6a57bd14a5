#pragma once

#include <topaztack/base/error.hpp>
#include <topaztack/base/ids.hpp>
#include <topaztack/control/gossip.hpp>
#include <topaztack/wire/http.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// @file
/// Messages between VMs as plain structs. thrift/topaztack.thrift is their form on the wire (compact protocol).

namespace topaztack {

/// @brief A caller's request, sent on to the VM that issued its ticket.
struct ForwardedCall {
    RequestId id;
    VmIdentity home;
    HttpRequest request;
    std::chrono::milliseconds remaining { 0 };
};

/// @brief Asks for the document in force.
struct DocumentFetch {
    ConfigVersion newerThan;
};

/// @brief Asks what the receiver has in force.
struct StatusFetch { };

/// @brief Asks for all members the receiver knows, for a fresh VM.
struct MembersFetch { };

/// @brief A message of a part of its own, not known to the wire: a name and a body in that part's own form.
struct PartCall {
    std::string part;
    std::string body;
};

using PeerCall = std::variant<ForwardedCall, DocumentFetch, StatusFetch, MembersFetch, PartCall>;

struct ForwardedAnswer {
    HttpResponse response;
};

/// @brief Version 0 and an empty text if the receiver has none newer.
struct DocumentAnswer {
    ConfigVersion version;
    std::string text;
};

struct StatusAnswer {
    VmIdentity identity;
    DataCentre dataCentre;
    ConfigVersion inForce;
};

struct MembersAnswer {
    std::vector<MemberUpdate> members;
};

struct PartAnswer {
    std::string body;
};

using PeerAnswer = std::variant<Error, ForwardedAnswer, DocumentAnswer, StatusAnswer, MembersAnswer, PartAnswer>;

/// @name Thrift's compact form. Reading takes any bytes: the result is a message or BadFrame.
/// @{
std::string encode(const GossipDatagram& datagram);
std::string encode(const PeerCall& call);
std::string encode(const PeerAnswer& answer);
Result<GossipDatagram> decodeGossip(std::string_view bytes);
Result<PeerCall> decodeCall(std::string_view bytes);
Result<PeerAnswer> decodeAnswer(std::string_view bytes);
/// @}

} // namespace topaztack
