#include "fescuedeck/router/pause_detector.h"

namespace fescuedeck {

pause_detector::pause_detector(call_time start, pause_detector_settings settings)
    : m_settings(settings)
    , m_state(lock_rank::Telemetry)
{
    m_state.with([&](state &all) { all.lastTick = start; });
}

// The wall clock also counts, because the steady one stops while a virtual machine is suspended.
void pause_detector::notePause(state &all, const call_time &now) const
{
    const bool wasPaused = now.steady - all.lastTick.steady > m_settings.pauseGap
                           || now.wall - all.lastTick.wall > m_settings.pauseGap;
    if (wasPaused) {
        const bool isRecovering = now.steady < all.recoveredAt;
        if (!isRecovering)
            all.beforePause = all.lastTick;
        all.recoveredAt = now.steady + m_settings.recoveryTime;
        ++all.pauses;
    }
    all.lastTick = now;
}

void pause_detector::tick(const call_time &now)
{
    m_state.with([&](state &all) { notePause(all, now); });
}

call_time pause_detector::arrivalBound(const call_time &now)
{
    return m_state.with([&](state &all) {
        notePause(all, now);
        return now.steady < all.recoveredAt ? all.beforePause : now;
    });
}

int pause_detector::pauses() const
{
    return m_state.with([](const state &all) { return all.pauses; });
}

} // namespace fescuedeck
