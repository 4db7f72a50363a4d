// A router that loses the log, its peers, or both.
#include <csignal>

#include <catch2/catch.hpp>

#include "fleet_fixture.h"

namespace fescuedeck::process_tests {
namespace {

fleet_options twoRouters()
{
    fleet_options options;
    options.routers = 2;
    options.services = 0;
    options.routerSettings = "timing: { isolation_timeout: 500ms }\n";
    return options;
}

// Lists both routers as live, so that neither takes itself for the last one.
void listRouters(fleet_fixture &fleet)
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const router_member &router : fleet.routers) {
        hosts.push_back({ { "host", router.peers },
                          { "address", router.peers },
                          { "role", "router" },
                          { "state", "live" },
                          { "incarnation", "1" } });
    }
    fleet.client.post(fleet.platform.address, "/standin/hosts", { { "hosts", hosts } });
    for (const router_member &router : fleet.routers) {
        REQUIRE(eventually([&] {
            return fleet.client.call("GET", router.operators, "/metrics")
                           .body.find("fescuedeck_other_live_routers 1")
                   != std::string::npos;
        }));
    }
}

bool becomesReady(fleet_fixture &fleet, const router_member &router, bool ready)
{
    return eventually([&] {
        const int status = fleet.client.call("GET", router.operators, "/readyz").status;
        return status == (ready ? 200 : 503);
    });
}

http_response draftThrough(fleet_fixture &fleet, const router_member &router)
{
    const call_result answer
            = fleet.client.send(router.callers, fleet.draftRequest("a rider", 6, false));
    REQUIRE(answer.response);
    return answer.response.value();
}

} // namespace

// Guards against a router that goes on with a bundle or with endpoints that others have left long
// ago, because it hears neither the log nor a peer.
TEST_CASE("a router without log and peers takes no work until it hears one of them", "[process]")
{
    fleet_fixture fleet(twoRouters());
    REQUIRE(fleet.waitUntilServing());
    listRouters(fleet);
    const router_member &router = fleet.routers[0];
    REQUIRE(becomesReady(fleet, router, true));

    fleet.platform.process->signal(SIGSTOP);
    fleet.routers[1].process->signal(SIGSTOP);
    REQUIRE(becomesReady(fleet, router, false));
    const http_response refused = draftThrough(fleet, router);
    CHECK(refused.status == 503);
    CHECK(refused.body.find("not_ready") != std::string::npos);
    CHECK(refused.body.find("not-run") != std::string::npos);

    fleet.routers[1].process->signal(SIGCONT);
    CHECK(becomesReady(fleet, router, true)); // the peer is enough
    CHECK(draftThrough(fleet, router).status == 200);
    fleet.platform.process->signal(SIGCONT);
}

// Guards against a log outage that takes every router out of service.
TEST_CASE("routers that reach each other serve through a frozen log", "[process]")
{
    fleet_fixture fleet(twoRouters());
    REQUIRE(fleet.waitUntilServing());
    listRouters(fleet);
    fleet.platform.process->signal(SIGSTOP);
    // Longer than the isolation timeout: the log's calls have failed by then.
    REQUIRE(eventually([&] {
        return fleet.client.call("GET", fleet.routers[0].operators, "/metrics")
                       .body.find("fescuedeck_log_failures_total")
               != std::string::npos;
    }));
    for (const router_member &router : fleet.routers) {
        CHECK(becomesReady(fleet, router, true));
        CHECK(draftThrough(fleet, router).status == 200);
    }
    fleet.platform.process->signal(SIGCONT);
}

} // namespace fescuedeck::process_tests
