#include "fescuedeck/orders/lease_keeper.h"

#include <vector>

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

constexpr duration tick = std::chrono::milliseconds(50);

struct pending_append
{
    lease_requested request;
    time_point arrives;
};

struct test_router
{
    lease_keeper keeper;
    unix_millis clockSkew; // deviation of the router's wall clock
    time_point pausedUntil{};
    std::optional<lease> replayedLease; // the lease that the router passes to poll()
};

unix_millis wallAt(time_point now)
{
    return unix_millis(1'000'000) + std::chrono::duration_cast<unix_millis>(now.time_since_epoch());
}

} // namespace

TEST_CASE("no two routers may send orders for one model at the same time", "[orders]")
{
    // Guards against a holder that sends orders while another router holds the lease. This can
    // happen after a process pause of the first holder, or if its append was slow or lost.
    constexpr int seeds = 300;
    int handovers = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        const random_fn random = seededRandom(seed);
        std::vector<test_router> routers;
        for (int i = 0; i < 3; ++i) {
            const unix_millis clockSkew(static_cast<std::int64_t>(uniformBelow(random, 8000))
                                        - 4000);
            routers.push_back({ lease_keeper({}, "waiver", "r" + std::to_string(i),
                                             seededRandom(seed * 10 + i)),
                                clockSkew,
                                {},
                                std::nullopt });
        }
        detail::lease_table log;
        std::int64_t offset = 0;
        std::vector<pending_append> appends;
        std::int64_t lastFencing = -1;
        for (time_point now{}; now < time_point(std::chrono::seconds(90)); now += tick) {
            std::vector<pending_append> later;
            for (const pending_append &append : appends) {
                if (append.arrives <= now)
                    log.apply(append.request, offset++, wallAt(now));
                else
                    later.push_back(append);
            }
            appends = later;
            int holders = 0;
            for (test_router &router : routers) {
                const auto authority = router.keeper.authority(now);
                holders += authority ? 1 : 0;
                if (authority && authority->fencing > lastFencing) {
                    handovers += authority->fencing == authority->firstFencing ? 1 : 0;
                    lastFencing = authority->fencing;
                }
                if (now < router.pausedUntil)
                    continue;
                if (uniformBelow(random, 200) == 0)
                    router.pausedUntil = now + std::chrono::seconds(1 + uniformBelow(random, 20));
                // The replayed lease is behind the log by up to a few polls.
                if (uniformBelow(random, 3) != 0)
                    router.replayedLease = log.find("waiver");
                const bool isCandidate = uniformBelow(random, 400) != 0;
                const auto request = router.keeper.poll(now, wallAt(now) + router.clockSkew,
                                                        router.replayedLease, isCandidate);
                const bool isLost = uniformBelow(random, 10) == 0;
                const duration delay
                        = std::chrono::milliseconds(uniformBelow(random, isLost ? 1 : 3000));
                if (request && !isLost)
                    appends.push_back({ *request, now + delay });
            }
            REQUIRE(holders <= 1);
        }
    }
    CHECK(handovers > 2 * seeds);
}

TEST_CASE("an expired lease is taken over soon and removals wait for its whole duration",
          "[orders]")
{
    const lease_policy policy;
    lease_keeper keeper(policy, "waiver", "r2", seededRandom(1));
    detail::lease_table log;
    log.apply({ "waiver", "r1", -1, policy.leaseDuration }, 0, wallAt({}));
    time_point now{};
    std::optional<time_point> acquired;
    for (; now < time_point(std::chrono::seconds(10)) && !acquired; now += tick) {
        const auto request = keeper.poll(now, wallAt(now), log.find("waiver"), true);
        if (request)
            log.apply(*request, 1, wallAt(now));
        if (keeper.authority(now))
            acquired = now;
    }
    REQUIRE(acquired);
    CHECK(*acquired <= time_point(policy.leaseDuration + policy.takeoverJitter + 4 * tick));
    CHECK(keeper.authority(*acquired)->removalsAllowedFrom
          >= *acquired + policy.leaseDuration - tick);
    // Guards against a holder that continues to send during a log outage, so that its last orders
    // are still on their way when the lease expires.
    CHECK_FALSE(keeper.authority(*acquired + policy.leaseDuration - policy.sendMargin));
}

TEST_CASE("a router that shuts down releases its lease", "[orders]")
{
    lease_keeper keeper({}, "waiver", "r1", seededRandom(1));
    detail::lease_table log;
    time_point now{};
    for (std::int64_t offset = 0; !keeper.authority(now); now += tick) {
        if (const auto request = keeper.poll(now, wallAt(now), log.find("waiver"), true))
            log.apply(*request, offset++, wallAt(now));
    }
    const auto request = keeper.poll(now, wallAt(now), log.find("waiver"), false);
    REQUIRE(request);
    CHECK(request->leaseDuration == unix_millis(1));
    CHECK_FALSE(keeper.authority(now));
}

TEST_CASE("a restarted router may not send orders because of its old lease record", "[orders]")
{
    lease_keeper keeper({}, "waiver", "r1", seededRandom(1));
    const lease old{ "waiver", "r1", 7, wallAt({}), unix_millis(6000) };
    const auto request = keeper.poll({}, wallAt({}), old, true);
    CHECK_FALSE(keeper.authority({}));
    REQUIRE(request);
    CHECK(request->follows == 7);
}

} // namespace fescuedeck
