// Detects that the process was paused, and bounds when a request can have arrived.
//
// A request that waited in a socket's buffer while the process was paused may be older than a
// "not-run" that another router has given for the same key. It must not pass for a new one, so its
// time of arrival is taken to be the time before the pause.
#ifndef FESCUEDECK_ROUTER_PAUSE_DETECTOR_H
#define FESCUEDECK_ROUTER_PAUSE_DETECTOR_H

#include "fescuedeck/base/guarded.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/claims/idempotent_call.h"

namespace fescuedeck {

struct pause_detector_settings
{
    // The process counts as paused if it did not tick for this long. It exceeds the delay of a
    // timer on a busy host by far.
    duration pauseThreshold = std::chrono::milliseconds(500);
    // Requests read within this time after a pause may have arrived before or during it.
    duration recoveryTime = std::chrono::seconds(2);
};

// Thread-safe.
class pause_detector
{
public:
    static constexpr duration tickInterval = std::chrono::milliseconds(50);

    explicit pause_detector(call_time start, pause_detector_settings settings = {});

    // Call every tickInterval.
    void tick(const call_time &now);
    // A lower bound of the time at which a request that is read now arrived.
    call_time earliestArrival(const call_time &now);
    int pauses() const;

private:
    struct state
    {
        call_time lastTick;
        call_time beforePause;                      // last tick before the newest pause
        time_point recoveryEnd = time_point::min(); // requests read until then may be older
        int pauses = 0;
    };

    void detectPause(state &current, const call_time &now) const;

    const pause_detector_settings m_settings;
    guarded<state> m_state;
};

} // namespace fescuedeck

#endif
