// Token bucket that limits the loading of layers to the weight store's rate.
#ifndef FESCUEDECK_ORDERS_LOAD_BUDGET_H
#define FESCUEDECK_ORDERS_LOAD_BUDGET_H

#include <algorithm>
#include <optional>

#include "fescuedeck/base/time.h"

namespace fescuedeck::detail {

// One token is one layer. The bucket is full at the start. Not thread-safe.
class load_budget
{
public:
    load_budget(double layersPerSecond, double burst)
        : m_rate(layersPerSecond)
        , m_burst(burst)
        , m_available(burst)
    {
    }

    // Replaces the rate and the burst. Tokens beyond the new burst are lost.
    void setRate(double layersPerSecond, double burst)
    {
        m_rate = layersPerSecond;
        m_burst = burst;
        m_available = std::min(m_available, burst);
    }

    // Takes the tokens for a load and returns true, or returns false if the load must wait. A load
    // may start whenever the balance is positive and may make it negative, because otherwise a load
    // with more layers than the burst could never start.
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
