// The rhythm of one stream's events, and how long a silence means that its chain has failed.
#ifndef FESCUEDECK_GATEWAY_EVENT_TIMING_H
#define FESCUEDECK_GATEWAY_EVENT_TIMING_H

#include "fescuedeck/base/time.h"

namespace fescuedeck {

// Silence after which an engine of the chain has most likely failed, whatever callers bear.
constexpr duration longestSilence = std::chrono::milliseconds(900);

// What callers bear; zero if nothing is stated.
struct silence_objectives
{
    duration firstEvent{};
    duration pause{};
};

// Not thread-safe.
class event_timing
{
public:
    // usualFirst: until the first event, of the chain's recent requests.
    event_timing(time_point sentAt, duration usualFirst);

    void noteEvent(time_point now);
    bool hasBegun() const { return m_lastEvent != time_point{}; }
    // Of the last event, or of the sending.
    time_point lastSign() const { return hasBegun() ? m_lastEvent : m_sentAt; }
    time_point sentAt() const { return m_sentAt; }
    // Silence after which the stream leaves its chain. Without a way to go on there is nothing to
    // gain from leaving early.
    duration limit(const silence_objectives &objectives, bool canGoOn) const;

private:
    const time_point m_sentAt;
    const duration m_usualFirst;
    time_point m_lastEvent{};
    duration m_usualPause{}; // smoothed
};

} // namespace fescuedeck

#endif
