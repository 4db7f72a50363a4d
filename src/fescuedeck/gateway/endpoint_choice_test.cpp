#include "fescuedeck/gateway/endpoint_choice.h"

#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "fescuedeck/base/hash.h"

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };

engine_spec chainSpec()
{
    engine_spec spec;
    spec.layers = 8;
    spec.layerMb = 1000;
    spec.cacheBytesPerToken = 1e6;
    spec.stepMs = 1;
    spec.slots = 16;
    spec.usualPromptTokens = 10;
    spec.usualAnswerTokens = 10;
    // The memory holds 8 layers and 20 tokens for each request that the placement policy assumes.
    spec.kinds = { { "card", 12000, 1, 1 } };
    return spec;
}

endpoint_ptr endpointIn(const std::string &id, const std::string &domain,
                        std::optional<layer_range> layers = std::nullopt)
{
    auto endpoint = std::make_shared<endpoint_record>();
    endpoint->entry = { id,     "service", id + ":80", domain, 8, endpoint_phase_announced::Ready,
                        "card", layers,    1 };
    return endpoint;
}

choice_request fromDomain(const std::string &domain)
{
    return { domain, {}, start, 0 };
}

} // namespace

TEST_CASE("a plain request stays in its domain unless that is much busier than another",
          "[gateway]")
{
    const endpoint_ptr near = endpointIn("near", "a");
    const endpoint_ptr far = endpointIn("far", "b");
    CHECK(chooseEndpoint({ far, near }, fromDomain("a"))->first == near);
    near->inFlight = 3;
    CHECK(chooseEndpoint({ far, near }, fromDomain("a"))->first == near);
    near->inFlight = 7;
    CHECK(chooseEndpoint({ far, near }, fromDomain("a"))->first == far);
}

TEST_CASE("suspect, draining and excluded endpoints are not chosen", "[gateway]")
{
    const endpoint_ptr suspect = endpointIn("suspect", "a");
    suspect->suspectUntil = start + std::chrono::seconds(1);
    const endpoint_ptr draining = endpointIn("draining", "a");
    draining->entry.phase = endpoint_phase_announced::Draining;
    const endpoint_ptr failed = endpointIn("failed", "a");
    choice_request request = fromDomain("a");
    request.excluded = { "failed" };
    CHECK_FALSE(chooseEndpoint({ suspect, draining, failed }, request));
}

// Guards against two faults: prompts that cross the links between domains without need, and
// requests that are refused although the engines of all domains together hold all layers.
TEST_CASE("a chain combines engines of several domains only if no domain holds all layers",
          "[gateway]")
{
    std::vector<endpoint_ptr> engines = { endpointIn("a1", "a", layer_range{ 0, 4 }),
                                          endpointIn("b1", "b", layer_range{ 4, 8 }) };
    const auto combined = chooseChain(chainSpec(), engines, fromDomain("a"));
    REQUIRE(combined);
    CHECK(combined->stages == engines);
    const endpoint_ptr whole = endpointIn("c1", "c", layer_range{ 0, 8 });
    engines.push_back(whole);
    const auto chosen = chooseChain(chainSpec(), engines, fromDomain("a"));
    REQUIRE(chosen);
    CHECK(chosen->stages == std::vector<endpoint_ptr>{ whole });
}

TEST_CASE("a request goes to another domain if its own has no complete chain", "[gateway]")
{
    const std::vector<endpoint_ptr> engines = { endpointIn("a1", "a", layer_range{ 0, 4 }),
                                                endpointIn("b1", "b", layer_range{ 0, 8 }) };
    const auto chosen = chooseChain(chainSpec(), engines, fromDomain("a"));
    REQUIRE(chosen);
    CHECK(chosen->first->entry.id == "b1");
}

// Guards against a domain whose callers alone send more tokens than its caches hold, while another
// domain has free caches.
TEST_CASE("requests go to another domain if the caches in their own are full", "[gateway]")
{
    const endpoint_ptr near = endpointIn("near", "a", layer_range{ 0, 8 });
    const endpoint_ptr far = endpointIn("far", "b", layer_range{ 0, 8 });
    CHECK(chooseChain(chainSpec(), { near, far }, fromDomain("a"))->first == near);
    near->tokensInFlight = 3000;
    CHECK(chooseChain(chainSpec(), { near, far }, fromDomain("a"))->first == far);
    // Tokens of requests of other gateways count as well.
    near->tokensInFlight = 0;
    near->peerTokensInFlight = 3000;
    CHECK(chooseChain(chainSpec(), { near, far }, fromDomain("a"))->first == far);
    far->peerTokensInFlight = 4000;
    CHECK(chooseChain(chainSpec(), { near, far }, fromDomain("a"))->first == near);
}

TEST_CASE("an engine that reports slow steps is avoided if another has the same layers",
          "[gateway]")
{
    const endpoint_ptr slow = endpointIn("slow", "a", layer_range{ 0, 8 });
    const endpoint_ptr good = endpointIn("good", "a", layer_range{ 0, 8 });
    slow->slowdown = 5;
    CHECK(chooseChain(chainSpec(), { slow, good }, fromDomain("a"))->first == good);
}

// Guards against a fast engine that gets all requests of its domain although its cache is full,
// while slower engines that hold the same layers are idle.
TEST_CASE("requests spread over engines with the same layers before the fastest is full",
          "[gateway]")
{
    engine_spec spec = chainSpec();
    spec.kinds.push_back({ "slow card", 12000, 5, 5 });
    const endpoint_ptr fast = endpointIn("fast", "a", layer_range{ 0, 8 });
    const endpoint_ptr slow = endpointIn("slow", "a", layer_range{ 0, 8 });
    slow->entry.accelerator = "slow card";
    const std::vector<endpoint_ptr> engines = { fast, slow };
    constexpr double requestTokens = 20;
    for (int request = 0; request < 300; ++request) {
        const auto chosen = chooseChain(spec, engines, fromDomain("a"));
        REQUIRE(chosen);
        CHECK(chosen->fill < 1);
        chosen->first->tokensInFlight += requestTokens;
    }
    CHECK(slow->tokensInFlight > 0.5 * fast->tokensInFlight);
}

// Guards against gateways that receive the same digest and all choose the same engine until the
// next one.
TEST_CASE("load: 30 gateways with figures of 400 ms; their requests spread over equal engines, and "
          "a full engine gets none",
          "[gateway][load]")
{
    std::vector<endpoint_ptr> engines;
    for (const char *id : { "a1", "a2", "a3", "full" }) {
        engines.push_back(endpointIn(id, "a", layer_range{ 0, 8 }));
        engines.back()->peerTokensInFlight = 1500;
        engines.back()->usualHoldTime = std::chrono::seconds(7);
    }
    engines.back()->peerTokensInFlight = 3000;
    const auto chosenBy = [&](duration age) {
        for (const endpoint_ptr &engine : engines)
            engine->peerFigures.at = start - age;
        std::map<std::string, int> chosen;
        for (int i = 0; i < 300; ++i) {
            choice_request request = fromDomain("a");
            request.requestHash = stableHash(std::to_string(i));
            const auto to = chooseChain(chainSpec(), engines, request);
            REQUIRE(to);
            // What admission goes by is not spread.
            CHECK(to->fill == cacheFill(chainSpec(), *to->first));
            ++chosen[to->first->entry.id];
        }
        return chosen;
    };
    CHECK(chosenBy({}) == std::map<std::string, int>{ { "a1", 300 } });
    const auto spread = chosenBy(std::chrono::milliseconds(400));
    CHECK(spread.size() == 3);
    CHECK(spread.count("full") == 0);
    for (const auto &[id, requests] : spread)
        CHECK(requests == Approx(100).margin(35));
}

// Guards against a spread that overrides a clear difference of the loads.
TEST_CASE(
        "load: 4 gateways with figures of 150 ms; an engine with much less load gets the requests",
        "[gateway][load]")
{
    const endpoint_ptr idle = endpointIn("idle", "a", layer_range{ 0, 8 });
    const endpoint_ptr busy = endpointIn("busy", "a", layer_range{ 0, 8 });
    const endpoint_ptr far = endpointIn("far", "b", layer_range{ 0, 8 });
    idle->peerTokensInFlight = 500;
    busy->peerTokensInFlight = 1500;
    for (const endpoint_ptr &engine : { idle, busy, far }) {
        engine->usualHoldTime = std::chrono::seconds(7);
        engine->peerFigures.at = start - std::chrono::milliseconds(150);
    }
    for (int i = 0; i < 100; ++i) {
        choice_request request = fromDomain("a");
        request.requestHash = stableHash(std::to_string(i));
        CHECK(chooseChain(chainSpec(), { busy, far, idle }, request)->first == idle);
    }
}

// Guards against gateways that all send their first request to the same endpoint.
TEST_CASE("load: 47 gateways with one plain request each; they spread over the endpoints of their "
          "domain by slots",
          "[gateway][load]")
{
    const endpoint_ptr small = endpointIn("a1", "a");
    const endpoint_ptr large = endpointIn("a2", "a");
    const endpoint_ptr far = endpointIn("b1", "b");
    large->entry.slots = 24;
    choice_request request = fromDomain("a");
    request.domainPeers = 46;
    int onSmall = 0;
    for (int i = 0; i < 400; ++i) {
        request.requestHash = stableHash(std::to_string(i));
        const auto to = chooseEndpoint({ far, small, large }, request);
        CHECK(to->first != far);
        onSmall += to->first == small ? 1 : 0;
    }
    CHECK(onSmall == Approx(100).margin(35));
    // A request of its own shows where this gateway has not sent the last one.
    large->inFlight = 6;
    CHECK(chooseEndpoint({ far, small, large }, request)->first == small);
}

} // namespace fescuedeck
