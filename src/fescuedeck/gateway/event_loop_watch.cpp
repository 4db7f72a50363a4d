#include "fescuedeck/gateway/event_loop_watch.h"

#include <algorithm>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/router/wait_event.h"
#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {
namespace {

// A timer that is late by less has not waited for a long handler.
constexpr duration maxPunctualDelay = std::chrono::milliseconds(10);

} // namespace

duration event_loop_watch::recordTick(time_point now)
{
    const duration delay = std::max<duration>(now - m_lastTickAt - tickInterval, duration::zero());
    // The loop has polled for input between two ticks. A late tick may be ahead of input that
    // arrived after the last one.
    m_handledUntil = delay > maxPunctualDelay ? m_lastTickAt : now;
    m_lastTickAt = now;
    return delay;
}

bool event_loop_delay_log::record(duration delay, time_point now)
{
    if (delay >= minLoggedDelay) {
        m_longest = std::max(m_longest, delay);
        ++m_delays;
    }
    if (m_delays == 0 || now - m_lastLineAt < logInterval)
        return false;
    event_line("event_loop_busy", event_level::Warning)
            .field("longest_ms", m_longest)
            .field("delays", m_delays);
    m_longest = {};
    m_delays = 0;
    m_lastLineAt = now;
    return true;
}

void watchEventLoop(boost::asio::io_context &ioContext, event_loop_watch &watch, metrics &counters,
                    std::function<void()> onTick)
{
    histogram &delays = counters.histogramOf("fescuedeck_event_loop_delay_seconds");
    const auto run = [&watch, &delays, hook = std::move(onTick)](boost::asio::yield_context yield) {
        event_loop_delay_log log;
        while (true) {
            sleepFor(event_loop_watch::tickInterval, yield);
            const time_point now = steadyNow();
            const duration delay = watch.recordTick(now);
            delays.observe(delay);
            log.record(delay, now);
            hook();
        }
    };
    boost::asio::spawn(ioContext, run);
}

} // namespace fescuedeck
