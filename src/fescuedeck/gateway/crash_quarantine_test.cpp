#include "fescuedeck/gateway/crash_quarantine.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };

} // namespace

TEST_CASE("a segment that crashes engines is quarantined with all requests that have it",
          "[gateway]")
{
    crash_quarantine quarantine;
    quarantine.isDown = [](const std::string &) { return true; };
    std::vector<std::string> published;
    quarantine.onQuarantine = [&](const std::string &key) { published.push_back(key); };
    const request_identity waiting{ "r9", { "a", "bad" } };
    const request_identity sound{ "r8", { "a" } };
    int cancelled = 0;
    const quarantine_watch watch(quarantine, waiting, [&] { ++cancelled; });
    const quarantine_watch other(quarantine, sound, [&] { FAIL("a sound request is cancelled"); });
    for (int i = 0; i < 2; ++i) {
        const time_point now = start + std::chrono::milliseconds(100 * i);
        quarantine.recordBegun({ "r0", { "a" } }, now);
        quarantine.recordEarlyEnd({ "r" + std::to_string(i), { "a", "bad" } },
                                  "e" + std::to_string(i), now);
        quarantine.update(now);
    }
    CHECK(published == std::vector<std::string>{ "segment:bad" });
    CHECK(cancelled == 1);
    CHECK(quarantine.isQuarantined(waiting, start));
    CHECK_FALSE(quarantine.isQuarantined(sound, start));
}

// Guards against refusing sound requests that moved along with the one that crashes engines.
TEST_CASE("a request is not quarantined for crashes that a segment explains", "[gateway]")
{
    crash_quarantine quarantine;
    quarantine.isDown = [](const std::string &) { return true; };
    std::vector<std::string> told;
    quarantine.onQuarantine = [&](const std::string &key) { told.push_back(key); };
    const request_identity sound{ "sound", { "a" } };
    const request_identity alone{ "alone", {} };
    for (int i = 0; i < 3; ++i) {
        const time_point now = start + std::chrono::milliseconds(100 * i);
        const std::string engine = "e" + std::to_string(i);
        quarantine.recordBegun(sound, now);
        quarantine.recordCrash(sound, engine, now);
        quarantine.recordCrash(alone, "other" + engine, now);
        quarantine.recordEarlyEnd({ i < 2 ? "r1" : "r2", { "bad" } }, engine, now);
    }
    CHECK(quarantine.isQuarantined(sound, start));
    quarantine.update(start + std::chrono::milliseconds(300));
    CHECK_FALSE(quarantine.isQuarantined(sound, start));
    CHECK(quarantine.isQuarantined(alone, start));
    CHECK(quarantine.keys() == std::vector<std::string>{ "segment:bad" });
    quarantine.recordCrash(sound, "e2", start);
    quarantine.update(start + std::chrono::seconds(3));
    CHECK(told == std::vector<std::string>{ "segment:bad", "alone" });
}

TEST_CASE("the last segment of a prompt is not shared", "[gateway]")
{
    CHECK(sharedSegmentsOf({ "a", "b", "c" }) == std::vector<std::string>{ "a", "b" });
    CHECK(sharedSegmentsOf({ "a" }).empty());
    CHECK(sharedSegmentsOf({}).empty());
}

} // namespace fescuedeck
