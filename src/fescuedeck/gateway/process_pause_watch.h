// Detects process pauses: the whole process did not run for a while, because its host was suspended
// or the process itself was stopped.
//
// After a pause, the state that the process holds may be stale, and its leases may have passed to
// other processes.
#ifndef FESCUEDECK_GATEWAY_PROCESS_PAUSE_WATCH_H
#define FESCUEDECK_GATEWAY_PROCESS_PAUSE_WATCH_H

#include <functional>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

// One reading of both clocks. Only the boot clock counts the time during which the host was
// suspended.
struct clock_reading
{
    time_point steady{};
    duration boot{};
};

clock_reading readClocks();

// Returns how long the process was paused between two readings that should be one interval apart.
// Returns zero if the delay is short enough to come from a busy host.
duration pauseTime(const clock_reading &before, const clock_reading &after, duration interval);

// Starts a coroutine that calls onPause with the length of each process pause, after the pause. It
// runs until the io_context stops.
void watchForProcessPauses(boost::asio::io_context &ioContext,
                           std::function<void(duration)> onPause);

} // namespace fescuedeck

#endif
