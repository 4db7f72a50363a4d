// A request that crashes each engine that runs it, sent again by its caller through every router.
#include <csignal>

#include <catch2/catch.hpp>

#include "stream_group.h"

namespace fescuedeck::process_tests {
namespace {

constexpr int batchMicroseconds = 4000;
constexpr std::size_t allowedCrashes = 2; // in the whole fleet, by one request
const std::string marker = "cursed";

// Four replicas, so that the fleet covers every layer after two engines have crashed.
fleet_options fourReplicas()
{
    fleet_options options;
    const auto stages = slowStages(batchMicroseconds);
    options.stages = stages;
    options.stages.insert(options.stages.end(), stages.begin(), stages.end());
    options.services = 0;
    return options;
}

std::size_t crashedEngines(fleet_fixture &fleet)
{
    std::size_t crashed = 0;
    for (fleet_member &engine : fleet.engines)
        crashed += engine.process->isRunning() ? 0 : 1;
    return crashed;
}

void crashOnMarker(fleet_fixture &fleet)
{
    for (const fleet_member &engine : fleet.engines) {
        addFault(fleet.client, engine.address,
                 { { "kind", "crash" },
                   { "path", "/v1/stage/run" },
                   { "marker", marker },
                   { "count", 0 } });
    }
}

bool isQuarantinedOn(fleet_fixture &fleet, const router_member &router)
{
    return eventually([&] {
        const auto status = fleet.client.get(router.operators, "/status");
        return status.is_object() && !status["quarantined"].empty();
    });
}

} // namespace

// Guards against a request that takes down one engine after another, against neighbours that are
// blamed for its crashes, and against a router that forgets the quarantine when it restarts.
TEST_CASE("a request that crashes engines is quarantined on every router", "[process]")
{
    fleet_fixture fleet(fourReplicas());
    REQUIRE(fleet.waitUntilServing());
    crashOnMarker(fleet);
    stream_group neighbours(fleet);
    neighbours.start("neighbour", 8);
    REQUIRE(neighbours.waitForProgress(2));

    const http_request cursed = fleet.draftRequest("a " + marker + " vase", 8, false);
    for (const router_member &router : fleet.routers) {
        const call_result answer = fleet.client.send(router.callers, cursed);
        REQUIRE(answer.response);
        CHECK(answer.response.value().status != 200);
    }
    for (const router_member &router : fleet.routers)
        CHECK(isQuarantinedOn(fleet, router));
    const call_result refused = fleet.client.send(fleet.routers.back().callers, cursed);
    REQUIRE(refused.response);
    CHECK(refused.response.value().status == 422);
    CHECK(refused.response.value().body.find("\"quarantined\"") != std::string::npos);

    neighbours.watchToEnd();
    neighbours.checkWhole();
    CHECK(crashedEngines(fleet) <= allowedCrashes);

    const auto record = [&] {
        const auto page = fleet.client.get(fleet.platform.address,
                                           "/log/control/records?from=0&limit=100&wait_ms=0");
        return page.dump().find("quarantine") != std::string::npos;
    };
    CHECK(eventually(record));
    fleet.routers.front().process->signal(SIGKILL);
    REQUIRE(fleet.routers.front().process->waitForExit());
    fleet.restartRouter(0);
    CHECK(isQuarantinedOn(fleet, fleet.routers.front()));
    CHECK(crashedEngines(fleet) <= allowedCrashes);
}

} // namespace fescuedeck::process_tests
