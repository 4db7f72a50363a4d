#include "fescuedeck/gateway/event_timing.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

constexpr auto ms = [](int count) { return std::chrono::milliseconds(count); };
const time_point start{ std::chrono::hours(1) };
const event_objectives objectives{ ms(500), ms(200) };

} // namespace

TEST_CASE("the stall limit is shorter than the gap that callers accept", "[gateway]")
{
    event_timing timing(start, {});
    CHECK(timing.stallLimit(objectives, true) == ms(250));
    timing.recordEvent(start + ms(30));
    CHECK(timing.stallLimit(objectives, true) == ms(120));
    CHECK(timing.lastActivityAt() == start + ms(30));
}

// Guards against streams that abandon a chain which is only slow under load. They would move the
// load to other chains and slow those down as well.
TEST_CASE("the stall limit grows with the usual gap of a slow chain", "[gateway]")
{
    event_timing timing(start, ms(400));
    CHECK(timing.stallLimit(objectives, true) == ms(1200));
    for (int i = 1; i <= 20; ++i)
        timing.recordEvent(start + i * ms(100));
    CHECK(timing.stallLimit(objectives, true) > ms(300));
    CHECK(timing.stallLimit(objectives, true) <= ms(400));
}

TEST_CASE("the stall limit is longer without objectives or if the stream cannot continue",
          "[gateway]")
{
    const event_timing timing(start, {});
    CHECK(timing.stallLimit({}, true) == defaultStallLimit);
    CHECK(timing.stallLimit(objectives, false) == defaultStallLimit * 4);
}

} // namespace fescuedeck
