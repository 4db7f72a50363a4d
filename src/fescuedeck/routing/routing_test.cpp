#include "fescuedeck/routing/baseline_policies.h"
#include "fescuedeck/routing/maximum_flow.h"
#include "fescuedeck/routing/route_planner.h"

#include <set>

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

using namespace std::chrono_literals;

endpoint_view endpoint(const std::string &id, layer_range layers, double tokensPerSecond,
                       const std::string &domain = "almaty-1")
{
    endpoint_view view;
    view.id = id;
    view.failureDomain = domain;
    view.model = "writer";
    view.version = "v1";
    view.layers = layers;
    view.usable = true;
    view.phase = endpoint_phase::Serving;
    view.tokensPerSecond = tokensPerSecond;
    return view;
}

layer_graph graphOf(const fleet_view &view, int layers, link_time_fn linkTime = {})
{
    return buildLayerGraph(view, { "writer", "v1", layers, std::move(linkTime) });
}

fleet_view mixedView()
{
    return { 1,
             { endpoint("a", { 0, 8 }, 100), endpoint("b", { 4, 12 }, 50, "almaty-2"),
               endpoint("c", { 8, 16 }, 100), endpoint("d", { 12, 16 }, 10, "almaty-3"),
               endpoint("e", { 0, 4 }, 30, "almaty-3"), endpoint("f", { 0, 16 }, 5) } };
}

bool partitions(const route &found, int layers)
{
    int next = 0;
    for (const route_stage &stage : found.stages) {
        if (stage.layers.begin != next || stage.layers.size() <= 0)
            return false;
        next = stage.layers.end;
    }
    return next == layers;
}

} // namespace

TEST_CASE("the bound equals hand-computed values", "[routing]")
{
    // Guards against a bound that is too low or too high for a known placement.
    SECTION("a chain is limited by its slowest stage")
    {
        const fleet_view view{ 1, { endpoint("a", { 0, 4 }, 100), endpoint("b", { 4, 8 }, 60) } };
        CHECK(graphOf(view, 8).bound == Approx(60));
    }
    SECTION("an endpoint divides its capacity between parts of its range")
    {
        // a has 400 layer-tokens/s for layers 0-4, b has 800 for layers 0-8. All 8 layers allow at
        // most T = (400 + 800) / 8 = 150 tokens/s. This is reached when b runs layers 4-8 at 150
        // tokens/s (600 layer-tokens/s) and layers 0-4 at 50 (200), and a runs 0-4 at 100 (400).
        const fleet_view view{ 1, { endpoint("a", { 0, 4 }, 100), endpoint("b", { 0, 8 }, 100) } };
        CHECK(graphOf(view, 8).bound == Approx(150));
    }
    SECTION("two separate ranges that share an endpoint limit the throughput together")
    {
        // Layers 0-2 are held by x and m, layers 4-6 by y and m. These 4 layers together allow
        // (200 + 200 + 400) / 4 = 200 tokens/s.
        const fleet_view view{ 1,
                               { endpoint("x", { 0, 2 }, 100), endpoint("y", { 4, 6 }, 100),
                                 endpoint("m", { 0, 6 }, 400.0 / 6),
                                 endpoint("w", { 2, 4 }, 500) } };
        CHECK(graphOf(view, 6).bound == Approx(200));
    }
    SECTION("a layer without an endpoint makes the bound zero")
    {
        const fleet_view view{ 1, { endpoint("a", { 0, 4 }, 100), endpoint("b", { 5, 8 }, 100) } };
        CHECK(graphOf(view, 8).bound == 0);
    }
}

TEST_CASE("the split reaches the bound within the capacity of every endpoint", "[routing]")
{
    // Guards against edges that do not add up to the throughput at some layer, or that exceed what
    // an endpoint can run.
    const layer_graph graph = graphOf(mixedView(), 16);
    const flow_split split = maximumFlow(graph);
    REQUIRE(split.tokensPerSecond > 0);
    std::vector<double> perLayer(16, 0);
    std::vector<double> used(graph.endpoints.size(), 0);
    for (const edge_flow &edge : split.edges) {
        for (int layer = graph.boundaries[edge.first]; layer < graph.boundaries[edge.last];
             ++layer) {
            perLayer[layer] += edge.tokensPerSecond;
            used[edge.endpoint] += edge.tokensPerSecond;
        }
    }
    for (const double rate : perLayer)
        CHECK(rate == Approx(split.tokensPerSecond).epsilon(1e-4));
    for (std::size_t i = 0; i < used.size(); ++i) {
        const graph_endpoint &one = graph.endpoints[i];
        CHECK(used[i] <= one.tokensPerSecond * one.layers.size() * 1.0001);
        CHECK(one.share * split.tokensPerSecond * one.layers.size()
              == Approx(used[i]).margin(0.01));
    }
}

TEST_CASE("a route of any policy runs every layer exactly once", "[routing]")
{
    // Guards against routes that omit or repeat a layer (invariant 1 of the design), at random
    // loads and with random unusable endpoints.
    const std::vector<route_policy> policies{ chooseRoute, randomPolicy(), roundRobinPolicy(),
                                              fewestInFlightPolicy() };
    random_fn random = seededRandom(7);
    for (int round = 0; round < 200; ++round) {
        fleet_view view = mixedView();
        for (endpoint_view &one : view.endpoints) {
            one.inFlight = uniformReal(random) * 20;
            one.usable = uniformReal(random) < 0.8;
        }
        const layer_graph graph = graphOf(view, 16);
        for (const route_policy &policy : policies) {
            const result<route> found = policy(graph, view, {}, random);
            CHECK(found.has_value() == (graph.bound > 0));
            if (found)
                CHECK(partitions(found.value(), 16));
        }
    }
}

TEST_CASE("a route avoids excluded, full and loaded endpoints", "[routing]")
{
    // Guards against a retry on an endpoint that has failed the request, and against a cache hint
    // that draws requests to an endpoint at its limit.
    fleet_view view{ 1, { endpoint("a", { 0, 4 }, 100), endpoint("b", { 0, 4 }, 100) } };
    const layer_graph graph = graphOf(view, 4);
    random_fn random = seededRandom(3);
    const auto choose = [&](const route_request &request) {
        const auto found = chooseRoute(graph, view, request, random);
        return found ? found.value().stages[0].endpoint : errorName(errc::NoRoute);
    };
    std::set<std::string> seen;
    for (int i = 0; i < 50; ++i)
        seen.insert(choose({}));
    CHECK(seen.size() == 2); // ties are broken at random
    route_request excluding;
    excluding.excluded = { "a" };
    CHECK(choose(excluding) == "b");
    excluding.excluded = { "a", "b" };
    CHECK(choose(excluding) == "no_route");
    view.endpoints[1].inFlight = 10;
    CHECK(choose({}) == "a");
    route_request cached;
    cached.promptTokens = 1000;
    cached.cachedTokens = { { "b", 1000 } };
    view.endpoints[1].inFlight = 1;
    CHECK(choose(cached) == "b"); // the cached prompt outweighs a small load
    view.endpoints[1].limit = 1;
    CHECK(choose(cached) == "a"); // but it does not outweigh a full endpoint
    view.endpoints[0].limit = 1;
    view.endpoints[0].inFlight = 1;
    CHECK(chooseRoute(graph, view, {}, random).value().isFull);
}

TEST_CASE("an exclusive run gets the idle endpoint and others avoid its endpoint", "[routing]")
{
    // Guards against a suspect request that crashes an endpoint on which other requests run.
    fleet_view view{ 1, { endpoint("a", { 0, 4 }, 1000), endpoint("b", { 0, 4 }, 1) } };
    view.endpoints[0].inFlight = 2;
    const layer_graph graph = graphOf(view, 4);
    random_fn random = seededRandom(3);
    route_request exclusive;
    exclusive.exclusiveRun = true;
    CHECK(chooseRoute(graph, view, exclusive, random).value().stages[0].endpoint == "b");
    view.endpoints[0].exclusive = true;
    CHECK(chooseRoute(graph, view, {}, random).value().stages[0].endpoint == "b");
}

TEST_CASE("a route avoids a slow link if a near endpoint is as fast", "[routing]")
{
    // Guards against a route that ignores the latency between failure domains.
    const fleet_view view{ 1,
                           { endpoint("near", { 0, 4 }, 1000, "almaty-1"),
                             endpoint("far", { 0, 4 }, 1000, "almaty-2") } };
    const layer_graph graph = graphOf(view, 4, [](const std::string &from, const std::string &to) {
        return from == to ? 0.0001 : 0.01;
    });
    random_fn random = seededRandom(5);
    route_request request;
    request.failureDomain = "almaty-1";
    for (int i = 0; i < 20; ++i)
        CHECK(chooseRoute(graph, view, request, random).value().stages[0].endpoint == "near");
}

TEST_CASE("the route table rebuilds on topology changes and old graphs stay valid", "[routing]")
{
    // Guards against a stale graph, and against a request whose graph is destroyed while it is in
    // use.
    fleet_view view = mixedView();
    route_table table({ "writer", "v1", 16, {} });
    CHECK(table.rebuildIfChanged(view));
    const auto before = table.graph();
    CHECK_FALSE(table.rebuildIfChanged(view));
    view.endpoints[0].usable = false;
    view.topology = 2;
    CHECK(table.rebuildIfChanged(view));
    CHECK(before->endpoints.size() == 6);
    CHECK(table.graph()->endpoints.size() == 5);
}

} // namespace fescuedeck
