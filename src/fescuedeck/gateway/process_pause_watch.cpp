#include "fescuedeck/gateway/process_pause_watch.h"

#include <algorithm>
#include <ctime>

#include "fescuedeck/router/wait_event.h"

namespace fescuedeck {
namespace {

constexpr duration checkInterval = std::chrono::milliseconds(100);
// In a busy process timers fire late, but by less than this.
constexpr duration tolerance = std::chrono::milliseconds(500);

} // namespace

clock_reading readClocks()
{
    timespec boot{};
    ::clock_gettime(CLOCK_BOOTTIME, &boot);
    return { steadyNow(),
             std::chrono::duration_cast<duration>(std::chrono::seconds(boot.tv_sec)
                                                  + std::chrono::nanoseconds(boot.tv_nsec)) };
}

duration pauseTime(const clock_reading &before, const clock_reading &after, duration interval)
{
    const duration steady = after.steady - before.steady;
    const duration boot = after.boot - before.boot;
    const duration pause = std::max(steady, boot) - interval;
    return pause > tolerance ? pause : duration::zero();
}

void watchForProcessPauses(boost::asio::io_context &ioContext,
                           std::function<void(duration)> onPause)
{
    boost::asio::spawn(ioContext, [hook = std::move(onPause)](boost::asio::yield_context yield) {
        clock_reading last = readClocks();
        while (true) {
            sleepFor(checkInterval, yield);
            const clock_reading now = readClocks();
            const duration pause = pauseTime(last, now, checkInterval);
            last = now;
            if (pause > duration::zero())
                hook(pause);
        }
    });
}

} // namespace fescuedeck
