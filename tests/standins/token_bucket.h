// Token bucket on the caller's clock. Use it for the stand-ins' rate limits. Not thread-safe.
#ifndef FESCUEDECK_STANDINS_TOKEN_BUCKET_H
#define FESCUEDECK_STANDINS_TOKEN_BUCKET_H

#include <algorithm>

#include "fescuedeck/base/time.h"

namespace fescuedeck::standins {

class token_bucket
{
public:
    // A rate of 0 per second means no limit.
    token_bucket(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(std::max(burst, 1.0))
        , m_level(m_burst)
    {
    }

    bool take(double amount, time_point now)
    {
        if (m_perSecond <= 0)
            return true;
        const double elapsed = std::chrono::duration<double>(now - m_filledAt).count();
        m_level = std::min(m_burst, m_level + elapsed * m_perSecond);
        m_filledAt = now;
        if (m_level < amount)
            return false;
        m_level -= amount;
        return true;
    }

private:
    double m_perSecond;
    double m_burst;
    double m_level;
    time_point m_filledAt;
};

} // namespace fescuedeck::standins

#endif
