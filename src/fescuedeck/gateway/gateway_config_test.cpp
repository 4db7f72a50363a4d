#include "fescuedeck/gateway/gateway_config.h"

#include <map>

#include <catch2/catch.hpp>

#include "fescuedeck/gateway/retry_after.h"

namespace fescuedeck {
namespace {

gateway_config configOf()
{
    gateway_config config;
    route_rule shortRoute;
    shortRoute.name = "short";
    shortRoute.host = "one.example";
    shortRoute.pathPrefix = "/a/";
    shortRoute.shares = { { "x", 90 }, { "y", 10 } };
    route_rule longRoute = shortRoute;
    longRoute.name = "long";
    longRoute.pathPrefix = "/a/b/";
    config.routes = { shortRoute, longRoute };
    config.workspaces = { { "w", { "key-1", "key-2" }, std::nullopt } };
    return config;
}

} // namespace

TEST_CASE("a request matches the route of its host with the longest prefix", "[gateway]")
{
    const config_index index(configOf());
    CHECK(index.findRoute("one.example", "/a/x")->name == "short");
    CHECK(index.findRoute("one.example", "/a/b/c")->name == "long");
    CHECK(index.findRoute("ONE.example:8080", "/a/b/")->name == "long");
    CHECK(index.findRoute("one.example", "/a") == nullptr);
    CHECK(index.findRoute("two.example", "/a/x") == nullptr);
    CHECK(index.findRoute("", "") == nullptr);
}

TEST_CASE("only an API key identifies its workspace", "[gateway]")
{
    const config_index index(configOf());
    CHECK(index.findWorkspace("key-2")->name == "w");
    CHECK(index.findWorkspace("w") == nullptr);
    CHECK(index.findWorkspace("") == nullptr);
}

TEST_CASE("a route selects its services in proportion to their weights", "[gateway]")
{
    const gateway_config config = configOf();
    const random_fn random = seededRandom(1);
    std::map<std::string, int> drawn;
    for (int i = 0; i < 10000; ++i)
        ++drawn[drawService(config.routes[0], random)];
    CHECK(drawn["x"] > 8800);
    CHECK(drawn["x"] < 9200);
}

TEST_CASE("a route whose weights are all zero still selects a service", "[gateway]")
{
    route_rule route;
    route.shares = { { "x", 0 }, { "y", 0 } };
    CHECK(drawService(route, seededRandom(1)) == "y");
}

// Guards against deployments without different ranks that get new behaviour.
TEST_CASE("the rank is the workspace's priority, otherwise the route's", "[gateway]")
{
    route_rule route;
    route.shares = { { "x", 1 } };
    route.priority = 12;
    workspace_rule workspace{ "w", { "k" }, std::nullopt };
    CHECK(rankOf(route, nullptr) == 9);
    CHECK(rankOf(route, &workspace) == 9);
    workspace.priority = -1;
    CHECK(rankOf(route, &workspace) == 0);

    gateway_config config;
    config.routes = { route, route };
    CHECK_FALSE(config_index(config).hasDifferentRanks());
    config.routes[1].priority = 3;
    CHECK(config_index(config).hasDifferentRanks());
    // Every request has the rank of the only workspace.
    config.workspaces = { workspace };
    CHECK_FALSE(config_index(config).hasDifferentRanks());
    config.routes[1].isPublic = true;
    CHECK(config_index(config).hasDifferentRanks());
}

// Guards against callers that use up their only retry before the cause has passed, or that all
// return at the same moment. Both can happen when all gateways restart during an outage of the
// store.
TEST_CASE("refused callers are told to retry after the cause has passed and at different times",
          "[gateway]")
{
    const random_fn random = seededRandom(1);
    using namespace std::chrono_literals;
    duration least = 1h;
    duration most{};
    for (int i = 0; i < 100; ++i) {
        const duration time = retryAfterFor(refusal_reason::NoConfig, {}, random);
        least = std::min(least, time);
        most = std::max(most, time);
    }
    CHECK(least >= 2s);
    CHECK(most - least >= 500ms);
    CHECK(retryAfterFor(refusal_reason::Stopping, {}, random) < 100ms);
    CHECK(retryAfterFor(refusal_reason::NoEndpoint, 3s, random) >= 3s);
    CHECK(retryAfterFor(refusal_reason::NoEndpoint, -3s, random) >= 1s);
}

} // namespace fescuedeck
