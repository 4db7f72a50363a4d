// Detects that the process stood still: its host was suspended, or it was stopped.
//
// Afterwards all it knows may be old, and its duties may have passed to others.
#ifndef FESCUEDECK_GATEWAY_PROCESS_PAUSE_WATCH_H
#define FESCUEDECK_GATEWAY_PROCESS_PAUSE_WATCH_H

#include <functional>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

// One reading of the clocks. The steady clock does not count the time in which the host was
// suspended, the boot clock does.
struct clock_reading
{
    time_point steady{};
    duration boot{};
};

clock_reading readClocks();

// How long the process stood still between two readings that should be one interval apart; zero if
// it is within what a busy host may cause.
duration pauseTime(const clock_reading &before, const clock_reading &after, duration interval);

// Calls the hook with the time, after each standstill, for ever.
void watchForProcessPauses(boost::asio::io_context &ioContext,
                           std::function<void(duration)> onPause);

} // namespace fescuedeck

#endif
