#include <topaztack/control/lease.hpp>

#include <boost/json.hpp>

namespace topaztack {

namespace json = boost::json;

std::string toText(const LeaseRow& row)
{
    return json::serialize(json::object {
        { "vm", row.holder.name.value() },
        { "incarnation", row.holder.incarnation.value() },
        { "number", row.number.value() },
        { "duration_ms", row.duration.count() },
        { "operation", row.operation.value() },
        { "released", row.isReleased },
    });
}

std::optional<LeaseRow> parseLeaseRow(std::string_view text)
{
    try {
        const auto value = json::parse(text);
        LeaseRow row;
        row.holder.name = VmName(json::value_to<std::string>(value.at("vm")));
        row.holder.incarnation = Incarnation(value.at("incarnation").to_number<std::uint64_t>());
        row.number = FencingNumber(value.at("number").to_number<std::uint64_t>());
        row.duration = std::chrono::milliseconds(value.at("duration_ms").to_number<std::int64_t>());
        row.operation = OperationId(json::value_to<std::string>(value.at("operation")));
        row.isReleased = value.at("released").as_bool();
        return row;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string_view phaseName(LeasePhase phase)
{
    switch (phase) {
    case LeasePhase::Idle:
        return "idle";
    case LeasePhase::Unread:
        return "unread";
    case LeasePhase::Watching:
        return "watching";
    case LeasePhase::Acquiring:
        return "acquiring";
    case LeasePhase::AcquisitionUnknown:
        return "acquisition-unknown";
    case LeasePhase::Held:
        return "held";
    case LeasePhase::Renewing:
        return "renewing";
    case LeasePhase::RenewalUnknown:
        return "renewal-unknown";
    case LeasePhase::Releasing:
        return "releasing";
    }
    return "idle";
}

} // namespace topaztack
