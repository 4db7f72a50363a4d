// Delays between repeated attempts. Use one for each thing that is tried again: a connection, a
// stream of the log. Not thread-safe.
#ifndef FESCUEDECK_NET_BACKOFF_H
#define FESCUEDECK_NET_BACKOFF_H

#include <algorithm>

#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct backoff_limits
{
    duration first = std::chrono::milliseconds(50);
    duration last = std::chrono::seconds(2);
};

class backoff
{
public:
    backoff(backoff_limits limits, random_fn random)
        : m_limits(limits)
        , m_random(std::move(random))
        , m_next(limits.first)
    {
    }

    // Uniform between half of the current step and the step, so that routers that failed together
    // do not return together. Each call doubles the step up to the limit.
    duration next()
    {
        const duration step = m_next;
        m_next = std::min(step * 2, m_limits.last);
        const auto half = static_cast<double>(step.count()) / 2;
        return duration(static_cast<duration::rep>(half + half * uniformReal(m_random)));
    }

    void reset() { m_next = m_limits.first; }

private:
    backoff_limits m_limits;
    random_fn m_random;
    duration m_next;
};

} // namespace fescuedeck

#endif
