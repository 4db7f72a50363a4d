// The most recent step times of one endpoint, for the deadline of its next hop.
#ifndef FESCUEDECK_ROUTER_STEP_HISTORY_H
#define FESCUEDECK_ROUTER_STEP_HISTORY_H

#include <cstddef>
#include <vector>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

// Keeps the last capacity values. Not thread-safe.
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
    // In no particular order.
    const std::vector<duration> &steps() const { return m_steps; }

private:
    std::vector<duration> m_steps;
    std::size_t m_next = 0;
};

} // namespace fescuedeck

#endif
