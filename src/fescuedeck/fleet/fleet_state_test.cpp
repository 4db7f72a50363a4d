#include "fescuedeck/fleet/fleet_state.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

using namespace std::chrono_literals;

const time_point start{ 100s };

wanted_endpoint endpoint(const std::string &id, layer_range layers, const std::string &host = "h")
{
    return { id, host, "merzouga", "a10", "waiver", "v1", layers, 100 };
}

// Two endpoints hold [0, 4), one holds [4, 8); all serve.
fleet_state servingFleet()
{
    fleet_state fleet;
    fleet.setWanted({ endpoint("a", { 0, 4 }, "h1"), endpoint("b", { 0, 4 }, "h2"),
                      endpoint("c", { 4, 8 }, "h3") },
                    start);
    for (const char *id : { "a", "b", "c" })
        fleet.applyReport(id, { "i1", false, 0, 0, 0us }, start);
    return fleet;
}

endpoint_phase phaseOf(const fleet_state &fleet, const std::string &id)
{
    return fleet.find(id)->phase();
}

void failTimes(fleet_state &fleet, const std::string &id, int times, time_point now)
{
    for (int i = 0; i < times; ++i)
        fleet.callFailed(id, now);
}

const hop_timing step{ { 0, 4 }, 1, 8ms };

} // namespace

TEST_CASE("leaving is final within an incarnation", "[fleet]")
{
    // Guards against new work for a leaving endpoint because a lagging source still shows it live.
    fleet_state fleet = servingFleet();
    SECTION("told by a refusal")
    {
        fleet.callRefusedLeaving("a", "i1", start);
    }
    SECTION("told by its report")
    {
        fleet.applyReport("a", { "i1", true, 0, 0, 0us }, start);
    }
    SECTION("told by a peer")
    {
        fleet.peerSawLeaving("a", "i1", start);
    }
    fleet.applyReport("a", { "i1", false, 0, 0, 0us }, start + 1s);
    fleet.callSucceeded("a", "i1", step, start + 1s);
    fleet.recordProbe("a", true, "i1", start + 1s);
    fleet.applyHostList({ { "h1", "x", false } }, start + 1s);
    fleet.setWanted({ endpoint("a", { 0, 4 }, "h1") }, start + 1s);
    CHECK(phaseOf(fleet, "a") == endpoint_phase::Leaving);

    fleet.applyReport("a", { "i2", false, 0, 0, 0us }, start + 2s);
    CHECK(phaseOf(fleet, "a") == endpoint_phase::Serving);
    // A late message of the earlier incarnation neither revives nor ends the new one.
    fleet.callRefusedLeaving("a", "i1", start + 3s);
    CHECK(phaseOf(fleet, "a") == endpoint_phase::Serving);
}

TEST_CASE("endpoints of a leaving or drained host leave", "[fleet]")
{
    // Guards against a restarted endpoint that takes new work on a host that is being shut down.
    fleet_state fleet = servingFleet();
    fleet.applyHostList({ { "h1", "x", true } }, start);
    fleet.applyHostList({ { "h1", "x", false } }, start + 1s);
    fleet.applyReport("a", { "i2", false, 0, 0, 0us }, start + 1s);
    CHECK(phaseOf(fleet, "a") == endpoint_phase::Leaving);
    fleet.applyHostList({ { "h1", "y", false } }, start + 2s);
    fleet.applyReport("a", { "i3", false, 0, 0, 0us }, start + 2s);
    CHECK(phaseOf(fleet, "a") == endpoint_phase::Serving);

    fleet.setDrainedHosts({ "h2" }, start);
    fleet.applyReport("b", { "i2", false, 0, 0, 0us }, start + 1s);
    CHECK(phaseOf(fleet, "b") == endpoint_phase::Leaving);
}

TEST_CASE("a peer's suspicion alone only causes a probe", "[fleet]")
{
    // Guards against one router with a broken link that ejects endpoints on all others.
    fleet_state fleet = servingFleet();
    const std::uint64_t topology = fleet.view().topology;
    for (int i = 0; i < 100; ++i)
        fleet.peerSuspects("a", start + i * 1ms);
    CHECK(phaseOf(fleet, "a") == endpoint_phase::Serving);
    CHECK(fleet.view().topology == topology);
    CHECK(fleet.takeProbes(start + 1s) == std::vector<std::string>{ "a" });
    CHECK(fleet.takeProbes(start + 1s).empty());
    fleet.recordProbe("a", true, "i1", start + 1s);
    CHECK(fleet.takeProbes(start + 2s).empty());
}

TEST_CASE("the last endpoints of a layer range stay in use", "[fleet]")
{
    // Guards against ejecting the whole fleet when the router's own network fails.
    fleet_state fleet = servingFleet();
    failTimes(fleet, "a", 3, start);
    CHECK(phaseOf(fleet, "a") == endpoint_phase::Ejected);
    failTimes(fleet, "b", 10, start);
    CHECK(phaseOf(fleet, "b") == endpoint_phase::Suspect);
    failTimes(fleet, "c", 10, start);
    CHECK(phaseOf(fleet, "c") == endpoint_phase::Suspect);
    // The remaining one leaves: the ejected one is used again rather than none.
    fleet.callRefusedLeaving("b", "i1", start);
    CHECK(fleet.view().endpoints[0].usable);
}

TEST_CASE("return after an ejection is gradual and backs off", "[fleet]")
{
    // Guards against an endpoint that flaps and fails the same share of requests each time.
    fleet_state fleet = servingFleet();
    failTimes(fleet, "a", 3, start);
    fleet.callSucceeded("a", "i1", step, start); // a call that was under way
    CHECK(phaseOf(fleet, "a") == endpoint_phase::Ejected);
    CHECK(fleet.takeProbes(start + 500ms).empty());
    CHECK(fleet.takeProbes(start + 1s) == std::vector<std::string>{ "a" });
    fleet.recordProbe("a", true, "i1", start + 1s);
    CHECK(fleet.view().endpoints[0].weight == Approx(0.1));
    fleet.refresh(start + 3500ms);
    CHECK(fleet.view().endpoints[0].weight == Approx(0.5));
    CHECK(fleet.view().endpoints[0].tokensPerSecond == Approx(50));
    failTimes(fleet, "a", 3, start + 4s);
    CHECK(fleet.takeProbes(start + 5500ms).empty());
    CHECK(fleet.takeProbes(start + 6s).size() == 1); // after 2 s
}

TEST_CASE("work in flight is own, peers' and reported work", "[fleet]")
{
    // Guards against herding: routers that see only lagging reports choose the same endpoint.
    fleet_state fleet = servingFleet();
    const auto inFlight = [&] { return fleet.view().endpoints[0].inFlight; };
    fleet.assign("a", { 0, 4 }, start);
    fleet.assign("a", { 0, 2 }, start);
    CHECK(inFlight() == Approx(1.5));
    fleet.setPeerInFlight("r2", { { "a", 4.0 } }, start);
    CHECK(inFlight() == Approx(5.5));
    fleet.applyReport("a", { "i1", false, 8, 2, 0us }, start);
    CHECK(inFlight() == Approx(10)); // the report knows of work that no digest names
    fleet.assign("a", { 0, 4 }, start);
    CHECK(inFlight() == Approx(11));
    fleet.applyReport("a", { "i1", false, 0, 0, 0us }, start);
    fleet.refresh(start + 10s); // the digest has expired
    CHECK(inFlight() == Approx(2.5));
}

TEST_CASE("a step time far above history and kin ejects, heat raises the cost", "[fleet]")
{
    fleet_state fleet;
    std::vector<wanted_endpoint> wanted;
    for (const char *id : { "a", "b", "c", "d" })
        wanted.push_back(endpoint(id, { 0, 4 }));
    fleet.setWanted(wanted, start);
    const auto feed = [&](const std::string &id, duration elapsed, int times) {
        for (int i = 0; i < times; ++i)
            fleet.callSucceeded(id, "i1", { { 0, 4 }, 1, elapsed }, start);
        fleet.refresh(start);
    };
    for (const wanted_endpoint &one : wanted)
        feed(one.id, 8ms, 200);
    feed("a", 16ms, 40);
    CHECK(phaseOf(fleet, "a") == endpoint_phase::Serving);
    CHECK(fleet.view().endpoints[0].tokensPerSecond < 60);
    feed("a", 200ms, 60);
    CHECK(phaseOf(fleet, "a") == endpoint_phase::Ejected);
    // All of a kind slower at once is load or heat of a room, not a fault of one endpoint.
    for (const char *id : { "b", "c", "d" })
        feed(id, 200ms, 10);
    for (const char *id : { "b", "c", "d" })
        CHECK(phaseOf(fleet, id) == endpoint_phase::Serving);
}

} // namespace fescuedeck
