#include "fescuedeck/net/connection_places.h"

#include <catch2/catch.hpp>

namespace fescuedeck::detail {
namespace {

constexpr auto minStall = connection_places::minStall;
const time_point begin(std::chrono::hours(1));

} // namespace

TEST_CASE("the longest idle connection gives up its place first", "[net]")
{
    connection_places places;
    for (const int number : { 1, 2, 3 })
        places.add(number, "a");
    places.setPhase(1, connection_phase::Reading, begin);
    places.setPhase(2, connection_phase::Idle, begin);
    places.setPhase(3, connection_phase::Idle, begin + minStall);
    CHECK(places.takeFor("a", begin + 2 * minStall) == 2);
    CHECK(places.takeFor("a", begin + 2 * minStall) == 3);
    CHECK(places.takeFor("a", begin + 2 * minStall) == 1);
    CHECK(places.takeFor("a", begin + 2 * minStall) == std::nullopt);
    places.remove(2);
    CHECK(places.size() == 2);
}

// Guards against callers that hold all places with parts of requests and keep others out.
TEST_CASE("a new connection takes the place of the host that has the most", "[net]")
{
    connection_places places;
    for (const int number : { 1, 2, 3 })
        places.add(number, "crowd");
    places.add(4, "few");
    for (const int number : { 1, 2, 3 })
        places.setPhase(number, connection_phase::Reading, begin);
    CHECK(places.takeFor("other", begin) == 1);
    places.remove(1);
    places.add(5, "other");
    CHECK(places.takeFor("few", begin) == std::nullopt); // only one fewer than the crowd
    CHECK(places.takeFor("crowd", begin) == std::nullopt);
}

// Guards against a place that a caller keeps for as long as its request is incomplete.
TEST_CASE("a request that stops gives up its place to one of the same host", "[net]")
{
    connection_places places;
    for (const int number : { 1, 2 })
        places.add(number, "a");
    places.setPhase(1, connection_phase::Reading, begin);
    places.setPhase(2, connection_phase::Reading, begin);
    places.noteProgress(1, begin + minStall);
    CHECK(places.takeFor("a", begin + minStall / 2) == std::nullopt);
    CHECK(places.takeFor("a", begin + minStall) == 2);
    CHECK(places.takeFor("a", begin + minStall) == std::nullopt);
    CHECK(places.takeFor("a", begin + 2 * minStall) == 1);
}

TEST_CASE("a request that is handled keeps its place", "[net]")
{
    connection_places places;
    for (const int number : { 1, 2, 3 })
        places.add(number, "a");
    CHECK(places.takeFor("b", begin) == std::nullopt);
    places.setPhase(1, connection_phase::Idle, begin);
    places.setPhase(1, connection_phase::Handling, begin);
    CHECK(places.takeFor("b", begin) == std::nullopt);
}

// Guards against a connection that a caller's host loses to one that has more.
TEST_CASE("a host with fewer connections loses none to one with more", "[net]")
{
    connection_places places;
    places.add(1, "few");
    places.setPhase(1, connection_phase::Idle, begin);
    for (const int number : { 2, 3 })
        places.add(number, "many");
    CHECK(places.takeFor("many", begin + minStall) == std::nullopt);
}

} // namespace fescuedeck::detail
