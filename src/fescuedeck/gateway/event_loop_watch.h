// Measures how long the event loop of the process was busy, and up to when it has handled input.
//
// While one handler runs, input arrives that is not read. Timers that have expired meanwhile may
// run before this input is read, so a deadline says nothing about a peer until the input that
// arrived before it has been handled.
#ifndef FESCUEDECK_GATEWAY_EVENT_LOOP_WATCH_H
#define FESCUEDECK_GATEWAY_EVENT_LOOP_WATCH_H

#include <functional>

#include <boost/asio/io_context.hpp>

#include "fescuedeck/base/time.h"
#include "fescuedeck/telemetry/metrics.h"

namespace fescuedeck {

// The time of a conclusion, and up to when input has been handled. Ages that are evidence against a
// peer end at the latter.
struct loop_time
{
    loop_time(time_point at) // NOLINT(google-explicit-constructor): input is handled at once
        : now(at)
        , handledUntil(at)
    {
    }
    loop_time(time_point at, time_point handled)
        : now(at)
        , handledUntil(handled)
    {
    }

    time_point now;
    time_point handledUntil;
};

// Evaluates the times at which a periodic timer runs. Not thread-safe.
class event_loop_watch
{
public:
    static constexpr duration tickInterval = std::chrono::milliseconds(25);

    explicit event_loop_watch(time_point startedAt)
        : m_lastTickAt(startedAt)
        , m_handledUntil(startedAt)
    {
    }

    // Call it when the timer runs, with the time at which it runs. Returns by how much it is late.
    duration recordTick(time_point now);
    // Input that arrived earlier has been handled. It lags behind the current time by one interval
    // at most, and further while the event loop is busy and until it has caught up.
    time_point handledUntil() const { return m_handledUntil; }

private:
    time_point m_lastTickAt;
    time_point m_handledUntil;
};

// Combines the delays of a while into one log line, because a gateway that is overloaded has many.
// Not thread-safe.
class event_loop_delay_log
{
public:
    // Delays that are shorter are not logged.
    static constexpr duration minLoggedDelay = std::chrono::milliseconds(100);
    static constexpr duration logInterval = std::chrono::seconds(1);

    // Logs the longest delay since the last line, at most once per interval. Call it at each tick.
    // Returns whether it has logged a line.
    bool record(duration delay, time_point now);

private:
    duration m_longest{};
    int m_delays = 0;
    time_point m_lastLineAt{};
};

// Starts a coroutine that records the delays of the event loop in the watch, in a histogram of the
// metrics and in the log, and then calls onTick. It runs until the io_context stops. The arguments
// must outlive that.
void watchEventLoop(boost::asio::io_context &ioContext, event_loop_watch &watch, metrics &counters,
                    std::function<void()> onTick);

} // namespace fescuedeck

#endif
