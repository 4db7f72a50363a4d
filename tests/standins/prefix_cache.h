// Prompt prefix cache of a stand-in engine: blocks of blockTokens tokens, least recently used
// evicted, with a numbered event for each change.
//
// A block's id is stableHash of its tokens as decimal numbers joined by commas, seeded with the id
// of the block before it; the first block's seed is stableHash("model/version/adapter"). Events
// become visible after a delay, and every gapEvery-th one is never published although it uses a
// sequence number. Not thread-safe.
#ifndef FESCUEDECK_STANDINS_PREFIX_CACHE_H
#define FESCUEDECK_STANDINS_PREFIX_CACHE_H

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/time.h"

namespace fescuedeck::standins {

struct prefix_cache_options
{
    int capacityBlocks = 4096;
    duration eventDelay{ 0 };
    int gapEvery = 0; // 0 publishes every event
};

class prefix_cache
{
public:
    static constexpr int blockTokens = 16;

    explicit prefix_cache(prefix_cache_options options)
        : m_options(options)
    {
    }

    // Number of leading tokens whose blocks are cached; marks them as used.
    int lookUp(std::uint64_t identity, const std::vector<int> &tokens);
    void store(std::uint64_t identity, const std::vector<int> &tokens, time_point now);
    // {first, next, events:[{seq, type: stored|removed, block, tokens}]}; tokens is the length of
    // the prefix that ends with the block.
    nlohmann::json eventsFrom(std::int64_t from, time_point now) const;

private:
    struct block
    {
        std::uint64_t id;
        int tokens;
    };
    struct event
    {
        std::int64_t sequence;
        time_point visibleAt;
        bool stored;
        block changed;
    };

    void evictOldest(time_point now);
    void publish(bool stored, const block &changed, time_point now);

    prefix_cache_options m_options;
    std::list<block> m_recent; // most recently used first
    std::unordered_map<std::uint64_t, std::list<block>::iterator> m_blocks;
    std::deque<event> m_events;
    std::int64_t m_nextSequence = 0;
};

} // namespace fescuedeck::standins

#endif
