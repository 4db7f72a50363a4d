#include "fescuedeck/gateway/event_timing.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

constexpr auto ms = [](int count) { return std::chrono::milliseconds(count); };
const time_point start{ std::chrono::hours(1) };
const event_objectives objectives{ ms(500), ms(200) };

} // namespace

TEST_CASE("a stream leaves a silent chain before its callers have borne the whole pause",
          "[gateway]")
{
    event_timing timing(start, {});
    CHECK(timing.stallLimit(objectives, true) == ms(250));
    timing.recordEvent(start + ms(30));
    CHECK(timing.stallLimit(objectives, true) == ms(120));
    CHECK(timing.lastActivityAt() == start + ms(30));
}

// Guards against streams that leave a chain which is only under load, and load others with them.
TEST_CASE("a chain that is slow all the time is not taken for silent", "[gateway]")
{
    event_timing timing(start, ms(400));
    CHECK(timing.stallLimit(objectives, true) == ms(1200));
    for (int i = 1; i <= 20; ++i)
        timing.recordEvent(start + i * ms(100));
    CHECK(timing.stallLimit(objectives, true) > ms(300));
    CHECK(timing.stallLimit(objectives, true) <= ms(400));
}

TEST_CASE("without stated objectives, or a way to go on, a silence is borne for longer",
          "[gateway]")
{
    const event_timing timing(start, {});
    CHECK(timing.stallLimit({}, true) == defaultStallLimit);
    CHECK(timing.stallLimit(objectives, false) == defaultStallLimit * 4);
}

} // namespace fescuedeck
