#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/random.hpp>
#include <topaztack/base/time.hpp>

#include <chrono>
#include <string_view>

/// @file
/// How a VM comes to the newest document: which VMs poll the platform and how often, what is taken from whom, and
/// when a VM that just started may fall back on its static document.

namespace topaztack {

/// @brief Where the document in force came from.
enum class DocumentSource : std::uint8_t {
    None,
    /// The file of the settings, since neither platform nor any VM had one.
    Static,
    Platform,
    Peer,
};

std::string_view sourceName(DocumentSource source);

struct SpreadTiming {
    /// Of the few VMs of a data centre that poll.
    std::chrono::milliseconds pollEvery { 500 };
    /// Of all others, in case that gossip fails them.
    std::chrono::milliseconds idlePollEvery { 10000 };
    /// The longest wait between polls of a platform that does not answer.
    std::chrono::milliseconds longestPoll { 4000 };
    /// How long a VM that just started waits for platform or peers before it uses its static document.
    std::chrono::milliseconds staticGrace { 3000 };
};

inline constexpr std::size_t pollersPerDataCentre = 2;

/// @brief What a VM knows about documents. Versions only rise.
struct ConfigSyncState {
    SpreadTiming timing;
    bool hasDocument { false };
    ConfigVersion inForce;
    DocumentSource source { DocumentSource::None };
    /// Newest version that the platform or another VM spoke of.
    ConfigVersion heard;
    std::uint32_t failedPolls { 0 };
    bool hasPlatformAnswered { false };
    TimePoint startedAt;
};

/// @brief Whether an offered version goes into force: the first one, or a higher one.
bool acceptsVersion(const ConfigSyncState& spread, ConfigVersion offered);

void setInForce(ConfigSyncState& spread, ConfigVersion version, DocumentSource source);

/// @brief Whether the static document may be used: nothing is in force, and the platform said that there is none, or
/// neither it nor a peer gave one within the grace time.
bool mayUseStaticDocument(const ConfigSyncState& spread, TimePoint now);

/// @brief Notes how a poll ended and draws the wait until the next: jittered, and longer while the platform is out.
Duration afterPoll(ConfigSyncState& spread, bool isAnswered, bool isPoller, Random& random);

} // namespace topaztack
