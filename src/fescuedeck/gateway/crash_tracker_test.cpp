#include "fescuedeck/gateway/crash_tracker.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };

} // namespace

TEST_CASE("the third crash quarantines a request, once", "[gateway]")
{
    crash_tracker tracker;
    CHECK_FALSE(tracker.recordCrash("a", start));
    CHECK_FALSE(tracker.recordCrash("a", start));
    CHECK_FALSE(tracker.isQuarantined("a", start));
    CHECK(tracker.recordCrash("a", start));
    CHECK(tracker.isQuarantined("a", start));
    CHECK_FALSE(tracker.recordCrash("a", start));
    CHECK_FALSE(tracker.isQuarantined("b", start));
}

TEST_CASE("a quarantine heard from a peer counts at once and ends after its time", "[gateway]")
{
    crash_tracker_settings settings;
    settings.quarantineExpiry = std::chrono::seconds(10);
    crash_tracker tracker(settings);
    tracker.quarantine("a", start);
    CHECK(tracker.quarantined() == std::vector<std::string>{ "a" });
    // Hearing of it again does not lengthen it.
    tracker.quarantine("a", start + std::chrono::seconds(9));
    CHECK_FALSE(tracker.isQuarantined("a", start + std::chrono::seconds(10)));
    tracker.expire(start + std::chrono::seconds(10));
    CHECK(tracker.quarantined().empty());
}

TEST_CASE("the ledger stays within its limit", "[gateway]")
{
    crash_tracker_settings settings;
    settings.maxFingerprints = 3;
    crash_tracker tracker(settings);
    for (int i = 0; i < 10; ++i)
        tracker.quarantine(std::to_string(i), start + std::chrono::seconds(i));
    CHECK(tracker.quarantined().size() == 3);
    CHECK(tracker.isQuarantined("9", start + std::chrono::seconds(9)));
}

} // namespace fescuedeck
