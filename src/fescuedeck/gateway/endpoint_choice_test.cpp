#include "fescuedeck/gateway/endpoint_choice.h"

#include <catch2/catch.hpp>

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

} // namespace fescuedeck
