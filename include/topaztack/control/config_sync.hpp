#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/random.hpp>
#include <topaztack/base/time.hpp>

#include <chrono>
#include <string_view>

/// @file
/// How a VM obtains the newest document: which VMs poll the platform and how often, which offered versions are applied,
/// and when a newly started VM may fall back to its static document.

namespace topaztack {

/// @brief Where the document in force came from.
enum class DocumentSource : std::uint8_t {
    None,
    /// The file named in the settings, used when neither the platform nor another VM has provided a document.
    Static,
    Platform,
    Peer,
};

/// @brief Returns `none`, `static`, `platform` or `peer`.
std::string_view sourceName(DocumentSource source);

/// @brief Intervals of polling and the fallback to the static document.
struct ConfigSyncTiming {
    /// For the few VMs of a data centre that are selected to poll.
    std::chrono::milliseconds pollInterval { 500 };
    /// For all other VMs, in case gossip does not reach them.
    std::chrono::milliseconds idlePollInterval { 10000 };
    /// Upper limit of the backoff while the platform does not answer. Intervals that are already longer do not grow.
    std::chrono::milliseconds maxPollInterval { 4000 };
    /// How long a newly started VM waits for the platform or a peer before it uses its static document.
    std::chrono::milliseconds staticDocumentGrace { 3000 };
};

/// @brief VMs of each data centre that poll the platform at the short interval.
inline constexpr std::size_t pollersPerDataCentre = 2;

/// @brief What a VM knows about document versions. The version in force never decreases.
struct ConfigSyncState {
    ConfigSyncTiming timing;
    bool hasDocument { false };
    ConfigVersion inForce;
    DocumentSource source { DocumentSource::None };
    /// Newest version that the platform or another VM has reported.
    ConfigVersion heard;
    std::uint32_t failedPolls { 0 };
    bool hasPlatformAnswered { false };
    TimePoint startedAt;
};

/// @brief Whether an offered version should go into force: it is the first one, or newer than the one in force.
bool acceptsVersion(const ConfigSyncState& state, ConfigVersion offered);

/// @brief Records that a version is in force, and where its document came from.
void setInForce(ConfigSyncState& state, ConfigVersion version, DocumentSource source);

/// @brief Whether the static document may be used: no document is in force, no version has been reported, and either
/// the platform has answered (so it has no document) or the grace period is over.
bool mayUseStaticDocument(const ConfigSyncState& state, TimePoint now);

/// @brief Records the result of a poll and returns the delay until the next one: jittered, with exponential backoff
/// while the platform does not answer.
Duration afterPoll(ConfigSyncState& state, bool isAnswered, bool isPoller, Random& random);

} // namespace topaztack
