#include "fescuedeck/gateway/crash_tracker.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };

} // namespace

TEST_CASE("only the third crash reports that the request becomes quarantined", "[gateway]")
{
    crash_tracker tracker;
    CHECK_FALSE(tracker.recordCrash("a", "e1", start));
    CHECK_FALSE(tracker.recordCrash("a", "e2", start));
    CHECK_FALSE(tracker.isQuarantined("a", start));
    CHECK(tracker.recordCrash("a", "e3", start));
    CHECK(tracker.isQuarantined("a", start));
    CHECK_FALSE(tracker.recordCrash("a", "e4", start));
    CHECK_FALSE(tracker.isQuarantined("b", start));
}

// Guards against refusing sound requests that moved along with the one that crashes engines.
TEST_CASE("crashes with another cause no longer count, nor the quarantines because of them",
          "[gateway]")
{
    crash_tracker tracker;
    for (const char *endpoint : { "e1", "e2", "e3" })
        tracker.recordCrash("beside", endpoint, start);
    tracker.quarantine("known", start);
    tracker.discountCrash("e2", start);
    CHECK_FALSE(tracker.isQuarantined("beside", start));
    CHECK(tracker.crashesOf("beside") == 2);
    CHECK(tracker.isQuarantined("known", start));
    CHECK(tracker.recordCrash("beside", "e4", start));
}

TEST_CASE("a quarantine learned from a peer takes effect at once and ends with it", "[gateway]")
{
    crash_tracker tracker;
    const time_point end = start + std::chrono::seconds(10);
    tracker.quarantineUntil("a", end, start);
    CHECK(tracker.isQuarantined("a", start));
    // Learning of it again does not prolong it, neither before nor after its end.
    for (const int seconds : { 9, 11 }) {
        const time_point now = start + std::chrono::seconds(seconds);
        tracker.quarantineUntil("a", end + std::chrono::seconds(2), now);
        tracker.expire(now);
    }
    CHECK_FALSE(tracker.isQuarantined("a", end));
    CHECK(tracker.quarantined(end).empty());
}

TEST_CASE("a request that crashes endpoints after its quarantine is kept out for longer",
          "[gateway]")
{
    crash_tracker tracker;
    const time_point first = tracker.quarantine("a", start);
    CHECK(tracker.quarantine("a", start) == first);
    tracker.expire(first);
    CHECK(tracker.quarantine("a", first) - first == 2 * (first - start));
    time_point end = first;
    for (int i = 0; i < 20; ++i)
        end = tracker.quarantine("a", end);
    CHECK(tracker.quarantine("a", end) - end == std::chrono::hours(1));
}

TEST_CASE("the number of tracked requests stays within its limit", "[gateway]")
{
    crash_tracker_settings settings;
    settings.maxFingerprints = 3;
    crash_tracker tracker(settings);
    for (int i = 0; i < 10; ++i)
        tracker.quarantine(std::to_string(i), start + std::chrono::seconds(i));
    CHECK(tracker.quarantined(start + std::chrono::seconds(9)).size() == 3);
    CHECK(tracker.isQuarantined("9", start + std::chrono::seconds(9)));
}

} // namespace fescuedeck
