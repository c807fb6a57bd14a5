#include <topaztack/samples/ledger.hpp>

#include <topaztack/base/random.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    constexpr std::size_t operationsKept = 32;
    constexpr std::size_t batchesKeptBelowCursor = 8;
    constexpr std::size_t deliveredStepsKept = 16;

    LedgerGroup* findGroup(Ledger& ledger, const SlotName& slot)
    {
        const auto step = ledger.steps.find(slot.step);
        if (step == ledger.steps.end())
            return nullptr;
        const auto group = step->second.find(slot.group);
        if (group == step->second.end() || slot.index.value() >= group->second.filled.size())
            return nullptr;
        return &group->second;
    }

    bool isSameGroup(const LedgerGroup& kept, const PostedGroup& posted)
    {
        return kept.promptDigest == stableHash(posted.prompt) && kept.filled.size() == posted.samples;
    }

    void withdraw(Ledger& ledger, LedgerEntry& entry)
    {
        entry.isWithdrawn = true;
        ++ledger.withdrawn;
        auto* group = findGroup(ledger, entry.slot);
        if (!group)
            return;
        group->filled[entry.slot.index.value()] = false;
        group->refusals[entry.slot.index] = SampleRefusal::Stale;
    }

    bool mustWithdraw(const Ledger& ledger, const LedgerEntry& entry, const StalenessBound& bound, WallTime now)
    {
        const bool isWithdrawable = entry.sequence > ledger.handedOut && !entry.isWithdrawn;
        return isWithdrawable && isStale(bound, entry.oldest, entry.started, ledger.newest, now);
    }

    bool isFilled(const LedgerStep& step)
    {
        return std::all_of(step.begin(), step.end(), [](const auto& group) {
            return std::find(group.second.filled.begin(), group.second.filled.end(), false)
                == group.second.filled.end();
        });
    }

    bool hasSampleAfter(const Ledger& ledger, StepNumber step, SequenceNumber after)
    {
        for (const auto& batch : ledger.batches) {
            for (const auto& entry : batch.entries) {
                if (entry.slot.step == step && entry.sequence > after && !entry.isWithdrawn)
                    return true;
            }
        }
        return false;
    }

    bool hasObject(const Ledger& ledger, const ObjectKey& object)
    {
        return std::any_of(ledger.batches.begin(), ledger.batches.end(),
            [&object](const LedgerBatch& batch) { return batch.object == object; });
    }

    bool hasPrunedSampleAfter(const Ledger& ledger, SequenceNumber after)
    {
        const auto firstKept = ledger.batches.empty() ? ledger.next : ledger.batches.front().entries.front().sequence;
        return firstKept.value() > after.value() + 1;
    }

    void pruneBatches(Ledger& ledger)
    {
        const auto isBelow = [&ledger](const LedgerBatch& batch) {
            return batch.entries.empty() || batch.entries.back().sequence <= ledger.cursor;
        };
        const auto firstKept = std::find_if_not(ledger.batches.begin(), ledger.batches.end(), isBelow);
        const auto below = static_cast<std::size_t>(firstKept - ledger.batches.begin());
        if (below > batchesKeptBelowCursor)
            ledger.batches.erase(ledger.batches.begin(),
                ledger.batches.begin() + static_cast<std::ptrdiff_t>(below - batchesKeptBelowCursor));
    }

    void pruneSteps(Ledger& ledger)
    {
        while (ledger.steps.size() > deliveredStepsKept) {
            const auto lowest = ledger.steps.begin();
            if (!isFilled(lowest->second) || hasSampleAfter(ledger, lowest->first, ledger.cursor))
                return;
            ledger.lowestStep = StepNumber(lowest->first.value() + 1);
            ledger.steps.erase(lowest);
        }
    }

} // namespace

std::string_view refusalName(SampleRefusal refusal)
{
    switch (refusal) {
    case SampleRefusal::None:
        return "not-generated-yet";
    case SampleRefusal::Stale:
        return "stale";
    case SampleRefusal::UncertainSpan:
        return "uncertain-span";
    case SampleRefusal::GenerationFailed:
        return "generation-failed";
    }
    return "unknown";
}

bool isStale(const StalenessBound& bound, WeightVersion oldest, WallTime started, WeightVersion newest, WallTime now)
{
    if (newest.value() > oldest.value() && newest.value() - oldest.value() > bound.versions)
        return true;
    return bound.age.count() > 0 && now - started > bound.age;
}

Result<std::uint64_t> postGroups(
    Ledger& ledger, StepNumber step, const std::vector<PostedGroup>& groups, const ObjectKey& prompts)
{
    if (step < ledger.lowestStep)
        return makeError(ErrorKind::RetentionOver,
            "step " + std::to_string(step.value()) + " was delivered completely and is no longer kept");
    auto updated = ledger.steps[step];
    std::uint64_t wanted = 0;
    for (const auto& posted : groups) {
        const auto existing = updated.find(posted.id);
        if (existing == updated.end()) {
            updated[posted.id]
                = LedgerGroup { stableHash(posted.prompt), prompts, std::vector<bool>(posted.samples, false), {} };
            wanted += posted.samples;
        } else if (!isSameGroup(existing->second, posted)) {
            if (ledger.steps[step].empty())
                ledger.steps.erase(step);
            return makeError(ErrorKind::KeyReused,
                "group `" + posted.id.value() + "` of step " + std::to_string(step.value())
                    + " was posted before with another prompt or sample count",
                "use a new id for the group");
        }
    }
    if (updated.empty())
        ledger.steps.erase(step);
    else
        ledger.steps[step] = std::move(updated);
    return wanted;
}

Result<bool> postVersion(Ledger& ledger, WeightVersion version, WallTime now)
{
    if (version == ledger.newest)
        return false;
    if (version < ledger.newest)
        return makeError(ErrorKind::BadRequest,
            "version " + std::to_string(version.value()) + " is older than version "
                + std::to_string(ledger.newest.value()) + ", which was posted before",
            "post versions in ascending order");
    ledger.newest = version;
    ledger.newestSince = now;
    return true;
}

std::uint64_t commitSamples(Ledger& ledger, const ObjectKey& object, const std::vector<FinishedSample>& samples)
{
    if (hasObject(ledger, object))
        return 0;
    LedgerBatch batch { object, {} };
    for (const auto& sample : samples) {
        auto* group = findGroup(ledger, sample.slot);
        if (!group || group->filled[sample.slot.index.value()])
            continue;
        group->filled[sample.slot.index.value()] = true;
        group->refusals.erase(sample.slot.index);
        batch.entries.push_back(
            { ledger.next, sample.slot, sample.indexInObject, sample.oldest, sample.started, false });
        ledger.next = SequenceNumber(ledger.next.value() + 1);
    }
    const auto taken = batch.entries.size();
    if (taken > 0)
        ledger.batches.push_back(std::move(batch));
    return taken;
}

bool recordRefusal(Ledger& ledger, const SlotName& slot, SampleRefusal refusal)
{
    auto* group = findGroup(ledger, slot);
    if (!group || group->filled[slot.index.value()])
        return false;
    auto& recorded = group->refusals[slot.index];
    const bool isChanged = recorded != refusal;
    recorded = refusal;
    return isChanged;
}

std::uint64_t withdrawStale(Ledger& ledger, const StalenessBound& bound, WallTime now)
{
    std::uint64_t count = 0;
    for (auto& batch : ledger.batches) {
        for (auto& entry : batch.entries) {
            if (!mustWithdraw(ledger, entry, bound, now))
                continue;
            withdraw(ledger, entry);
            ++count;
        }
    }
    return count;
}

bool hasStaleSamples(const Ledger& ledger, const StalenessBound& bound, WallTime now)
{
    for (const auto& batch : ledger.batches) {
        for (const auto& entry : batch.entries) {
            if (mustWithdraw(ledger, entry, bound, now))
                return true;
        }
    }
    return false;
}

Result<HandOutResult> handOut(
    Ledger& ledger, SequenceNumber after, std::size_t maxSamples, const StalenessBound& bound, WallTime now)
{
    if (after > ledger.handedOut)
        return makeError(ErrorKind::BadRequest, "sample " + std::to_string(after.value()) + " was never handed out",
            "pass the last sequence number received as `after`");
    if (hasPrunedSampleAfter(ledger, after))
        return makeError(ErrorKind::RetentionOver,
            "samples after " + std::to_string(after.value()) + " are no longer kept",
            "pass the last sequence number received as `after`");
    HandOutResult result;
    result.handedOutBefore = ledger.handedOut;
    if (after > ledger.cursor) {
        ledger.cursor = after;
        result.isChanged = true;
    }
    for (auto& batch : ledger.batches) {
        for (auto& entry : batch.entries) {
            if (entry.sequence <= after)
                continue;
            if (result.samples.size() >= maxSamples)
                return result;
            if (entry.sequence > ledger.handedOut) {
                if (!entry.isWithdrawn && isStale(bound, entry.oldest, entry.started, ledger.newest, now))
                    withdraw(ledger, entry);
                ledger.handedOut = entry.sequence;
                result.isChanged = true;
            }
            if (!entry.isWithdrawn)
                result.samples.push_back({ entry, batch.object });
        }
    }
    return result;
}

void pruneLedger(Ledger& ledger)
{
    pruneBatches(ledger);
    pruneSteps(ledger);
}

void recordOperation(Ledger& ledger, const OperationId& operation)
{
    ledger.operations.push_back(operation);
    if (ledger.operations.size() > operationsKept)
        ledger.operations.erase(ledger.operations.begin());
}

bool hasOperation(const Ledger& ledger, const OperationId& operation)
{
    return std::find(ledger.operations.begin(), ledger.operations.end(), operation) != ledger.operations.end();
}

std::vector<std::pair<SlotName, SampleRefusal>> missingSlots(const Ledger& ledger, StepNumber step)
{
    std::vector<std::pair<SlotName, SampleRefusal>> missing;
    const auto found = ledger.steps.find(step);
    if (found == ledger.steps.end())
        return missing;
    for (const auto& [id, group] : found->second) {
        for (std::uint32_t index = 0; index < group.filled.size(); ++index) {
            if (group.filled[index])
                continue;
            const auto refusal = group.refusals.find(SampleIndex(index));
            missing.emplace_back(SlotName { step, id, SampleIndex(index) },
                refusal == group.refusals.end() ? SampleRefusal::None : refusal->second);
        }
    }
    return missing;
}

std::optional<StepNumber> currentStep(const Ledger& ledger)
{
    for (const auto& [number, step] : ledger.steps) {
        if (!isFilled(step) || hasSampleAfter(ledger, number, ledger.handedOut))
            return number;
    }
    return std::nullopt;
}

} // namespace topaztack
