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

// Returns a fleet of serving endpoints: a and b hold layers [0, 4), c holds [4, 8).
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

TEST_CASE("a leaving endpoint stays so until its next incarnation", "[fleet]")
{
    // Guards against new work for an endpoint that is leaving: a source of information that lags
    // behind the others may still show it as serving.
    fleet_state fleet = servingFleet();
    SECTION("learned from a refused call")
    {
        fleet.callRefusedLeaving("a", "i1", start);
    }
    SECTION("learned from its report")
    {
        fleet.applyReport("a", { "i1", true, 0, 0, 0us }, start);
    }
    SECTION("learned from a peer")
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
    // A late message about the earlier incarnation does not affect the new one.
    fleet.callRefusedLeaving("a", "i1", start + 3s);
    CHECK(phaseOf(fleet, "a") == endpoint_phase::Serving);
}

TEST_CASE("endpoints of a leaving or drained host are leaving", "[fleet]")
{
    // Guards against new work for an endpoint that restarts on a host which is being shut down. The
    // report of its new incarnation does not say that it is leaving.
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

TEST_CASE("a peer's suspicion alone only requests a probe", "[fleet]")
{
    // Guards against endpoints that all routers eject because one router has a broken link and
    // suspects them.
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

TEST_CASE("the last usable endpoint of a layer range is not ejected", "[fleet]")
{
    // Guards against the ejection of the whole fleet when the router's own network fails and all
    // its calls fail with it.
    fleet_state fleet = servingFleet();
    failTimes(fleet, "a", 3, start);
    CHECK(phaseOf(fleet, "a") == endpoint_phase::Ejected);
    failTimes(fleet, "b", 10, start);
    CHECK(phaseOf(fleet, "b") == endpoint_phase::Suspect);
    failTimes(fleet, "c", 10, start);
    CHECK(phaseOf(fleet, "c") == endpoint_phase::Suspect);
    // Endpoint b is leaving, so the ejected endpoint a is the only one left and is used again.
    fleet.callRefusedLeaving("b", "i1", start);
    CHECK(fleet.view().endpoints[0].usable);
}

TEST_CASE("an ejected endpoint returns gradually and after a growing backoff", "[fleet]")
{
    // Guards against an endpoint that alternates between working and failing, and that would fail
    // the same share of requests after each return.
    fleet_state fleet = servingFleet();
    failTimes(fleet, "a", 3, start);
    fleet.callSucceeded("a", "i1", step, start); // a call that began before the ejection
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
    CHECK(fleet.takeProbes(start + 6s).size() == 1); // the backoff has doubled to 2 s
}

TEST_CASE("in-flight work covers own, peers' and reported work", "[fleet]")
{
    // Guards against routers that all choose the same endpoint because its reports lag behind the
    // work that they have just assigned to it.
    fleet_state fleet = servingFleet();
    const auto inFlight = [&] { return fleet.view().endpoints[0].inFlight; };
    fleet.assign("a", { 0, 4 }, start);
    fleet.assign("a", { 0, 2 }, start);
    CHECK(inFlight() == Approx(1.5));
    fleet.setPeerInFlight("r2", { { "a", 4.0 } }, start);
    CHECK(inFlight() == Approx(5.5));
    fleet.applyReport("a", { "i1", false, 8, 2, 0us }, start);
    CHECK(inFlight() == Approx(10)); // the report includes work that no digest mentions
    fleet.assign("a", { 0, 4 }, start);
    CHECK(inFlight() == Approx(11));
    fleet.applyReport("a", { "i1", false, 0, 0, 0us }, start);
    fleet.refresh(start + 10s); // the digest has expired
    CHECK(inFlight() == Approx(2.5));
}

TEST_CASE("a much slower endpoint is ejected, a slightly slower one gets a lower rate", "[fleet]")
{
    // Guards against a faulty slow endpoint that stays in use, and against the ejection of a whole
    // cohort whose members became slower together.
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
    // If all endpoints of a cohort become slower at once, the cause is the load or the temperature
    // of the room and not a fault of one endpoint.
    for (const char *id : { "b", "c", "d" })
        feed(id, 200ms, 10);
    for (const char *id : { "b", "c", "d" })
        CHECK(phaseOf(fleet, id) == endpoint_phase::Serving);
}

} // namespace fescuedeck
