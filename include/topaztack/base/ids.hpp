#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// Identifier types shared by all parts. Each identifier is a type of its own, so that a pool's name
/// can't be passed where a trainer's name is expected.

namespace topaztack {

/// @brief A value of type `Value` that only compares and assigns with identifiers of the same `Tag`.
template <typename Tag, typename Value> class StrongId {
public:
    using ValueType = Value;

    StrongId() = default;
    explicit StrongId(Value value)
        : content(std::move(value))
    {
    }

    /// @brief The bare value, for printing and for the wire.
    const Value& value() const { return this->content; }

    auto operator<=>(const StrongId&) const = default;

private:
    Value content {};
};

using VmName = StrongId<struct VmNameTag, std::string>;
using DataCentre = StrongId<struct DataCentreTag, std::string>;
using Region = StrongId<struct RegionTag, std::string>;
using PoolName = StrongId<struct PoolNameTag, std::string>;
using BackendName = StrongId<struct BackendNameTag, std::string>;
using TrainerName = StrongId<struct TrainerNameTag, std::string>;
using CallerName = StrongId<struct CallerNameTag, std::string>;
using GroupId = StrongId<struct GroupIdTag, std::string>;
using RequestId = StrongId<struct RequestIdTag, std::string>;
using OperationId = StrongId<struct OperationIdTag, std::string>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;
using RowKey = StrongId<struct RowKeyTag, std::string>;
using ObjectKey = StrongId<struct ObjectKeyTag, std::string>;
using JobId = StrongId<struct JobIdTag, std::string>;
using ItemId = StrongId<struct ItemIdTag, std::string>;
using ModelName = StrongId<struct ModelNameTag, std::string>;
using RouteName = StrongId<struct RouteNameTag, std::string>;
using WorkspaceName = StrongId<struct WorkspaceNameTag, std::string>;
using LeaseName = StrongId<struct LeaseNameTag, std::string>;

/// Drawn at random when a VM's process starts; tells a process from its successor at the same address.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
using WeightVersion = StrongId<struct WeightVersionTag, std::uint64_t>;
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
using RowVersion = StrongId<struct RowVersionTag, std::uint64_t>;
using FencingNumber = StrongId<struct FencingNumberTag, std::uint64_t>;
using SequenceNumber = StrongId<struct SequenceNumberTag, std::uint64_t>;
using StepNumber = StrongId<struct StepNumberTag, std::uint64_t>;
using SampleIndex = StrongId<struct SampleIndexTag, std::uint32_t>;

/// @brief One process of topaztack: a VM's name and the incarnation of the process that runs there.
struct VmIdentity {
    VmName name;
    Incarnation incarnation;

    auto operator<=>(const VmIdentity&) const = default;
};

/// @brief An IP number and a port.
struct Endpoint {
    std::string address;
    std::uint16_t port { 0 };

    auto operator<=>(const Endpoint&) const = default;
};

/// @brief The right to dispatch one request once, at the VM and incarnation that issued it.
struct TicketId {
    VmIdentity home;
    std::uint64_t counter { 0 };

    auto operator<=>(const TicketId&) const = default;
};

/// @brief Prints an endpoint as `address:port`.
std::string toText(const Endpoint& endpoint);

/// @brief Reads `address:port`; the address must be an IP number.
/// @return nothing if the text is no such pair.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// @brief Prints a ticket as `tkt-<counter>-<incarnation in hex>-<vm>`, a legal `Idempotency-Key`.
std::string toText(const TicketId& ticket);

/// @brief Reads what `toText(TicketId)` printed.
/// @return nothing if the text is no ticket; such a key is the caller's own.
std::optional<TicketId> parseTicketId(std::string_view text);

} // namespace topaztack

template <typename Tag, typename Value> struct std::hash<topaztack::StrongId<Tag, Value>> {
    std::size_t operator()(const topaztack::StrongId<Tag, Value>& id) const noexcept
    {
        return std::hash<Value> {}(id.value());
    }
};
