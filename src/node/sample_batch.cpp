#include <topaztack/node/sample_batch.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace topaztack {

namespace json = boost::json;

namespace {

    constexpr std::size_t largestBatch = 512 * 1024;

} // namespace

std::string samplePayload(const SlotName& slot, const Generation& generation)
{
    json::array spans;
    for (const auto& span : generation.spans)
        spans.push_back({ { "version", span.version.value() }, { "from", span.from }, { "to", span.to } });
    const json::object value {
        { "step", slot.step.value() },
        { "group", slot.group.value() },
        { "index", slot.index.value() },
        { "text", generation.text },
        { "token_ids", json::value_from(generation.tokens) },
        { "finish_reason", generation.finishReason },
        { "weight_versions", std::move(spans) },
    };
    return json::serialize(value);
}

const LedgerGroup* findSlotGroup(const Ledger& ledger, const SlotName& slot)
{
    const auto step = ledger.steps.find(slot.step);
    if (step == ledger.steps.end())
        return nullptr;
    const auto group = step->second.find(slot.group);
    return group == step->second.end() ? nullptr : &group->second;
}

bool isSlotFilled(const Ledger& ledger, const SlotName& slot)
{
    const auto* group = findSlotGroup(ledger, slot);
    return !group || group->filled[slot.index.value()];
}

std::string encodePrompts(const std::vector<PostedGroup>& groups)
{
    json::object value;
    for (const auto& group : groups)
        value[group.id.value()] = group.prompt;
    return json::serialize(value);
}

std::map<GroupId, std::string> decodePrompts(const std::string& text)
{
    std::map<GroupId, std::string> prompts;
    boost::system::error_code problem;
    const auto value = json::parse(text, problem);
    if (problem || !value.is_object())
        return prompts;
    for (const auto& entry : value.as_object())
        prompts[GroupId(std::string(entry.key()))] = json::value_to<std::string>(entry.value());
    return prompts;
}

CollectedBatch makeBatch(std::vector<CollectedSample>& finished, ObjectKey object)
{
    CollectedBatch batch;
    batch.object = std::move(object);
    batch.payload = "[";
    std::size_t taken = 0;
    while (taken < finished.size() && (taken == 0 || batch.payload.size() < largestBatch)) {
        auto& sample = finished[taken];
        batch.payload += (taken == 0 ? "" : ",") + sample.payload;
        sample.slot.indexInObject = static_cast<std::uint32_t>(taken);
        batch.slots.push_back(sample.slot);
        ++taken;
    }
    batch.payload += "]";
    finished.erase(finished.begin(), finished.begin() + static_cast<std::ptrdiff_t>(taken));
    return batch;
}

LedgerChange commitChange(CommitContent content, std::shared_ptr<std::uint64_t> taken)
{
    return [content = std::move(content), taken = std::move(taken)](Ledger& ledger) -> Result<bool> {
        const auto& [batch, refusals, bound, now] = content;
        bool isChanged = withdrawStale(ledger, bound, now) > 0;
        std::vector<FinishedSample> fresh;
        if (batch) {
            for (const auto& slot : batch->slots) {
                if (!isStale(bound, slot.oldest, slot.started, ledger.newest, now))
                    fresh.push_back(slot);
                else
                    isChanged = recordRefusal(ledger, slot.slot, SampleRefusal::Stale) || isChanged;
            }
        }
        if (batch && !fresh.empty()) {
            const auto count = commitSamples(ledger, batch->object, fresh);
            *taken = std::max(*taken, count);
            isChanged = count > 0 || isChanged;
        }
        for (const auto& [slot, refusal] : refusals)
            isChanged = recordRefusal(ledger, slot, refusal) || isChanged;
        if (isChanged)
            pruneLedger(ledger);
        return isChanged;
    };
}

} // namespace topaztack
