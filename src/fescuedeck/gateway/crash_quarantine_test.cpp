#include "fescuedeck/gateway/crash_quarantine.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

using namespace std::chrono_literals;

const time_point start{ std::chrono::hours(1) };

} // namespace

TEST_CASE("a segment that crashes engines is quarantined with all requests that have it",
          "[gateway]")
{
    crash_quarantine quarantine;
    quarantine.isDown = [](const std::string &) { return true; };
    std::vector<std::string> published;
    quarantine.onQuarantine = [&](const std::string &key, duration) { published.push_back(key); };
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
    quarantine.onQuarantine = [&](const std::string &key, duration) { told.push_back(key); };
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
    CHECK(quarantine.toTell(start).size() == 1);
    CHECK(quarantine.toTell(start).count("segment:bad") == 1);
    quarantine.recordCrash(sound, "e2", start);
    quarantine.update(start + std::chrono::seconds(3));
    CHECK(told == std::vector<std::string>{ "segment:bad", "alone" });
}

// Guards against a request that crashes endpoints again and again because its caller reaches
// another gateway each time, so that none counts enough crashes.
TEST_CASE("crashes that different gateways have seen count together against a request", "[gateway]")
{
    std::vector<crash_quarantine> gateways(4);
    for (crash_quarantine &gateway : gateways)
        gateway.isDown = [](const std::string &) { return true; };
    const request_identity harmful{ "harmful", {} };
    int crashes = 0;
    for (int step = 0; step < 12; ++step) {
        const time_point now = start + step * 1s;
        crash_quarantine &gateway = gateways[step % gateways.size()];
        if (!gateway.isQuarantined(harmful, now))
            gateway.recordEarlyEnd(harmful, "e" + std::to_string(++crashes), now);
        for (crash_quarantine &receiver : gateways) {
            if (&receiver != &gateway)
                receiver.merge(gateway.reports(now), now + 300ms);
            receiver.update(now + 300ms);
        }
    }
    CHECK(crashes == 3);
    for (const crash_quarantine &gateway : gateways) {
        CHECK(gateway.isQuarantined(harmful, start + 12s));
        CHECK_FALSE(gateway.isQuarantined({ "sound", {} }, start + 12s));
    }
}

// Guards against refusing a sound request whose connections were closed by endpoints that stay up.
TEST_CASE("closed connections that a peer reports do not count while the endpoints are up",
          "[gateway]")
{
    crash_quarantine peer;
    crash_quarantine gateway;
    gateway.isDown = [](const std::string &) { return false; };
    for (int i = 0; i < 5; ++i) {
        peer.recordEarlyEnd({ "sound", {} }, "e" + std::to_string(i), start);
        gateway.merge(peer.reports(start), start);
        gateway.update(start);
    }
    CHECK_FALSE(gateway.isQuarantined({ "sound", {} }, start));
}

// Guards against a request that crashes endpoints unnoticed, because its caller leaves just before.
TEST_CASE("crashes shortly after the caller has left count against the request", "[gateway]")
{
    std::set<std::string> down;
    std::map<std::string, time_point> progress;
    crash_quarantine quarantine;
    quarantine.isDown = [&](const std::string &incarnation) { return down.count(incarnation) > 0; };
    quarantine.lastProgress = [&](const std::string &incarnation) { return progress[incarnation]; };
    const request_identity request{ "left", { "a" } };
    const auto runAndLeave = [&](const std::string &engine, time_point now) {
        quarantine.recordAbandoned(request, engine, now);
        quarantine.update(now);
    };
    SECTION("if the endpoints are found to be down")
    {
        for (int i = 0; i < 3; ++i) {
            const time_point now = start + i * 1s;
            const std::string engine = "e" + std::to_string(i);
            runAndLeave(engine, now);
            progress[engine] = now + 30ms; // of another stream, before the crash
            CHECK_FALSE(quarantine.isQuarantined(request, now));
            down.insert(engine);
            quarantine.update(now + 200ms);
        }
        CHECK(quarantine.isQuarantined(request, start + 3s));
    }
    SECTION("but not if they went on for a while or end much later")
    {
        for (int i = 0; i < 6; ++i) {
            const time_point now = start + i * 20s;
            const std::string engine = "e" + std::to_string(i);
            runAndLeave(engine, now);
            progress[engine] = i % 2 == 0 ? now + 600ms : time_point{};
            const time_point downAt = i % 2 == 0 ? now + 700ms : now + 11s;
            quarantine.update(downAt - 1ms);
            down.insert(engine);
            quarantine.update(downAt);
        }
        CHECK_FALSE(quarantine.isQuarantined(request, start + 120s));
    }
}

// Guards against quarantines that a restored store has lost, or that are stored after their end.
TEST_CASE("quarantines in force that the store lacks are stored again", "[gateway]")
{
    crash_quarantine quarantine;
    quarantine.apply("kept", 60s, start);
    quarantine.apply("lost", 60s, start);
    quarantine.apply("over", 5s, start);
    const auto missing = quarantine.missingIn({ "kept", "of others" }, start + 10s);
    CHECK(missing == std::map<std::string, duration>{ { "lost", 50s } });
}

// Guards against gateways that keep a quarantine in force by telling each other of it.
TEST_CASE("a quarantine ends on all gateways although they exchange it", "[gateway]")
{
    crash_quarantine first;
    crash_quarantine second;
    for (crash_quarantine *quarantine : { &first, &second })
        quarantine->isDown = [](const std::string &) { return false; };
    first.apply("bad", 120s, start);
    const time_point end = start + std::chrono::seconds(180);
    for (int step = 0; start + step * 50ms < end; ++step) {
        const time_point now = start + step * 50ms;
        // The gateways expire and tell at different moments.
        if (step % 4 == 0)
            first.update(now);
        if (step % 4 == 2)
            second.update(now);
        crash_quarantine &sender = step % 6 == 1 ? first : second;
        crash_quarantine &receiver = step % 6 == 1 ? second : first;
        for (const auto &[key, remaining] : sender.toTell(now))
            receiver.apply(key, remaining, now + 5ms);
    }
    CHECK_FALSE(first.isQuarantined({ "bad", {} }, end));
    CHECK_FALSE(second.isQuarantined({ "bad", {} }, end));
}

TEST_CASE("the last segment of a prompt is not shared", "[gateway]")
{
    CHECK(sharedSegmentsOf({ "a", "b", "c" }) == std::vector<std::string>{ "a", "b" });
    CHECK(sharedSegmentsOf({ "a" }).empty());
    CHECK(sharedSegmentsOf({}).empty());
}

// Guards against refusing sound requests whose connections were reset because the links of this
// gateway were cut.
TEST_CASE("crashes recorded since the links failed are withdrawn, earlier ones stay", "[gateway]")
{
    crash_quarantine quarantine;
    quarantine.isDown = [](const std::string &) { return true; };
    std::vector<std::string> told;
    quarantine.onQuarantine = [&](const std::string &key, duration) { told.push_back(key); };
    const request_identity sound{ "sound", { "a", "b" } };
    const request_identity bad{ "bad", {} };
    const time_point cutAt = start + 500ms;
    for (int i = 0; i < 3; ++i) {
        quarantine.recordCrash(bad, "bad-e" + std::to_string(i), start);
        quarantine.recordCrash(sound, "e" + std::to_string(i), cutAt);
        quarantine.recordEarlyEnd(sound, "e" + std::to_string(i), cutAt);
    }
    for (const char *engine : { "e3", "e4", "e5" })
        quarantine.recordAbandoned(sound, engine, cutAt);
    CHECK(quarantine.isQuarantined(sound, cutAt));
    quarantine.withdrawCrashes(cutAt, cutAt);
    CHECK_FALSE(quarantine.isQuarantined(sound, cutAt));
    CHECK(quarantine.isQuarantined(bad, cutAt));
    quarantine.update(cutAt + 2s);
    CHECK(told == std::vector<std::string>{ "bad" });
}

} // namespace fescuedeck
