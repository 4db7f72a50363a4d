#include "fescuedeck/gateway/config_requests.h"

#include <algorithm>

namespace fescuedeck {
namespace {

// Longer than requests wait at a peer (config_sender.h), and short enough for a second request
// before the gateway reads the store.
constexpr duration answerTime = std::chrono::milliseconds(700);

std::vector<config_holder> newestOf(const std::vector<config_holder> &holders)
{
    std::int64_t version = 0;
    for (const config_holder &holder : holders)
        version = std::max(version, holder.version);
    std::vector<config_holder> newest;
    for (const config_holder &holder : holders) {
        if (holder.version == version)
            newest.push_back(holder);
    }
    return newest;
}

} // namespace

std::optional<config_holder> config_requests::choose(const std::vector<config_holder> &holders,
                                                     time_point now)
{
    std::vector<config_holder> newest = newestOf(holders);
    if (newest.empty() || isAnswerExpected(newest, now))
        return std::nullopt;
    const auto asked = std::find_if(newest.begin(), newest.end(), [this](const auto &holder) {
        return holder.peer == m_asked.peer;
    });
    if (asked != newest.end() && newest.size() > 1)
        newest.erase(asked);
    m_asked = newest[uniformBelow(m_random, newest.size())];
    m_askedAt = now;
    return m_asked;
}

bool config_requests::isAnswerExpected(const std::vector<config_holder> &newest,
                                       time_point now) const
{
    if (now - m_askedAt >= answerTime || newest.front().version != m_asked.version)
        return false;
    return std::any_of(newest.begin(), newest.end(),
                       [this](const auto &holder) { return holder.peer == m_asked.peer; });
}

} // namespace fescuedeck
