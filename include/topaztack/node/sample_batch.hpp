#pragma once

#include <topaztack/node/completion_relay.hpp>
#include <topaztack/node/ledger_store.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// What a collector commits at once: samples in one object, their slots, and notes on what was refused.

namespace topaztack {

/// @brief A finished sample, not committed yet.
struct CollectedSample {
    FinishedSample slot;
    std::string payload;
};

/// @brief Samples under one object key; kept until the ledger has them or refuses them.
struct CollectedBatch {
    ObjectKey object;
    std::string payload;
    std::vector<FinishedSample> slots;
    bool isStored { false };
};

/// @brief One commit of a collector.
struct CommitContent {
    std::optional<CollectedBatch> batch;
    std::map<SlotName, SampleRefusal> refusals;
    StalenessBound bound;
    WallTime now;
};

/// @brief Takes samples from the front up to the largest size of an object.
CollectedBatch makeBatch(std::vector<CollectedSample>& finished, ObjectKey object);

/// @brief The change that one commit makes: fresh samples in, stale ones out, notes on what was refused.
/// @param taken set to the samples that the ledger took.
LedgerChange commitChange(CommitContent content, std::shared_ptr<std::uint64_t> taken);

/// @brief One sample's payload as it is stored and delivered, but for its sequence number.
std::string samplePayload(const SlotName& slot, const Generation& generation);

/// @brief The ledger's group of a slot, or nullptr.
const LedgerGroup* findSlotGroup(const Ledger& ledger, const SlotName& slot);

/// @brief Whether a slot needs no sample: it is filled, or not wanted at all.
bool isSlotFilled(const Ledger& ledger, const SlotName& slot);

/// @name The object that holds the prompts of one post, by group.
/// @{
std::string encodePrompts(const std::vector<PostedGroup>& groups);
std::map<GroupId, std::string> decodePrompts(const std::string& text);
/// @}

} // namespace topaztack
