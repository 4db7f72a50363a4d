#include "fescuedeck/gateway/process_pause_watch.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

using std::chrono::milliseconds;

constexpr duration interval = milliseconds(100);

clock_reading reading(int steadyMs, int bootMs)
{
    return { time_point(milliseconds(steadyMs)), milliseconds(bootMs) };
}

} // namespace

TEST_CASE("a suspension of the host is detected from the boot clock alone", "[gateway]")
{
    CHECK(pauseTime(reading(0, 0), reading(100, 5100), interval) == milliseconds(5000));
}

TEST_CASE("a stop of the process is detected from the steady clock", "[gateway]")
{
    CHECK(pauseTime(reading(0, 0), reading(3100, 3100), interval) == milliseconds(3000));
}

TEST_CASE("the delays of a busy host are not reported as a process pause", "[gateway]")
{
    CHECK(pauseTime(reading(0, 0), reading(400, 400), interval) == duration::zero());
}

} // namespace fescuedeck
