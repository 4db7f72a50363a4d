#include "standins/prefix_cache.h"

#include <algorithm>
#include <string>

#include "fescuedeck/base/hash.h"

namespace fescuedeck::standins {
namespace {

constexpr std::size_t retainedEvents = 4096;

// Ids of the full blocks of the tokens, in order.
std::vector<std::uint64_t> blockIds(std::uint64_t identity, const std::vector<int> &tokens)
{
    std::vector<std::uint64_t> ids;
    std::uint64_t previous = identity;
    std::string text;
    for (std::size_t i = 0; i < tokens.size(); ++i) {
        text += text.empty() ? "" : ",";
        text += std::to_string(tokens[i]);
        if ((i + 1) % prefix_cache::blockTokens == 0) {
            previous = stableHash(text, previous);
            ids.push_back(previous);
            text.clear();
        }
    }
    return ids;
}

} // namespace

int prefix_cache::lookUp(std::uint64_t identity, const std::vector<int> &tokens)
{
    int cached = 0;
    for (const std::uint64_t id : blockIds(identity, tokens)) {
        const auto found = m_blocks.find(id);
        if (found == m_blocks.end())
            break;
        m_recent.splice(m_recent.begin(), m_recent, found->second);
        cached += blockTokens;
    }
    return cached;
}

void prefix_cache::store(std::uint64_t identity, const std::vector<int> &tokens, time_point now)
{
    int length = 0;
    for (const std::uint64_t id : blockIds(identity, tokens)) {
        length += blockTokens;
        if (m_blocks.count(id) > 0)
            continue;
        if (static_cast<int>(m_blocks.size()) >= m_options.capacityBlocks)
            evictOldest(now);
        m_recent.push_front({ id, length });
        m_blocks[id] = m_recent.begin();
        publish(true, m_recent.front(), now);
    }
}

void prefix_cache::evictOldest(time_point now)
{
    if (m_recent.empty())
        return;
    const block oldest = m_recent.back();
    m_blocks.erase(oldest.id);
    m_recent.pop_back();
    publish(false, oldest, now);
}

void prefix_cache::publish(bool stored, const block &changed, time_point now)
{
    const std::int64_t sequence = m_nextSequence++;
    const bool dropped = m_options.gapEvery > 0 && (sequence + 1) % m_options.gapEvery == 0;
    if (dropped)
        return;
    m_events.push_back({ sequence, now + m_options.eventDelay, stored, changed });
    if (m_events.size() > retainedEvents)
        m_events.pop_front();
}

nlohmann::json prefix_cache::eventsFrom(std::int64_t from, time_point now) const
{
    nlohmann::json events = nlohmann::json::array();
    std::int64_t next = from;
    for (const event &change : m_events) {
        if (change.visibleAt > now)
            break;
        if (change.sequence < from)
            continue;
        events.push_back({ { "seq", change.sequence },
                           { "type", change.stored ? "stored" : "removed" },
                           { "block", std::to_string(change.changed.id) },
                           { "tokens", change.changed.tokens } });
        next = change.sequence + 1;
    }
    const std::int64_t first = m_events.empty() ? m_nextSequence : m_events.front().sequence;
    return { { "first", first }, { "next", next }, { "events", events } };
}

} // namespace fescuedeck::standins
