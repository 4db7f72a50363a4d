// Decides when a router appends a checkpoint record to the control stream, so that the state
// survives when the log drops old records.
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
    // Upper limit of the random delay before an append. The delay differs between routers, so the
    // others read the record of the first one before they append a checkpoint of their own.
    duration maxDelay{};
};

// Call poll regularly, at least several times within maxDelay. Not thread-safe.
class checkpoint_scheduler
{
public:
    checkpoint_scheduler(checkpoint_schedule schedule, random_fn random);

    // Returns true if the caller should append state.checkpointBody() now. A checkpoint is due if
    // the state is complete, not empty, and its newest checkpoint is older than half the retention
    // or does not exist. It must be due at every call from the start of the random delay to its
    // end, and at the end isCaughtUp must say that the log has been read to its end. The call after
    // true starts a new delay if a checkpoint is still due, so a failed append is retried.
    bool poll(time_point now, unix_millis wallNow, const control_state &state, bool isCaughtUp);

private:
    bool isDue(unix_millis wallNow, const control_state &state) const;

    checkpoint_schedule m_schedule;
    random_fn m_random;
    std::optional<time_point> m_appendAt;
};

} // namespace fescuedeck

#endif
