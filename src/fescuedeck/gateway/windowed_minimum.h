// The smallest value that a changing quantity had within a period of time before now.
#ifndef FESCUEDECK_GATEWAY_WINDOWED_MINIMUM_H
#define FESCUEDECK_GATEWAY_WINDOWED_MINIMUM_H

#include <deque>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

// Not thread-safe. Times must not decrease from call to call of set().
class windowed_minimum
{
public:
    // The quantity has the value initial until the first call of set().
    windowed_minimum(double initial, duration period);

    // A longer period does not bring back values that set() has dropped.
    void setPeriod(duration period) { m_period = period; }
    void set(double value, time_point now);
    // Returns the smallest value that was in force at any time from now - period to now.
    double at(time_point now) const;

private:
    // A value that is smaller than all that followed it.
    struct past_value
    {
        double value;
        time_point until; // when another value replaced it
    };

    duration m_period;
    double m_current;
    std::deque<past_value> m_past; // oldest and smallest first; all smaller than m_current
};

} // namespace fescuedeck

#endif
