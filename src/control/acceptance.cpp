#include <topaztack/control/acceptance.hpp>

#include <boost/json.hpp>

namespace topaztack {

namespace json = boost::json;

namespace {

    /// Decimal digits of the largest 64-bit version; zero padding makes keys sort by version.
    constexpr std::size_t versionDigits = 20;

} // namespace

RowKey documentRowKey(ConfigVersion version)
{
    const auto digits = std::to_string(version.value());
    return RowKey(std::string(documentRowPrefix) + std::string(versionDigits - digits.size(), '0') + digits);
}

std::string toText(const DocumentRow& row)
{
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(row.acceptedAt.time_since_epoch());
    return json::serialize(json::object {
        { "version", row.version.value() },
        { "operation", row.operation.value() },
        { "author", row.author },
        { "accepted_at_ms", since.count() },
        { "text", row.text },
    });
}

std::optional<DocumentRow> parseDocumentRow(std::string_view text)
{
    try {
        const auto value = json::parse(text);
        DocumentRow row;
        row.version = ConfigVersion(value.at("version").to_number<std::uint64_t>());
        row.operation = OperationId(json::value_to<std::string>(value.at("operation")));
        row.author = json::value_to<std::string>(value.at("author"));
        row.acceptedAt = WallTime(std::chrono::milliseconds(value.at("accepted_at_ms").to_number<std::int64_t>()));
        row.text = json::value_to<std::string>(value.at("text"));
        return row;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

AcceptanceStep afterCommit(Acceptance& acceptance, CommitOutcome outcome, TimePoint now)
{
    switch (outcome) {
    case CommitOutcome::Committed:
        return AcceptanceStep::Accepted;
    case CommitOutcome::Conflict:
        acceptance.sawConflict = true;
        return AcceptanceStep::ReadBack;
    case CommitOutcome::Ambiguous:
        acceptance.mayHaveCommitted = true;
        return AcceptanceStep::ReadBack;
    case CommitOutcome::Refused:
        break;
    }
    if (!acceptance.mayHaveCommitted)
        return AcceptanceStep::Refused;
    return now < acceptance.deadline ? AcceptanceStep::ReadBack : AcceptanceStep::Unknown;
}

AcceptanceStep afterReadBack(Acceptance& acceptance, const ReadBack& found, TimePoint now)
{
    const bool isTimeLeft = now < acceptance.deadline;
    if (!found.isAnswered)
        return isTimeLeft ? AcceptanceStep::ReadBack : AcceptanceStep::Unknown;
    if (found.operation)
        return *found.operation == acceptance.operation ? AcceptanceStep::Accepted : AcceptanceStep::Superseded;
    if (acceptance.sawConflict && !acceptance.mayHaveCommitted)
        return AcceptanceStep::Superseded;
    return isTimeLeft ? AcceptanceStep::Commit : AcceptanceStep::Unknown;
}

} // namespace topaztack
