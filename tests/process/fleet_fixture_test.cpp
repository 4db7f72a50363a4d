// Checks the fixture itself without routers. Guards against tests of routers that fail because the
// fleet behind them is wrong.
#include "fleet_fixture.h"

#include <csignal>

#include <catch2/catch.hpp>

#include "fescuedeck/bundle/check_bundle.h"

namespace fescuedeck::process_tests {
namespace {

fleet_options withoutRouters()
{
    fleet_options options;
    options.routers = 0;
    return options;
}

} // namespace

TEST_CASE("the fixture's control records make its bundle the accepted one", "[process]")
{
    fleet_fixture fleet(withoutRouters());
    const auto page = fleet.client.get(fleet.platform.address,
                                       "/log/control/records?from=0&limit=10&wait_ms=0");
    REQUIRE(page["records"].size() == 2);
    CHECK(page["records"][0]["body"]["type"] == "bundle_proposed");
    CHECK(page["records"][1]["body"]["type"] == "bundle_signed");
    CHECK(checkBundle(fleet.currentBundle()).empty());
    CHECK(verifySignature(page["records"][1]["body"]["hash"],
                          page["records"][1]["body"]["signature"],
                          fleet.currentBundle().approvers[0].publicKey));
}

TEST_CASE("a restarted engine has its old address and a new incarnation", "[process]")
{
    fleet_fixture fleet(withoutRouters());
    const std::string address = fleet.engines[1].address;
    const auto before = fleet.client.get(address, "/v1/report")["incarnation"];
    fleet.engines[1].process->signal(SIGKILL);
    REQUIRE(fleet.engines[1].process->waitForExit() == 128 + SIGKILL);
    fleet.restartEngine(1);
    CHECK(fleet.engines[1].address == address);
    CHECK(fleet.client.get(address, "/v1/report")["incarnation"] != before);
}

} // namespace fescuedeck::process_tests
