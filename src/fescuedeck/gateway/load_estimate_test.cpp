#include "fescuedeck/gateway/load_estimate.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

// Guards against a single gateway, which has no peers, that no longer takes its exact figures as
// they are.
TEST_CASE("load: one gateway alone; its own work is the load and is not old", "[load]")
{
    peer_figures figures;
    recordFigures(figures, 0, 0, std::nullopt);
    const load_estimate estimate = estimateLoad(7, 0, figures, start);
    CHECK(estimate.load == 7);
    CHECK(estimate.age == duration::zero());
    CHECK(expectedArrivals(100, estimate.age, seconds(7)) == 0);
}

// Guards against a rush to an endpoint that has just joined: the reports still show it almost empty
// while it fills.
TEST_CASE("load: an endpoint that fills quickly; its load is taken for higher than reported",
          "[load]")
{
    peer_figures figures;
    double load = 0;
    time_point at = start;
    for (int report = 0; report < 10; ++report) {
        recordFigures(figures, load, load + 30, at);
        load += 30;
        at += milliseconds(300);
    }
    at -= milliseconds(300);
    CHECK(figures.changePerSecond > 50);
    CHECK(figures.changePerSecond <= 100);
    const load_estimate estimate = estimateLoad(5, load, figures, at + milliseconds(300));
    CHECK(estimate.age == milliseconds(300));
    CHECK(estimate.load > 5 + load + 5);
    CHECK(estimate.load < 5 + load + 30);
    // Figures that have stopped say nothing about the change since.
    CHECK(estimateLoad(5, load, figures, at + seconds(10)).load == Approx(5 + load).margin(0.1));
}

TEST_CASE("load: an endpoint that empties quickly; the estimate does not fall below the own work",
          "[load]")
{
    peer_figures figures;
    recordFigures(figures, 0, 500, start);
    recordFigures(figures, 500, 1, start + milliseconds(300));
    CHECK(figures.changePerSecond < 0);
    CHECK(estimateLoad(5, 1, figures, start + milliseconds(600)).load == 5);
}

// Guards against a change of load that is concluded from a peer that has left.
TEST_CASE("load: a peer that has died; its work is gone but the rest does not change", "[load]")
{
    peer_figures figures;
    recordFigures(figures, 0, 100, start);
    recordFigures(figures, 100, 50, start - milliseconds(20));
    CHECK(figures.changePerSecond == 0);
}

TEST_CASE("load: steady; the peers begin the part of the work that is replaced within the age",
          "[load]")
{
    CHECK(expectedArrivals(70, milliseconds(100), seconds(7)) == Approx(1));
    CHECK(expectedArrivals(70, seconds(9), seconds(7)) == 70);
    CHECK(expectedArrivals(70, milliseconds(100), {}) == 70);
}

} // namespace fescuedeck
