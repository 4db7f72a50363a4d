#include "fescuedeck/gateway/crash_correlator.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };
const auto everythingIsDown = [](const std::string &) { return true; };

// Finds all causes and explains their crashes.
std::vector<std::string> findCauses(crash_correlator &crashes,
                                    const std::function<bool(const std::string &)> &isDown)
{
    std::vector<std::string> causes;
    while (const auto cause = crashes.findCause(isDown)) {
        causes.push_back(*cause);
        crashes.explainBy(*cause);
    }
    return causes;
}

using causes = std::vector<std::string>;

time_point at(int millis)
{
    return start + std::chrono::milliseconds(millis);
}

// Guards against blocking requests that only ran beside the one that crashes engines.
TEST_CASE("the segment that most crashes have in common is the cause", "[gateway]")
{
    crash_correlator crashes;
    crashes.recordCrash("e1@1", "r1", { "common", "bad" }, at(0));
    crashes.recordCrash("e1@1", "r2", { "rare" }, at(0));
    crashes.recordBegun({ "common" }, at(50));
    // The streams of the first engine moved to the second one together.
    crashes.recordCrash("e2@1", "r1", { "common", "bad" }, at(100));
    crashes.recordCrash("e2@1", "r2", { "rare" }, at(100));
    CHECK(findCauses(crashes, everythingIsDown).empty());
    crashes.recordCrash("e3@1", "r3", { "other", "bad" }, at(300));
    CHECK(findCauses(crashes, everythingIsDown) == causes{ "bad" });
    // Its crashes are no evidence against the others.
    CHECK(crashes.isExplained("e2@1"));
    crashes.recordCrash("e4@1", "r4", { "rare" }, at(400));
    CHECK(findCauses(crashes, everythingIsDown).empty());
}

// Guards against blaming a segment for what a single request does.
TEST_CASE("a request that crashes engines alone is no evidence against its segments", "[gateway]")
{
    crash_correlator crashes;
    for (int i = 0; i < 6; ++i)
        crashes.recordCrash("e" + std::to_string(i), "r1", { "shared" }, at(i * 100));
    CHECK(findCauses(crashes, everythingIsDown).empty());
}

// Guards against blocking the segments of sound requests that ran beside one that crashes engines.
TEST_CASE("a segment is no cause while one request was waiting at each of its crashes", "[gateway]")
{
    crash_correlator crashes;
    for (int i = 0; i < 3; ++i) {
        const std::string engine = "e" + std::to_string(i);
        crashes.recordCrash(engine, "harmful", { "a" }, at(i * 100));
        crashes.recordCrash(engine, "sound" + std::to_string(i), { "b" }, at(i * 100));
        crashes.recordCrash(engine, "other" + std::to_string(i), { "a" }, at(i * 100));
        CHECK(findCauses(crashes, everythingIsDown).empty());
    }
    crashes.recordCrash("e3", "r4", { "a" }, at(500));
    CHECK(findCauses(crashes, everythingIsDown) == causes{ "a" });
}

TEST_CASE("a closed connection of an engine that stays up is no crash", "[gateway]")
{
    crash_correlator crashes;
    bool isDown = false;
    const auto check = [&](const std::string &) { return isDown; };
    crashes.recordCrash("e1@1", "r1", { "bad" }, at(0));
    crashes.recordCrash("e2@1", "r2", { "bad" }, at(100));
    CHECK(findCauses(crashes, check).empty());
    isDown = true;
    CHECK(findCauses(crashes, check) == causes{ "bad" });
}

// Guards against blocking a new segment whose first requests meet the loss of a domain.
TEST_CASE("crashes at the same moment count once", "[gateway]")
{
    crash_correlator crashes;
    for (int i = 0; i < 8; ++i)
        crashes.recordCrash("e" + std::to_string(i), "r" + std::to_string(i), { "new" }, at(i));
    CHECK(findCauses(crashes, everythingIsDown).empty());
}

TEST_CASE("a segment with which answers have begun before needs more crashes", "[gateway]")
{
    crash_correlator crashes;
    crashes.recordBegun({ "popular" }, at(0));
    for (int i = 1; i <= 3; ++i) {
        crashes.recordCrash("e" + std::to_string(i), "r" + std::to_string(i), { "popular" },
                            at(i * 100));
    }
    CHECK(findCauses(crashes, everythingIsDown).empty());
    SECTION("and is cleared by an answer that begins")
    {
        crashes.recordBegun({ "popular" }, at(350));
        crashes.recordCrash("e4", "r4", { "popular" }, at(400));
        CHECK(findCauses(crashes, everythingIsDown).empty());
    }
    SECTION("but is a cause if none begins")
    {
        crashes.recordCrash("e4", "r4", { "popular" }, at(400));
        CHECK(findCauses(crashes, everythingIsDown) == causes{ "popular" });
    }
}

TEST_CASE("of segments that always come together the deepest one is the cause", "[gateway]")
{
    crash_correlator crashes;
    for (int i = 1; i <= 3; ++i) {
        crashes.recordCrash("e" + std::to_string(i), "r" + std::to_string(i), { "first", "second" },
                            at(i * 100));
    }
    CHECK(findCauses(crashes, everythingIsDown).empty());
    crashes.recordCrash("e4", "r4", { "first", "second" }, at(400));
    CHECK(findCauses(crashes, everythingIsDown) == causes{ "second" });
}

// Guards against each gateway waiting until it has seen enough crashes by itself.
TEST_CASE("gateways find a cause from what they have observed together", "[gateway]")
{
    crash_correlator first;
    crash_correlator second;
    first.recordCrash("e1", "r1", { "bad" }, at(0));
    second.recordCrash("e2", "r2", { "bad" }, at(100));
    second.recordCrash("e2", "r3", { "popular" }, at(100));
    first.recordCrash("e1", "r4", { "popular" }, at(0));
    first.recordBegun({ "popular" }, at(150));
    second.merge(first.reports(at(200)), at(200));
    CHECK(findCauses(second, everythingIsDown) == causes{ "bad" });
    // A report that returns does not extend the life of the crash.
    first.merge(second.reports(at(300)), at(300));
    CHECK(first.reports(at(5000)).crashes.empty());
}

TEST_CASE("the number of tracked crashes and segments stays within its limits", "[gateway]")
{
    crash_correlator_settings settings;
    settings.maxCrashes = 3;
    settings.maxSuspects = 2;
    settings.maxSegments = 4;
    crash_correlator crashes(settings);
    for (int i = 0; i < 10; ++i) {
        crashes.recordBegun({ "s" + std::to_string(i) }, at(i));
        crashes.recordCrash("e" + std::to_string(i), "r", { "a", "b", "c" }, at(i));
    }
    const crash_reports reports = crashes.reports(at(10));
    CHECK(reports.crashes.size() == 3);
    CHECK(reports.crashes.at("e9").suspects.size() == 2);
}

// Guards against digests that grow with the size of an outage.
TEST_CASE("peers are told only the newest crashes, for a short time", "[gateway]")
{
    crash_correlator crashes;
    for (int i = 0; i < 50; ++i)
        crashes.recordCrash("e" + std::to_string(i), "r", { "a" }, at(i));
    const crash_reports reports = crashes.reports(at(50));
    CHECK(reports.crashes.size() == 8);
    CHECK(reports.crashes.count("e49") == 1);
    CHECK(crashes.reports(at(6000)).crashes.empty());
}

} // namespace
} // namespace fescuedeck
