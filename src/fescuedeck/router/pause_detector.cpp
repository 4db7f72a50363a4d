#include "fescuedeck/router/pause_detector.h"

namespace fescuedeck {

pause_detector::pause_detector(call_time start, pause_detector_settings settings)
    : m_settings(settings)
    , m_state(lock_rank::Telemetry)
{
    m_state.with([&](state &current) { current.lastTick = start; });
}

// Both clocks are compared, because the steady clock may stop while a virtual machine is suspended.
void pause_detector::detectPause(state &current, const call_time &now) const
{
    const bool wasPaused = now.steady - current.lastTick.steady > m_settings.pauseThreshold
                           || now.wall - current.lastTick.wall > m_settings.pauseThreshold;
    if (wasPaused) {
        const bool isRecovering = now.steady < current.recoveryEnd;
        if (!isRecovering)
            current.beforePause = current.lastTick;
        current.recoveryEnd = now.steady + m_settings.recoveryTime;
        ++current.pauses;
    }
    current.lastTick = now;
}

void pause_detector::tick(const call_time &now)
{
    m_state.with([&](state &current) { detectPause(current, now); });
}

call_time pause_detector::earliestArrival(const call_time &now)
{
    return m_state.with([&](state &current) {
        detectPause(current, now);
        return now.steady < current.recoveryEnd ? current.beforePause : now;
    });
}

int pause_detector::pauses() const
{
    return m_state.with([](const state &current) { return current.pauses; });
}

} // namespace fescuedeck
