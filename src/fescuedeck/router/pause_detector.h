// Detects pauses of the whole process and gives a lower bound for the arrival time of a request.
//
// A request may wait in a socket's buffer while the process is paused. In that time, another router
// may answer the outcome "not-run" for the same Idempotency-Key. The waiting request must not count
// as newer than that answer, so its arrival time is taken to be the last time before the pause.
#ifndef FESCUEDECK_ROUTER_PAUSE_DETECTOR_H
#define FESCUEDECK_ROUTER_PAUSE_DETECTOR_H

#include "fescuedeck/base/guarded.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/claims/idempotent_call.h"

namespace fescuedeck {

struct pause_detector_settings
{
    // The process counts as paused if there was no tick for longer than this. The value is far
    // above the delay of a timer on a busy host.
    duration pauseThreshold = std::chrono::milliseconds(500);
    // A request that is read within this time after a pause may have arrived before or during it.
    duration recoveryTime = std::chrono::seconds(2);
};

// Thread-safe.
class pause_detector
{
public:
    static constexpr duration tickInterval = std::chrono::milliseconds(50);

    explicit pause_detector(call_time start, pause_detector_settings settings = {});

    // Must be called every tickInterval.
    void tick(const call_time &now);
    // Returns a lower bound for the arrival time of a request that is read now. Also checks for a
    // pause, as tick does.
    call_time earliestArrival(const call_time &now);
    // Number of pauses so far.
    int pauses() const;

private:
    struct state
    {
        call_time lastTick;
        // The last tick before the newest pause. If a pause begins during the recovery from an
        // earlier one, this stays the last tick before the earlier pause.
        call_time beforePause;
        // Requests that are read before this time may have arrived before or during the pause.
        time_point recoveryEnd = time_point::min();
        int pauses = 0;
    };

    // Updates the state if the time since the last tick shows a pause, and records the tick.
    void detectPause(state &current, const call_time &now) const;

    const pause_detector_settings m_settings;
    guarded<state> m_state;
};

} // namespace fescuedeck

#endif
