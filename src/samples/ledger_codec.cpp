#include <topaztack/samples/ledger.hpp>

#include <boost/json.hpp>

namespace topaztack {

namespace json = boost::json;

namespace {

    std::int64_t toMicroseconds(WallTime time)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
    }

    WallTime fromMicroseconds(const json::value& value)
    {
        return WallTime(std::chrono::duration_cast<WallClock::duration>(
            std::chrono::microseconds(value.to_number<std::int64_t>())));
    }

    template <typename Id> Id readNumber(const json::value& value)
    {
        return Id(value.to_number<typename Id::ValueType>());
    }

    template <typename Id> Id readText(const json::value& value) { return Id(json::value_to<std::string>(value)); }

    json::value groupJson(const GroupId& id, const LedgerGroup& group)
    {
        std::string filled;
        for (const bool mark : group.filled)
            filled += mark ? '1' : '0';
        json::array refusals;
        for (const auto& [index, refusal] : group.refusals)
            refusals.push_back(json::array { index.value(), static_cast<int>(refusal) });
        json::object value { { "id", id.value() }, { "digest", group.promptDigest },
            { "prompts", group.prompts.value() }, { "filled", filled } };
        if (!refusals.empty())
            value["refusals"] = std::move(refusals);
        return value;
    }

    void readGroup(const json::value& value, LedgerStep& step)
    {
        auto& group = step[readText<GroupId>(value.at("id"))];
        group.promptDigest = value.at("digest").to_number<std::uint64_t>();
        group.prompts = readText<ObjectKey>(value.at("prompts"));
        for (const char mark : value.at("filled").as_string())
            group.filled.push_back(mark == '1');
        const auto* refusals = value.as_object().if_contains("refusals");
        if (!refusals)
            return;
        for (const auto& refusal : refusals->as_array())
            group.refusals[readNumber<SampleIndex>(refusal.at(0))]
                = static_cast<SampleRefusal>(refusal.at(1).to_number<int>());
    }

    json::value entryJson(const LedgerEntry& entry)
    {
        return json::array { entry.sequence.value(), entry.slot.step.value(), entry.slot.group.value(),
            entry.slot.index.value(), entry.indexInObject, entry.oldest.value(), toMicroseconds(entry.started),
            entry.isWithdrawn ? 1 : 0 };
    }

    LedgerEntry readEntry(const json::value& value)
    {
        LedgerEntry entry;
        entry.sequence = readNumber<SequenceNumber>(value.at(0));
        entry.slot.step = readNumber<StepNumber>(value.at(1));
        entry.slot.group = readText<GroupId>(value.at(2));
        entry.slot.index = readNumber<SampleIndex>(value.at(3));
        entry.indexInObject = value.at(4).to_number<std::uint32_t>();
        entry.oldest = readNumber<WeightVersion>(value.at(5));
        entry.started = fromMicroseconds(value.at(6));
        entry.isWithdrawn = value.at(7).to_number<int>() != 0;
        return entry;
    }

    json::array stepsJson(const Ledger& ledger)
    {
        json::array steps;
        for (const auto& [number, step] : ledger.steps) {
            json::array groups;
            for (const auto& [id, group] : step)
                groups.push_back(groupJson(id, group));
            steps.push_back(json::object { { "step", number.value() }, { "groups", std::move(groups) } });
        }
        return steps;
    }

    json::array batchesJson(const Ledger& ledger)
    {
        json::array batches;
        for (const auto& batch : ledger.batches) {
            json::array entries;
            for (const auto& entry : batch.entries)
                entries.push_back(entryJson(entry));
            batches.push_back(json::object { { "object", batch.object.value() }, { "entries", std::move(entries) } });
        }
        return batches;
    }

    Ledger readLedger(const json::value& value)
    {
        Ledger ledger;
        ledger.next = readNumber<SequenceNumber>(value.at("next"));
        ledger.cursor = readNumber<SequenceNumber>(value.at("cursor"));
        ledger.handedOut = readNumber<SequenceNumber>(value.at("handed_out"));
        ledger.newest = readNumber<WeightVersion>(value.at("newest"));
        ledger.newestSince = fromMicroseconds(value.at("newest_since"));
        ledger.lowestStep = readNumber<StepNumber>(value.at("lowest_step"));
        ledger.withdrawn = value.at("withdrawn").to_number<std::uint64_t>();
        for (const auto& step : value.at("steps").as_array()) {
            auto& groups = ledger.steps[readNumber<StepNumber>(step.at("step"))];
            for (const auto& group : step.at("groups").as_array())
                readGroup(group, groups);
        }
        for (const auto& batch : value.at("batches").as_array()) {
            LedgerBatch decoded { readText<ObjectKey>(batch.at("object")), {} };
            for (const auto& entry : batch.at("entries").as_array())
                decoded.entries.push_back(readEntry(entry));
            ledger.batches.push_back(std::move(decoded));
        }
        for (const auto& operation : value.at("operations").as_array())
            ledger.operations.push_back(readText<OperationId>(operation));
        return ledger;
    }

} // namespace

std::string encodeLedger(const Ledger& ledger)
{
    json::array operations;
    for (const auto& operation : ledger.operations)
        operations.emplace_back(operation.value());
    const json::object value {
        { "next", ledger.next.value() },
        { "cursor", ledger.cursor.value() },
        { "handed_out", ledger.handedOut.value() },
        { "newest", ledger.newest.value() },
        { "newest_since", toMicroseconds(ledger.newestSince) },
        { "lowest_step", ledger.lowestStep.value() },
        { "withdrawn", ledger.withdrawn },
        { "steps", stepsJson(ledger) },
        { "batches", batchesJson(ledger) },
        { "operations", std::move(operations) },
    };
    return json::serialize(value);
}

Result<Ledger> decodeLedger(std::string_view text)
{
    if (text.empty())
        return Ledger {};
    try {
        return readLedger(json::parse(text));
    } catch (const std::exception& problem) {
        return makeError(ErrorKind::Internal, std::string("malformed ledger row: ") + problem.what());
    }
}

} // namespace topaztack
