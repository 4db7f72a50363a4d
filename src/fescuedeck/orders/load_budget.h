// Token bucket that paces loads at the weight store's rate.
#ifndef FESCUEDECK_ORDERS_LOAD_BUDGET_H
#define FESCUEDECK_ORDERS_LOAD_BUDGET_H

#include <algorithm>
#include <optional>

#include "fescuedeck/base/time.h"

namespace fescuedeck::detail {

// Counts layers. Not thread-safe.
class load_budget
{
public:
    load_budget(double layersPerSecond, double burst)
        : m_rate(layersPerSecond)
        , m_burst(burst)
        , m_available(burst)
    {
    }

    void setRate(double layersPerSecond, double burst)
    {
        m_rate = layersPerSecond;
        m_burst = burst;
        m_available = std::min(m_available, burst);
    }

    // A load starts while the budget is positive and may overdraw it, so that one that is larger
    // than the burst is possible.
    bool take(int layers, time_point now)
    {
        if (m_updated && now > *m_updated) {
            const std::chrono::duration<double> elapsed = now - *m_updated;
            m_available = std::min(m_burst, m_available + elapsed.count() * m_rate);
        }
        m_updated = now;
        if (m_available <= 0)
            return false;
        m_available -= layers;
        return true;
    }

private:
    double m_rate;
    double m_burst;
    double m_available;
    std::optional<time_point> m_updated;
};

} // namespace fescuedeck::detail

#endif
