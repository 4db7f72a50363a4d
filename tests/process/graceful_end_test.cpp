// Graceful ends of a router and of an endpoint's host under load. Guards against requests that are
// cut and against new work for an endpoint that leaves.
#include <csignal>
#include <future>
#include <random>

#include <catch2/catch.hpp>

#include "fescuedeck/base/ids.h"
#include "fescuedeck/claims/claim_record.h"
#include "stream_group.h"

namespace fescuedeck::process_tests {
namespace {

constexpr int streamCount = 6;
constexpr int batchMicroseconds = 4000;
constexpr int claimPartitions = 4;
// Their retries outlast the first try to record an answer, after which the caller gets it.
constexpr int refusedAppends = 8;

fleet_options busyFleet(int routers)
{
    fleet_options options;
    options.stages = slowStages(batchMicroseconds);
    options.routers = routers;
    options.routerSettings = "timing: { shutdown_notice: 100ms }\n";
    return options;
}

std::string newKey()
{
    static const random_fn random = seededRandom(std::random_device()());
    return makeUuidV7(wallNow(), random);
}

std::string outcomeOf(const call_result &call)
{
    const std::string *outcome
            = call.response ? findHeader(call.response.value().headers, "Fescuedeck-Outcome")
                            : nullptr;
    return outcome ? *outcome : "";
}

bool isLeavingOn(fleet_fixture &fleet, const router_member &router, const std::string &endpoint)
{
    const auto status = fleet.client.get(router.operators, "/status");
    if (!status.is_object())
        return false;
    for (const auto &each : status["endpoints"]) {
        if (each["id"] == endpoint)
            return each["state"] == "leaving";
    }
    return false;
}

// Calls at all engines whose prompt contains the marker.
int markedCalls(fleet_fixture &fleet)
{
    int calls = 0;
    for (const fleet_member &engine : fleet.engines)
        calls += firedFaults(fleet.client, engine.address);
    return calls;
}

} // namespace

// Guards against streams and calls that are cut, or doubled by a retry, when their router is
// replaced.
TEST_CASE("a router that gets SIGTERM ends its streams and calls whole", "[process]")
{
    fleet_fixture fleet(busyFleet(1));
    REQUIRE(fleet.waitUntilServing());
    const std::string &callers = fleet.routers[0].callers;
    REQUIRE(eventually([&] {
        return outcomeOf(fleet.client.send(callers, fleet.signatureRequest("warm-up", newKey())))
               == "ran";
    }));
    for (const fleet_member &service : fleet.services)
        addFault(fleet.client, service.address,
                 { { "kind", "delay" }, { "path", "/desk" }, { "delay_ms", 400 }, { "count", 0 } });
    stream_group streams(fleet);
    streams.start("router ends", streamCount);
    std::vector<std::future<call_result>> calls;
    for (int i = 0; i < streamCount; ++i) {
        const http_request request = fleet.signatureRequest("w-" + std::to_string(i), newKey());
        calls.push_back(std::async(std::launch::async, [&fleet, &callers, request] {
            return fleet.client.send(callers, request);
        }));
    }
    REQUIRE(streams.waitForProgress(3));
    REQUIRE(eventually([&] {
        return firedFaults(fleet.client, fleet.services[0].address)
                       + firedFaults(fleet.client, fleet.services[1].address)
               == streamCount;
    }));
    fleet.routers[0].process->signal(SIGTERM);
    streams.checkWhole();
    for (auto &call : calls)
        CHECK(outcomeOf(call.get()) == "ran");
    CHECK(fleet.routers[0].process->waitForExit() == 0);
    for (int i = 0; i < streamCount; ++i)
        CHECK(fleet.executionsOf("w-" + std::to_string(i)) == 1);
}

// Guards against a router that ends before it has recorded the answers that it gave, so that a
// repeated call gets "unknown" instead of its answer.
TEST_CASE("a router that gets SIGTERM records the answers of its calls first", "[process]")
{
    fleet_fixture fleet(busyFleet(2));
    REQUIRE(fleet.waitUntilServing());
    for (const router_member &router : fleet.routers) {
        const http_request warmUp = fleet.signatureRequest("warm-up", newKey());
        REQUIRE(eventually(
                [&] { return outcomeOf(fleet.client.send(router.callers, warmUp)) == "ran"; }));
    }
    const std::string key = newKey();
    const std::string partition
            = std::to_string(partitionOf(scopedKey("convoy", key), claimPartitions));
    // The first append is the claim; the next ones record the answer.
    addFault(fleet.client, fleet.platform.address,
             { { "kind", "refuse" },
               { "path", "/log/claims-" + partition + "/append" },
               { "first", 2 },
               { "count", refusedAppends } });
    const http_request request = fleet.signatureRequest("w-1", key);
    REQUIRE(outcomeOf(fleet.client.send(fleet.routers[0].callers, request)) == "ran");
    fleet.routers[0].process->signal(SIGTERM);
    CHECK(fleet.routers[0].process->waitForExit() == 0);
    CHECK(firedFaults(fleet.client, fleet.platform.address) == refusedAppends);
    CHECK(eventually(
            [&] {
                return outcomeOf(fleet.client.send(fleet.routers[1].callers, request)) == "ran";
            },
            std::chrono::seconds(10)));
    CHECK(fleet.executionsOf("w-1") == 1);
}

// Guards against streams that are cut by a drain, and against new requests for a drained host.
TEST_CASE("a drained engine ends its streams and gets no new request", "[process]")
{
    fleet_fixture fleet(busyFleet(2));
    REQUIRE(fleet.waitUntilServing());
    stream_group before(fleet);
    before.start("before the drain", streamCount);
    REQUIRE(before.waitForProgress(3));
    const std::size_t drained = busiestEngine(fleet);
    const std::string id = fleet.currentBundle().endpoints[drained].id;
    const auto asked = std::chrono::steady_clock::now();
    const http_response answer
            = fleet.client.call("POST", fleet.routers[0].operators, "/drain",
                                nlohmann::json{ { "host", "host-" + id } }.dump());
    REQUIRE(answer.status == 200);
    REQUIRE(eventually([&] {
        return isLeavingOn(fleet, fleet.routers[0], id) && isLeavingOn(fleet, fleet.routers[1], id);
    }));
    const auto known = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - asked);
    for (const fleet_member &engine : fleet.engines)
        addFault(fleet.client, engine.address,
                 { { "kind", "delay" },
                   { "path", "/v1/stage/run" },
                   { "marker", "after the drain" },
                   { "count", 0 } });
    stream_group after(fleet);
    after.start("after the drain", streamCount);
    after.checkWhole();
    before.checkWhole();
    CHECK(firedFaults(fleet.client, fleet.engines[drained].address) == 0);
    CHECK(markedCalls(fleet) > 0);
    WARN("information: drain known to both routers after " << known.count()
                                                           << " ms; the target is 2000 ms");
}

} // namespace fescuedeck::process_tests
