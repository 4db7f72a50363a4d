#include "fescuedeck/gateway/gateway_retry_budget.h"

#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

#include "fescuedeck/base/random.h"

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };
const time_point longAgo{};
const retry_budget_limits limits{ 0.2, 100, std::chrono::seconds(10) };

int takeAll(gateway_retry_budget &budget, time_point now)
{
    int taken = 0;
    while (budget.takeRetry("s", now))
        ++taken;
    return taken;
}

} // namespace

TEST_CASE("gateways share the fixed retries, and each service has its own budget", "[gateway]")
{
    gateway_retry_budget budget(limits, longAgo);
    budget.adjustFraction(0.25, limits.window);
    CHECK(takeAll(budget, start) == 22); // nine tenths of a quarter of 100
    CHECK(budget.available("other", start) > 22);
}

// Guards against a budget that refills slowly. If many streams lose their engine about one window
// after many others did, they would find no retries, and their callers would disconnect.
TEST_CASE("used retries are available again one window later", "[gateway]")
{
    gateway_retry_budget budget(limits, longAgo);
    budget.adjustFraction(0.25, limits.window);
    CHECK(takeAll(budget, start) == 22);
    CHECK(takeAll(budget, start + std::chrono::seconds(10)) == 0);
    CHECK(takeAll(budget, start + std::chrono::milliseconds(11300)) == 22);
}

// Guards against two failures:
// - The streams of the busiest gateway cannot move, while other gateways leave their parts unused.
// - The fractions add up to more than 1 while gateways cannot reach each other.
TEST_CASE("gateways share the fixed retries by load, and unreachable ones keep their parts",
          "[gateway]")
{
    CHECK(sharedBudgetFraction({ 30, 70, 3, 4 }) == Approx(0.3));
    CHECK(sharedBudgetFraction({ 0, 0, 3, 4 }) == Approx(0.25));
    CHECK(sharedBudgetFraction({ 30, 0, 0, 4 }) == Approx(0.25)); // reaches no other gateway
    CHECK(sharedBudgetFraction({ 30, 10, 1, 4 }) + sharedBudgetFraction({ 10, 30, 1, 4 })
          == Approx(0.5));
    // The table of gateways is not read yet.
    CHECK(sharedBudgetFraction({ 30, 70, 3, 0 }) == Approx(0.3));
}

// Guards against a start of hundreds of gateways that each take a fixed part of the retries before
// they know how many they are.
TEST_CASE("gateways that start together share the fixed retries from the first moment", "[gateway]")
{
    for (const int gateways : { 4, 35, 118, 640 }) {
        gateway_retry_budget budget({ 0, 774, std::chrono::seconds(10) }, longAgo);
        CHECK(budget.available("s", start) <= 0);
        budget.adjustFraction(sharedBudgetFraction({ 0, 0, 0, gateways }), limits.window / 100);
        CHECK(budget.available("s", start) * gateways <= 774);
        CHECK(budget.available("s", start) > 0);
    }
}

TEST_CASE("a larger fraction takes effect over one window", "[gateway]")
{
    gateway_retry_budget budget({ 0, 100, std::chrono::seconds(10) }, longAgo);
    budget.adjustFraction(0, std::chrono::seconds(10));
    budget.adjustFraction(1, std::chrono::seconds(1));
    CHECK(budget.available("s", start) == Approx(9));
}

// Guards against gateways that restart together after a burst of retries and use the fixed retries
// a second time.
TEST_CASE("a gateway that has just started may use few of the fixed retries", "[gateway]")
{
    gateway_retry_budget budget(limits, start);
    budget.adjustFraction(0.25, limits.window);
    CHECK(takeAll(budget, start) == 5);
    CHECK(takeAll(budget, start + std::chrono::seconds(12)) == 22);
}

TEST_CASE("requests in the window add their share to the budget", "[gateway]")
{
    gateway_retry_budget budget(limits, longAgo);
    budget.adjustFraction(0.01, limits.window);
    for (int i = 0; i < 200; ++i)
        budget.recordRequest("s", start);
    CHECK(takeAll(budget, start) == 36);
    CHECK(takeAll(budget, start + std::chrono::seconds(12)) == 0);
}

// Guards against breaking the limit of the deployment. In every window, the retries of all gateways
// together must not exceed a share of the requests in it plus the fixed retries.
TEST_CASE("gateways that take every retry they can stay within the limit in every window",
          "[gateway]")
{
    const random_fn random = seededRandom(7);
    constexpr int gateways = 4;
    std::vector<gateway_retry_budget> budgets(gateways, gateway_retry_budget(limits, longAgo));
    for (gateway_retry_budget &budget : budgets)
        budget.adjustFraction(1.0 / gateways, limits.window);
    constexpr duration step = std::chrono::milliseconds(50);
    constexpr int steps = 1200;
    std::vector<int> requests(steps);
    std::vector<int> retries(steps);
    for (int i = 0; i < steps; ++i) {
        const time_point now = start + i * step;
        for (gateway_retry_budget &budget : budgets) {
            const bool isRequest = uniformReal(random) < 0.8;
            const bool isBurst = uniformReal(random) < 0.02;
            if (isRequest)
                budget.recordRequest("s", now);
            requests[i] += isRequest ? 1 : 0;
            retries[i] += isBurst ? takeAll(budget, now) : 0;
        }
    }
    const auto window = static_cast<int>(limits.window / step);
    for (int begin = 0; begin + window <= steps; ++begin) {
        int requestsIn = 0;
        int retriesIn = 0;
        for (int i = begin; i < begin + window; ++i) {
            requestsIn += requests[i];
            retriesIn += retries[i];
        }
        // Windows at the start of the traffic contain few requests, but the limit holds there as
        // well.
        REQUIRE(retriesIn <= limits.share * requestsIn + limits.sharedRetries);
    }
}

} // namespace fescuedeck
