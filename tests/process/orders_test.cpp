// Orders to engines with real routers: leases, loads and fencing.
#include <algorithm>
#include <csignal>
#include <optional>

#include <catch2/catch.hpp>

#include "fescuedeck/control/control_state.h"
#include "fleet_fixture.h"

namespace fescuedeck::process_tests {
namespace {

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int maxTokens = 12;
// Engines in defaultStages() whose ranges overlap: both hold layers 0-8.
constexpr std::size_t checkingEngine = 0;
constexpr std::size_t uncheckingEngine = 3;

constexpr unix_millis releaseTerm(1);

// Leases of the model in the order of the log. Folded, because the log also holds records that the
// fold rejects, such as the late renewal of a router that was paused.
std::vector<lease> leaseHistory(fleet_fixture &fleet)
{
    std::vector<lease> leases;
    control_state state;
    const auto page = fleet.client.get(fleet.platform.address,
                                       "/log/control/records?from=0&limit=1000&wait_ms=0");
    if (!page.is_object())
        return leases;
    for (const auto &record : page["records"]) {
        state.apply({ record["offset"], record["id"], unix_millis(record["time_ms"]),
                      record["body"].dump() });
        const auto current = state.leaseOf("waiver");
        if (current && (leases.empty() || leases.back().offset != current->offset))
            leases.push_back(*current);
    }
    return leases;
}

// Index of the router in a holder id, "router-<index + 1>/<incarnation>".
std::size_t routerOf(const std::string &holder)
{
    const std::string prefix = "router-";
    return std::stoul(holder.substr(prefix.size())) - 1;
}

// Highest fencing number that the engine has accepted, -1 before the first. The order with which it
// asks has a lower number than any other, so that an engine that checks the number refuses it.
std::int64_t highestFencing(fleet_fixture &fleet, std::size_t engine)
{
    const auto answer = fleet.client.post(
            fleet.engines[engine].address, "/v1/orders",
            { { "fencing", -2 }, { "wanted", { { "loads", nlohmann::json::array() } } } });
    return answer.is_object() ? answer.value("fencing", std::int64_t{ -1 }) : -1;
}

nlohmann::json heldLayers(fleet_fixture &fleet, std::size_t engine)
{
    const auto report = fleet.client.get(fleet.engines[engine].address, "/v1/report");
    return report.is_object() ? report["layers"] : nlohmann::json();
}

// Status of an order without loads, as a previous holder could have sent it.
int sendLateOrder(fleet_fixture &fleet, std::size_t engine, std::int64_t fencing)
{
    const nlohmann::json order
            = { { "fencing", fencing },
                { "wanted", { { "role", "serving" }, { "loads", nlohmann::json::array() } } } };
    return fleet.client
            .call("POST", fleet.engines[engine].address, "/v1/orders", order.dump(),
                  { { "Content-Type", "application/json" } })
            .status;
}

// Text of a draft that is repeated until it is answered; empty if none is.
std::string draftText(fleet_fixture &fleet, std::size_t router, const std::string &prompt)
{
    std::string text;
    eventually([&] {
        const auto result = fleet.client.send(fleet.routers[router].callers,
                                              fleet.draftRequest(prompt, maxTokens, false));
        if (!result.response || result.response.value().status != statusOk)
            return false;
        text = nlohmann::json::parse(result.response.value().body)["choices"][0]["text"];
        return true;
    });
    return text;
}

// Waits until a router other than exceptHolder holds the lease and the engine that checks the
// fencing number has accepted an order of it. Returns the first lease of its tenure.
lease waitForHolder(fleet_fixture &fleet, const std::string &exceptHolder = "")
{
    std::optional<lease> first;
    REQUIRE(eventually([&] {
        const auto leases = leaseHistory(fleet);
        if (leases.empty() || leases.back().holder == exceptHolder)
            return false;
        const auto found = std::find_if(leases.begin(), leases.end(), [&](const lease &held) {
            return held.holder == leases.back().holder;
        });
        first = *found;
        return highestFencing(fleet, checkingEngine) >= first->offset;
    }));
    return *first;
}

bool hasAcceptedOrders(fleet_fixture &fleet)
{
    return std::any_of(fleet.routers.begin(), fleet.routers.end(), [&](const auto &router) {
        const std::string text = fleet.client.call("GET", router.operators, "/metrics").body;
        return text.find("fescuedeck_orders_total{model=\"waiver\",result=\"accepted\"}")
               != std::string::npos;
    });
}

} // namespace

// Guards against engines that stay empty because no router tells them what to load.
TEST_CASE("an engine that starts without layers is ordered to load them and serves", "[process]")
{
    fleet_options options;
    options.routers = 2;
    options.services = 0;
    options.stages.resize(3);
    options.stages[1].flags = { "--loads=" };
    fleet_fixture fleet(options);
    REQUIRE(eventually([&] { return heldLayers(fleet, 1).size() == 1; }));
    const auto layers = heldLayers(fleet, 1);
    CHECK(layers[0]["begin"] == 8);
    CHECK(layers[0]["end"] == 16);
    CHECK(draftText(fleet, 0, "border crossing at dawn")
          == fleet.expectedText("border crossing at dawn", maxTokens));
    CHECK(fleet.client.get(fleet.engines[1].address, "/standin/counts")["hops"] > 0);
    CHECK(hasAcceptedOrders(fleet));
}

// Guards against two routers that command the engines at once: one that was paused past its term
// must not go on as the holder, and its orders that arrive late must not make drafts wrong.
TEST_CASE("a holder that is frozen past its term loses the lease and its late orders do no harm",
          "[process]")
{
    fleet_options options;
    options.routers = 2;
    options.services = 0;
    options.stages[uncheckingEngine].checksFencing = false;
    fleet_fixture fleet(options);
    REQUIRE(fleet.waitUntilServing());

    const lease first = waitForHolder(fleet);
    const std::size_t frozen = routerOf(first.holder);
    fleet.routers[frozen].process->signal(SIGSTOP);
    const lease second = waitForHolder(fleet, first.holder);
    REQUIRE(routerOf(second.holder) != frozen);
    const auto layersBefore = heldLayers(fleet, checkingEngine);
    fleet.routers[frozen].process->signal(SIGCONT);
    CHECK(eventually([&] {
        const std::string log = fleet.routers[frozen].process->errorOutput();
        return log.find("lease of model waiver lost") != std::string::npos;
    }));

    // The order that the first holder had on the way is sent here, since a pause cannot be placed
    // between its last check of the lease and the write.
    CHECK(sendLateOrder(fleet, checkingEngine, first.offset) == statusConflict);
    CHECK(heldLayers(fleet, checkingEngine) == layersBefore);
    REQUIRE(sendLateOrder(fleet, uncheckingEngine, first.offset) == statusOk);
    for (std::size_t router = 0; router < fleet.routers.size(); ++router) {
        for (int i = 0; i < 8; ++i) {
            const std::string prompt
                    = "late order " + std::to_string(router) + " " + std::to_string(i);
            CHECK(draftText(fleet, router, prompt) == fleet.expectedText(prompt, maxTokens));
        }
    }
}

// Guards against a fleet without orders for a whole term after each router that is shut down.
TEST_CASE("a holder that shuts down gracefully releases its lease", "[process]")
{
    fleet_options options;
    options.routers = 2;
    options.services = 0;
    options.routerSettings = "timing: { shutdown_notice: 60s }\n";
    fleet_fixture fleet(options);
    const lease first = waitForHolder(fleet);
    fleet.routers[routerOf(first.holder)].process->signal(SIGTERM);
    const lease second = waitForHolder(fleet, first.holder);
    CHECK(routerOf(second.holder) != routerOf(first.holder));
    const auto leases = leaseHistory(fleet);
    CHECK(std::any_of(leases.begin(), leases.end(), [&](const lease &held) {
        return held.holder == first.holder && held.leaseDuration == releaseTerm;
    }));
}

} // namespace fescuedeck::process_tests
