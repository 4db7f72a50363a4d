// Time types. Decision code receives time as an argument and never reads a clock itself, so that
// tests run on virtual time.
#ifndef FESCUEDECK_BASE_TIME_H
#define FESCUEDECK_BASE_TIME_H

#include <chrono>
#include <functional>

namespace fescuedeck {

using duration = std::chrono::microseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// Wall clock since the Unix epoch, for log records and the age of keys.
using unix_millis = std::chrono::milliseconds;

using clock_fn = std::function<time_point()>;
using wall_clock_fn = std::function<unix_millis()>;

inline time_point steadyNow()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

inline unix_millis wallNow()
{
    return std::chrono::duration_cast<unix_millis>(
            std::chrono::system_clock::now().time_since_epoch());
}

} // namespace fescuedeck

#endif
