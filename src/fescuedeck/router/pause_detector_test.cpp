#include "fescuedeck/router/pause_detector.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

call_time at(int millis)
{
    return { time_point(std::chrono::milliseconds(millis)), unix_millis(1000000 + millis) };
}

} // namespace

TEST_CASE("the earliest arrival of a request read after a pause is before the pause", "[router]")
{
    // Guards against running a call after its caller was told "not-run". A copy of the request
    // waits in a socket of a paused router and is read minutes later. Meanwhile another router has
    // answered "not-run" for the same key.
    pause_detector detector(at(0));
    detector.tick(at(50));
    CHECK(detector.earliestArrival(at(60)).steady == at(60).steady);
    SECTION("the request is read before the first tick")
    {
        CHECK(detector.earliestArrival(at(60000)).steady == at(60).steady);
    }
    SECTION("the first tick comes before the request")
    {
        detector.tick(at(60000));
        CHECK(detector.earliestArrival(at(60010)).wall == at(60).wall);
    }
    SECTION("a second pause during the recovery keeps the earliest arrival of the first")
    {
        detector.tick(at(60000));
        CHECK(detector.earliestArrival(at(61000)).steady == at(60).steady);
    }
}

TEST_CASE("after the recovery time the earliest arrival is the current time again", "[router]")
{
    pause_detector detector(at(0));
    detector.tick(at(10000));
    for (int millis = 10050; millis <= 12050; millis += 50)
        detector.tick(at(millis));
    CHECK(detector.earliestArrival(at(12060)).steady == at(12060).steady);
    CHECK(detector.pauses() == 1);
}

TEST_CASE("a jump of the wall clock alone counts as a pause", "[router]")
{
    // Guards against missing the pause of a suspended virtual machine, whose steady clock stops.
    pause_detector detector(at(0));
    call_time resumed = at(50);
    resumed.wall += std::chrono::minutes(10);
    CHECK(detector.earliestArrival(resumed).wall == at(0).wall);
}

} // namespace fescuedeck
