#include "fescuedeck/peer/peer_send_queue.h"

#include <algorithm>

namespace fescuedeck {

peer_send_queue::peer_send_queue(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

bool peer_send_queue::push(std::string frame, bool isDigest)
{
    if (isDigest || m_bytes + frame.size() > m_maxBytes)
        dropDigests();
    // A digest that finds no room is dropped itself; the next one follows within a second.
    if (m_bytes + frame.size() > m_maxBytes)
        return isDigest;
    m_bytes += frame.size();
    m_frames.push_back({ std::move(frame), isDigest });
    return true;
}

std::optional<std::string> peer_send_queue::pop()
{
    if (m_frames.empty())
        return std::nullopt;
    std::string frame = std::move(m_frames.front().frame);
    m_frames.pop_front();
    m_bytes -= frame.size();
    return frame;
}

void peer_send_queue::dropDigests()
{
    const auto firstDropped = std::stable_partition(
            m_frames.begin(), m_frames.end(), [](const entry &item) { return !item.isDigest; });
    for (auto item = firstDropped; item != m_frames.end(); ++item)
        m_bytes -= item->frame.size();
    m_frames.erase(firstDropped, m_frames.end());
}

} // namespace fescuedeck
