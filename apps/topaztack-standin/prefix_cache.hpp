#pragma once

#include <topaztack/base/random.hpp>
#include <topaztack/base/time.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

/// @file
/// An engine's limited prefix cache (least recently used) and the late, gappy events that it publishes.

namespace topaztack::standin {

/// Events given out in one answer.
inline constexpr std::size_t mostEventsAtOnce = 2000;

enum class CacheEventKind : std::uint8_t {
    Stored,
    Evicted,
};

struct CacheEvent {
    std::uint64_t sequence { 0 };
    CacheEventKind kind { CacheEventKind::Stored };
    std::uint64_t block { 0 };
    TimePoint happened;
};

class PrefixCache {
public:
    explicit PrefixCache(std::size_t capacity)
        : capacity(capacity)
    {
    }

    /// @brief Takes a prompt's blocks in, evicting others.
    /// @return how many of them, from the first on, were there already.
    /// @complexity linear in the blocks.
    std::size_t use(const std::vector<std::uint64_t>& blocks, TimePoint now);

    /// @brief Forgets everything, as a change of weights does.
    void clear(TimePoint now);

    /// @brief Events after a sequence number that happened at least `lag` ago; some are missing.
    /// @param gapProbability share of events that are never published; each event's fate is fixed by its number.
    std::vector<CacheEvent> eventsAfter(
        std::uint64_t after, std::chrono::milliseconds lag, double gapProbability, TimePoint now) const;

    /// @brief The newest sequence number that happened at least `lag` ago.
    std::uint64_t newestSequence(std::chrono::milliseconds lag, TimePoint now) const;

private:
    void record(CacheEventKind kind, std::uint64_t block, TimePoint now);
    void evictOldest(TimePoint now);

    std::size_t capacity;
    /// Most recently used first.
    std::list<std::uint64_t> order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
    std::deque<CacheEvent> events;
    std::uint64_t sequence { 0 };
};

} // namespace topaztack::standin
