// Decides when a router appends a checkpoint of the control stream. Call poll regularly, at least
// several times within maxDelay.
#ifndef FESCUEDECK_CONTROL_CHECKPOINT_SCHEDULER_H
#define FESCUEDECK_CONTROL_CHECKPOINT_SCHEDULER_H

#include <optional>

#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/control/control_state.h"

namespace fescuedeck {

struct checkpoint_schedule
{
    unix_millis retention{}; // how long the log keeps records
    duration maxDelay{}; // spreads the routers, so that the first one's record reaches the others
};

// Not thread-safe.
class checkpoint_scheduler
{
public:
    checkpoint_scheduler(checkpoint_schedule schedule, random_fn random);

    // True if the caller should append state.checkpointBody() now. The newest checkpoint must be
    // older than half the retention both when the random delay starts and when it ends, where
    // the log must have been read to its end. After true, the next delay starts, so a failed
    // append is repeated.
    bool poll(time_point now, unix_millis wallNow, const control_state &state, bool isCaughtUp);

private:
    bool isDue(unix_millis wallNow, const control_state &state) const;

    checkpoint_schedule m_schedule;
    random_fn m_random;
    std::optional<time_point> m_appendAt;
};

} // namespace fescuedeck

#endif
