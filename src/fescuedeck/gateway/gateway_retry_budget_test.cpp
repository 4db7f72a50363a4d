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

TEST_CASE("the reserve is shared by the gateways, and each service has its own", "[gateway]")
{
    gateway_retry_budget budget(limits, longAgo);
    budget.adjustFraction(0.25, limits.window);
    CHECK(takeAll(budget, start) == 22); // nine tenths of a quarter
    CHECK(budget.available("other", start) > 22);
}

// Guards against a second crowd of streams that loses its engine some seconds after the first and
// is left by its callers, because the reserve fills up slowly.
TEST_CASE("what was used is whole again one window later", "[gateway]")
{
    gateway_retry_budget budget(limits, longAgo);
    budget.adjustFraction(0.25, limits.window);
    CHECK(takeAll(budget, start) == 22);
    CHECK(takeAll(budget, start + std::chrono::seconds(10)) == 0);
    CHECK(takeAll(budget, start + std::chrono::milliseconds(11300)) == 22);
}

// Guards against streams of the busiest gateway that cannot move, while others leave their parts
// unused, and against parts that add up to more than the reserve when gateways are cut off.
TEST_CASE("gateways share the reserve by load, and those that are away keep their parts",
          "[gateway]")
{
    CHECK(sharedBudgetFraction({ 30, 70, 3, 4 }) == Approx(0.3));
    CHECK(sharedBudgetFraction({ 0, 0, 3, 4 }) == Approx(0.25));
    CHECK(sharedBudgetFraction({ 30, 0, 0, 4 }) == Approx(0.25)); // cut off
    CHECK(sharedBudgetFraction({ 30, 10, 1, 4 }) + sharedBudgetFraction({ 10, 30, 1, 4 })
          == Approx(0.5));
    CHECK(sharedBudgetFraction({ 30, 70, 3, 0 }) == Approx(0.3)); // the table is not read yet
}

TEST_CASE("a part that grows takes effect over a window", "[gateway]")
{
    gateway_retry_budget budget({ 0, 100, std::chrono::seconds(10) }, longAgo);
    budget.adjustFraction(0, std::chrono::seconds(10));
    budget.adjustFraction(1, std::chrono::seconds(1));
    CHECK(budget.available("s", start) == Approx(9));
}

// Guards against gateways that end together after a crowd of retries and use the reserve again.
TEST_CASE("a gateway that has just started uses little of the reserve", "[gateway]")
{
    gateway_retry_budget budget(limits, start);
    budget.adjustFraction(0.25, limits.window);
    CHECK(takeAll(budget, start) == 5);
    CHECK(takeAll(budget, start + std::chrono::seconds(12)) == 22);
}

TEST_CASE("requests of the window add their share", "[gateway]")
{
    gateway_retry_budget budget(limits, longAgo);
    budget.adjustFraction(0.01, limits.window);
    for (int i = 0; i < 200; ++i)
        budget.recordRequest("s", start);
    CHECK(takeAll(budget, start) == 36);
    CHECK(takeAll(budget, start + std::chrono::seconds(12)) == 0);
}

// Guards against breaking the deployment's limit: in no window do all gateways together send more
// again than a share of the requests in it and the reserve.
TEST_CASE("gateways that retry whenever they may keep to the limit in every window", "[gateway]")
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
        // A window at the begin of traffic has few requests of its own.
        REQUIRE(retriesIn <= limits.share * requestsIn + limits.sharedRetries);
    }
}

} // namespace fescuedeck
