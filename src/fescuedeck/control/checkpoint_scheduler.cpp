#include "fescuedeck/control/checkpoint_scheduler.h"

namespace fescuedeck {

checkpoint_scheduler::checkpoint_scheduler(checkpoint_schedule schedule, random_fn random)
    : m_schedule(schedule)
    , m_random(std::move(random))
{
}

bool checkpoint_scheduler::poll(time_point now, unix_millis wallNow, const control_state &state,
                                bool isCaughtUp)
{
    if (!isDue(wallNow, state)) {
        m_appendAt.reset();
        return false;
    }
    if (!m_appendAt) {
        const double delay
                = uniformReal(m_random) * static_cast<double>(m_schedule.maxDelay.count());
        m_appendAt = now + duration(static_cast<std::int64_t>(delay));
        return false;
    }
    if (now < *m_appendAt || !isCaughtUp)
        return false;
    m_appendAt.reset();
    return true;
}

// A checkpoint of an incomplete state would make the loss of the missing records permanent, and an
// empty state needs no checkpoint.
bool checkpoint_scheduler::isDue(unix_millis wallNow, const control_state &state) const
{
    if (!state.isComplete() || state.nextOffset() == 0)
        return false;
    const auto &newest = state.newestCheckpoint();
    return !newest || wallNow - newest->time > m_schedule.retention / 2;
}

} // namespace fescuedeck
