#include "fescuedeck/gateway/config_sender.h"

#include <algorithm>
#include <utility>

namespace fescuedeck {
namespace {

constexpr double linkShare = 0.5;
constexpr duration requestLifetime = std::chrono::milliseconds(300);
// Time that was not used for copies counts for this long.
constexpr duration maxBurst = std::chrono::milliseconds(100);

} // namespace

config_sender::config_sender(double linkRate, send_fn send)
    : m_linkRate(linkRate)
    , m_send(std::move(send))
{
}

void config_sender::request(const std::string &peer, time_point now)
{
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(),
                                      [&](const waiting_peer &each) { return each.peer == peer; });
    if (waiting != m_waiting.end())
        m_waiting.erase(waiting);
    m_waiting.push_back({ peer, now });
    update(now);
}

void config_sender::update(time_point now)
{
    while (!m_waiting.empty() && now - m_waiting.front().requestedAt > requestLifetime)
        m_waiting.pop_front();
    m_freeAt = std::max<time_point>(m_freeAt, now - maxBurst);
    while (!m_waiting.empty() && m_freeAt <= now) {
        const std::string peer = m_waiting.front().peer;
        m_waiting.pop_front();
        m_freeAt += sendTime();
        m_send(peer, m_text);
    }
}

duration config_sender::sendTime() const
{
    if (m_linkRate <= 0)
        return duration::zero();
    const double seconds = static_cast<double>(m_text.size()) / (m_linkRate * linkShare);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace fescuedeck
