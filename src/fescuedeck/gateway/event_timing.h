// Measures the gaps between the events of one stream and decides when the stream counts as stalled.
#ifndef FESCUEDECK_GATEWAY_EVENT_TIMING_H
#define FESCUEDECK_GATEWAY_EVENT_TIMING_H

#include "fescuedeck/base/time.h"

namespace fescuedeck {

// Stall limit of a stream without stated objectives. After a stall this long, an engine of the
// chain has most likely failed.
constexpr duration defaultStallLimit = std::chrono::milliseconds(900);

// Times that callers accept without loss; zero if none is stated.
struct event_objectives
{
    duration firstEvent{}; // until the first event
    duration gap{};        // between two events
};

// Not thread-safe.
class event_timing
{
public:
    // usualFirstEvent is the usual time until the first event in recent requests through the same
    // first endpoint; zero if unknown.
    event_timing(time_point sentAt, duration usualFirstEvent);

    void recordEvent(time_point now);
    bool hasBegun() const { return m_lastEventAt != time_point{}; }
    // Time of the last event, or of the start of the attempt if there was no event yet.
    time_point lastActivityAt() const { return hasBegun() ? m_lastEventAt : m_sentAt; }
    time_point sentAt() const { return m_sentAt; }
    // Moving average of the gaps between events; zero before the second event.
    duration usualGap() const { return m_usualGap; }
    // Time without an event after which the attempt is to be replaced. The limit is much longer if
    // no other destination can continue the stream.
    duration stallLimit(const event_objectives &objectives, bool hasAlternative) const;

private:
    const time_point m_sentAt;
    const duration m_usualFirstEvent;
    time_point m_lastEventAt{};
    duration m_usualGap{}; // moving average
};

} // namespace fescuedeck

#endif
