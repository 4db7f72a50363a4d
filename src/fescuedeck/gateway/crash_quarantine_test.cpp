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

TEST_CASE("the last segment of a prompt is not shared", "[gateway]")
{
    CHECK(sharedSegmentsOf({ "a", "b", "c" }) == std::vector<std::string>{ "a", "b" });
    CHECK(sharedSegmentsOf({ "a" }).empty());
    CHECK(sharedSegmentsOf({}).empty());
}

} // namespace fescuedeck
