// Log outages and bundles that must not come into force. Guards against routers that serve without
// a bundle, accept a forged one, or disagree about which of two bundles won.
#include <csignal>

#include <catch2/catch.hpp>

#include "fescuedeck/bundle/canonical_bundle.h"
#include "fescuedeck/control/control_record.h"
#include "fleet_fixture.h"

namespace fescuedeck::process_tests {
namespace {

fleet_options smallFleet(int routers)
{
    fleet_options options;
    options.stages = { { { 0, 24 }, "a40", "Merzouga", {} } };
    options.services = 0;
    options.routers = routers;
    return options;
}

bundle nextBundle(const fleet_fixture &fleet, std::int64_t version, std::int64_t parent,
                  double weight)
{
    bundle next = fleet.currentBundle();
    next.version = version;
    next.parent = parent;
    next.workspaces[0].weight = weight;
    return next;
}

void appendControl(fleet_fixture &fleet, const std::string &id, const std::string &body)
{
    const nlohmann::json record = { { "id", id }, { "body", nlohmann::json::parse(body) } };
    const auto answer = fleet.client.post(fleet.platform.address, "/log/control/append",
                                          { { "records", nlohmann::json::array({ record }) } });
    REQUIRE(answer.contains("offsets"));
}

// Checks that every router has this bundle in force.
void checkInForce(fleet_fixture &fleet, const bundle &expected)
{
    for (const router_member &router : fleet.routers) {
        const auto status = fleet.client.get(router.operators, "/status");
        REQUIRE(status.is_object());
        CHECK(status["bundle"]["version"] == expected.version);
        CHECK(status["bundle"]["hash"] == bundleHash(canonicalBundle(expected)));
    }
}

} // namespace

// Guards against a router that serves without knowing the bundle, and against one that stays not
// ready after the outage.
TEST_CASE("a router started while the log is down serves once it is back", "[process]")
{
    fleet_fixture fleet(smallFleet(2));
    REQUIRE(fleet.waitUntilServing());
    addFault(fleet.client, fleet.platform.address,
             { { "kind", "refuse" }, { "path", "/log/" }, { "count", 0 } });
    fleet.routers[0].process->signal(SIGKILL);
    REQUIRE(fleet.routers[0].process->waitForExit() == 128 + SIGKILL);
    fleet.restartRouter(0);
    // The router has tried to read the log and failed.
    REQUIRE(eventually([&] {
        return fleet.client.call("GET", fleet.routers[0].operators, "/metrics")
                       .body.find("fescuedeck_log_failures_total")
               != std::string::npos;
    }));
    const http_request draft = fleet.draftRequest("seven riders", 8, false);
    const call_result during = fleet.client.send(fleet.routers[0].callers, draft);
    REQUIRE(during.response);
    const auto body = nlohmann::json::parse(during.response.value().body, nullptr, false);
    // Without a peer that offers its state, the router cannot know the bundle.
    if (during.response.value().status != 200) {
        CHECK(body["error"]["kind"] == "not_ready");
        CHECK(body["outcome"] == "not-run");
    } else {
        CHECK(body["choices"][0]["text"] == fleet.expectedText("seven riders", 8));
    }
    const call_result other = fleet.client.send(fleet.routers[1].callers, draft);
    REQUIRE(other.response);
    CHECK(other.response.value().status == 200);
    fleet.client.call("DELETE", fleet.platform.address, "/standin/faults");
    REQUIRE(fleet.waitUntilServing());
    const call_result after = fleet.client.send(fleet.routers[0].callers, draft);
    REQUIRE(after.response);
    CHECK(after.response.value().status == 200);
    checkInForce(fleet, fleet.currentBundle());
}

// Guards against a bundle that comes into force without the signature of an approver.
TEST_CASE("a forged bundle is ignored", "[process]")
{
    fleet_fixture fleet(smallFleet(2));
    REQUIRE(fleet.waitUntilServing());
    const bundle forged = nextBundle(fleet, 7, 1, 9);
    const std::string content = canonicalBundle(forged);
    const std::string hash = bundleHash(content);
    const auto otherKey = generateKeyPair();
    REQUIRE(otherKey);
    const auto signature = signHash(hash, otherKey.value().privateKey);
    REQUIRE(signature);
    appendControl(fleet, "forged-1", recordBody(bundle_proposed{ 7, 1, hash, content }));
    appendControl(fleet, "forged-2",
                  recordBody(bundle_signed{ 7, hash, "ops-1", signature.value() }));
    appendControl(fleet, "forged-3",
                  recordBody(bundle_signed{ 7, hash, "ops-9", signature.value() }));
    // Routers that have a later bundle in force have read the forged records before.
    const bundle valid = nextBundle(fleet, 2, 1, 3);
    fleet.publish(valid);
    REQUIRE(fleet.waitUntilInForce(2));
    checkInForce(fleet, valid);
}

// Guards against routers that follow different bundles after operators raced.
TEST_CASE("of two bundles with one parent the same one wins on all routers", "[process]")
{
    fleet_fixture fleet(smallFleet(4));
    REQUIRE(fleet.waitUntilServing());
    const bundle first = nextBundle(fleet, 2, 1, 3);
    const bundle second = nextBundle(fleet, 3, 1, 5);
    fleet.publish(first);
    fleet.publish(second);
    REQUIRE(fleet.waitUntilInForce(2));
    checkInForce(fleet, first);
    // Based on the winner, so that it is accepted only where the first one won; routers that have
    // it in force have read the loser before.
    const bundle rebased = nextBundle(fleet, 4, 2, 7);
    fleet.publish(rebased);
    REQUIRE(fleet.waitUntilInForce(4));
    checkInForce(fleet, rebased);
}

} // namespace fescuedeck::process_tests
