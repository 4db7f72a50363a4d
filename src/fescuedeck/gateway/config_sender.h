// Sends the configuration to peers that ask for it, within a part of the host's link.
#ifndef FESCUEDECK_GATEWAY_CONFIG_SENDER_H
#define FESCUEDECK_GATEWAY_CONFIG_SENDER_H

#include <cstddef>
#include <deque>
#include <functional>
#include <string>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

// Digests and pages of tables share the link with copies of the configuration and must arrive
// within a fraction of a second, so copies are sent one after the other. Not thread-safe.
class config_sender
{
public:
    using send_fn = std::function<void(const std::string &peer, const std::string &text)>;

    // linkRate is in bytes per second; 0 if unknown, and each request is then answered at once.
    config_sender(double linkRate, send_fn send);

    // Sets the text as the operator wrote it. Peers that wait get the new one.
    void setText(std::string text) { m_text = std::move(text); }
    bool hasText() const { return !m_text.empty(); }
    // Sends the text to the peer, at once or in one of the next calls of update(). A request that
    // has waited too long is dropped; the peer then asks another one.
    void request(const std::string &peer, time_point now);
    // Call it several times per second.
    void update(time_point now);

private:
    struct waiting_peer
    {
        std::string peer;
        time_point requestedAt{};
    };

    duration sendTime() const;

    const double m_linkRate;
    const send_fn m_send;
    std::string m_text;
    std::deque<waiting_peer> m_waiting; // oldest first
    time_point m_freeAt{};              // when the part of the link is free for the next copy
};

} // namespace fescuedeck

#endif
