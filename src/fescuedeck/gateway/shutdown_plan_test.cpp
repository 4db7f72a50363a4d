#include "fescuedeck/gateway/shutdown_plan.h"

#include <catch2/catch.hpp>

namespace fescuedeck {

// Guards against streams that are accepted too late and cut off at the end of the process, because
// the time for further requests was counted from the handling of a delayed signal.
TEST_CASE("a signal that is handled late does not extend the time for requests", "[gateway]")
{
    const time_point signalledAt = steadyNow();
    const shutdown_plan plan = planShutdown(signalledAt + maxSignalDelay, std::chrono::seconds(8));
    CHECK(plan.acceptsRequestsUntil <= signalledAt + std::chrono::seconds(3));
    CHECK(plan.acceptsRequestsUntil > plan.closesListenerAt);
    CHECK(plan.acceptsRelaysUntil > signalledAt + std::chrono::seconds(5));
    CHECK(plan.acceptsRelaysUntil < plan.endsAt);
    CHECK(plan.endsAt < signalledAt + std::chrono::seconds(8));
}

TEST_CASE("a short grace period shortens every phase of the shutdown", "[gateway]")
{
    const time_point now = steadyNow();
    const shutdown_plan plan = planShutdown(now, std::chrono::seconds(3));
    CHECK(plan.closesListenerAt <= now + std::chrono::seconds(1));
    CHECK(plan.acceptsRequestsUntil <= now + std::chrono::milliseconds(1200));
    CHECK(plan.endsAt == now + std::chrono::milliseconds(2600));
}

} // namespace fescuedeck
