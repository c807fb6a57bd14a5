#include "prefix_cache.hpp"

namespace topaztack::standin {

namespace {

    constexpr std::size_t mostEventsKept = 20000;

} // namespace

std::size_t PrefixCache::use(const std::vector<std::uint64_t>& blocks, TimePoint now)
{
    std::size_t hits = 0;
    while (hits < blocks.size() && this->places.contains(blocks[hits]))
        ++hits;
    for (const auto block : blocks) {
        const auto place = this->places.find(block);
        if (place != this->places.end()) {
            this->order.splice(this->order.begin(), this->order, place->second);
            continue;
        }
        this->order.push_front(block);
        this->places[block] = this->order.begin();
        this->record(CacheEventKind::Stored, block, now);
        if (this->order.size() > this->capacity)
            this->evictOldest(now);
    }
    return hits;
}

void PrefixCache::clear(TimePoint now)
{
    while (!this->order.empty())
        this->evictOldest(now);
}

void PrefixCache::evictOldest(TimePoint now)
{
    const auto block = this->order.back();
    this->order.pop_back();
    this->places.erase(block);
    this->record(CacheEventKind::Evicted, block, now);
}

void PrefixCache::record(CacheEventKind kind, std::uint64_t block, TimePoint now)
{
    this->events.push_back({ ++this->sequence, kind, block, now });
    if (this->events.size() > mostEventsKept)
        this->events.pop_front();
}

std::vector<CacheEvent> PrefixCache::eventsAfter(
    std::uint64_t after, std::chrono::milliseconds lag, double gapProbability, TimePoint now) const
{
    std::vector<CacheEvent> visible;
    for (const auto& event : this->events) {
        if (event.sequence <= after)
            continue;
        if (event.happened + lag > now || visible.size() >= mostEventsAtOnce)
            break;
        if (Random(event.sequence).unit() >= gapProbability)
            visible.push_back(event);
    }
    return visible;
}

std::uint64_t PrefixCache::newestSequence(std::chrono::milliseconds lag, TimePoint now) const
{
    for (auto event = this->events.rbegin(); event != this->events.rend(); ++event) {
        if (event->happened + lag <= now)
            return event->sequence;
    }
    return 0;
}

} // namespace topaztack::standin
