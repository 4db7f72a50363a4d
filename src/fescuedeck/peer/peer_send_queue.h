// Frames that wait for a slow peer, bounded in bytes. Use one for each connection.
#ifndef FESCUEDECK_PEER_PEER_SEND_QUEUE_H
#define FESCUEDECK_PEER_PEER_SEND_QUEUE_H

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace fescuedeck {

// Not thread-safe.
class peer_send_queue
{
public:
    explicit peer_send_queue(std::size_t maxBytes);

    // A digest replaces the digests before it, because only the newest one matters. False if the
    // queue is full without digests; the frame is then not queued and the peer is too slow to be
    // kept.
    bool push(std::string frame, bool isDigest);
    // The oldest frame.
    std::optional<std::string> pop();

    bool isEmpty() const { return m_frames.empty(); }
    std::size_t bytes() const { return m_bytes; }

private:
    struct entry
    {
        std::string frame;
        bool isDigest;
    };

    void dropDigests();

    const std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::deque<entry> m_frames;
};

} // namespace fescuedeck

#endif
