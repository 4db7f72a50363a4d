// The rhythm of one stream's events, and how long a silence means that its chain has failed.
#ifndef FESCUEDECK_GATEWAY_EVENT_TIMING_H
#define FESCUEDECK_GATEWAY_EVENT_TIMING_H

#include "fescuedeck/base/time.h"

namespace fescuedeck {

// Silence after which an engine of the chain has most likely failed, whatever callers bear.
constexpr duration defaultStallLimit = std::chrono::milliseconds(900);

// What callers bear; zero if nothing is stated.
struct event_objectives
{
    duration firstEvent{};
    duration gap{};
};

// Not thread-safe.
class event_timing
{
public:
    // usualFirstEvent: until the first event, of the chain's recent requests.
    event_timing(time_point sentAt, duration usualFirstEvent);

    void recordEvent(time_point now);
    bool hasBegun() const { return m_lastEventAt != time_point{}; }
    // Of the last event, or of the sending.
    time_point lastActivityAt() const { return hasBegun() ? m_lastEventAt : m_sentAt; }
    time_point sentAt() const { return m_sentAt; }
    // Silence after which the stream leaves its chain. Without a way to go on there is nothing to
    // gain from leaving early.
    duration stallLimit(const event_objectives &objectives, bool canContinue) const;

private:
    const time_point m_sentAt;
    const duration m_usualFirstEvent;
    time_point m_lastEventAt{};
    duration m_usualGap{}; // smoothed
};

} // namespace fescuedeck

#endif
