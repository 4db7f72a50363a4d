// The most recent step times of one endpoint or one model, from which the timeout of the next hop
// is computed. A step time is the duration of a hop with one input token.
#ifndef FESCUEDECK_ROUTER_STEP_HISTORY_H
#define FESCUEDECK_ROUTER_STEP_HISTORY_H

#include <cstddef>
#include <vector>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

// Keeps the last `capacity` step times. Not thread-safe.
class step_history
{
public:
    static constexpr std::size_t capacity = 64;

    void add(duration step)
    {
        if (m_steps.size() < capacity)
            m_steps.push_back(step);
        else
            m_steps[m_next] = step;
        m_next = (m_next + 1) % capacity;
    }
    // Returns the step times in no particular order.
    const std::vector<duration> &steps() const { return m_steps; }

private:
    std::vector<duration> m_steps;
    std::size_t m_next = 0;
};

} // namespace fescuedeck

#endif
