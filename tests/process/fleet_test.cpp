// Routers, engines and the desk as processes: what a caller sees when parts of the fleet fail.
#include <algorithm>
#include <csignal>
#include <random>
#include <thread>

#include <catch2/catch.hpp>

#include "fescuedeck/base/ids.h"
#include "fescuedeck/load/load_generator.h"
#include "fleet_fixture.h"

namespace fescuedeck::process_tests {
namespace {

constexpr int draftTokens = 48;
constexpr char prompt[] = "rider summary for the high dunes"; // gives draftTokens tokens

std::string newKey()
{
    static const random_fn random = seededRandom(std::random_device()());
    return makeUuidV7(wallNow(), random);
}

std::string outcomeOf(const http_response &response)
{
    const std::string *outcome = findHeader(response.headers, "Fescuedeck-Outcome");
    return outcome == nullptr ? "" : *outcome;
}

// Repeats a write that a router answers with "not-run", as callers do with the same key: a router
// accepts keyed writes only after it has read the claims.
http_response sendUntilRun(fleet_fixture &fleet, const router_member &router,
                           const http_request &request)
{
    http_response answer;
    eventually([&] {
        answer = fleet.client.call(request.method, router.callers, request.target, request.body,
                                   request.headers);
        return outcomeOf(answer) != "not-run";
    });
    return answer;
}

int hopsOf(fleet_fixture &fleet, std::size_t engine)
{
    const auto counts = fleet.client.get(fleet.engines[engine].address, "/standin/counts");
    return counts.is_object() ? counts["hops"].get<int>() : 0;
}

// Stages that take long enough for a failure to hit a stream in the middle.
fleet_options slowStages()
{
    fleet_options options;
    options.routers = 1;
    for (stage_setup &stage : options.stages)
        stage.flags = { "--fixed_us=10000" };
    return options;
}

// Breaks the middle stage that runs the stream, by a signal, and checks the stream's text.
void checkRecovery(int signal)
{
    fleet_fixture fleet(slowStages());
    REQUIRE(fleet.waitUntilServing());
    const sse_stream stream = fleet.client.stream(fleet.routers[0].callers,
                                                  fleet.draftRequest(prompt, draftTokens, true));
    REQUIRE(stream.waitForEvents(5));
    const std::size_t victim = hopsOf(fleet, 1) > 0 ? 1 : 4;
    fleet.engines[victim].process->signal(signal);
    REQUIRE(stream.waitForEnd());
    CHECK(stream.text() == fleet.expectedText(prompt, draftTokens));
    CHECK(stream.outcome() == "ran");
}

} // namespace

TEST_CASE("a draft has the model's text on every router, streamed or whole", "[process]")
{
    fleet_fixture fleet;
    REQUIRE(fleet.waitUntilServing());
    for (const router_member &router : fleet.routers) {
        const sse_stream stream
                = fleet.client.stream(router.callers, fleet.draftRequest(prompt, 30, true));
        REQUIRE(stream.waitForEnd());
        CHECK(stream.text() == fleet.expectedText(prompt, 30));
        const auto whole
                = fleet.client.send(router.callers, fleet.draftRequest("lot 9", 12, false));
        REQUIRE(whole.response);
        const auto body = nlohmann::json::parse(whole.response.value().body);
        CHECK(body["choices"][0]["text"] == fleet.expectedText("lot 9", 12));
    }
}

TEST_CASE("a stream continues when its stage is killed", "[process]")
{
    // Guards against tokens that are repeated, lost or computed by the wrong layers after a crash.
    checkRecovery(SIGKILL);
}

TEST_CASE("a stream continues when its stage freezes", "[process]")
{
    checkRecovery(SIGSTOP);
}

TEST_CASE("a write with one key runs once through any routers", "[process]")
{
    fleet_fixture fleet;
    REQUIRE(fleet.waitUntilServing());
    const http_request request = fleet.signatureRequest("waiver-1", newKey());
    std::vector<std::string> bodies;
    for (const router_member &router : fleet.routers) {
        // Another router knows the answer when the log or the claimant has told it. Until then it
        // answers "unknown", and the call may be repeated with its key.
        http_response answer;
        CHECK(eventually([&] {
            answer = sendUntilRun(fleet, router, request);
            return outcomeOf(answer) == "ran";
        }));
        INFO(answer.body);
        CHECK(answer.status == 201);
        bodies.push_back(answer.body);
    }
    CHECK(std::count(bodies.begin(), bodies.end(), bodies.front()) == 4);
    CHECK(fleet.executionsOf("waiver-1") == 1);
}

TEST_CASE("a write whose answer is lost is never run again", "[process]")
{
    // Guards against a router that takes a closed connection for a request that did not run.
    fleet_options options;
    options.routers = 2;
    fleet_fixture fleet(options);
    REQUIRE(fleet.waitUntilServing());
    for (const fleet_member &service : fleet.services) {
        addFault(fleet.client, service.address,
                 { { "kind", "lost_answer" }, { "path", "/desk/signatures" } });
    }
    const http_request request = fleet.signatureRequest("waiver-2", newKey());
    for (const router_member &router : fleet.routers) {
        const http_response answer = sendUntilRun(fleet, router, request);
        INFO(answer.body);
        CHECK(outcomeOf(answer) == "unknown");
    }
    CHECK(fleet.executionsOf("waiver-2") == 1);
}

TEST_CASE("load keeps its tokens and writes whole while a stage is killed", "[process]")
{
    // Guards against faults that only show with many requests in flight.
    fleet_fixture fleet;
    REQUIRE(fleet.waitUntilServing());
    load_options options;
    for (const router_member &router : fleet.routers)
        options.routers.push_back(router.callers);
    options.workspaces = { { "convoy", fleet_fixture::tokenOf("convoy"), 3 },
                           { "tent", fleet_fixture::tokenOf("tent"), 1 } };
    options.model = "waiver";
    options.maxTokens = 16;
    options.prompts = 10;
    options.draftShare = 0.7;
    options.writeShare = 0.3;
    options.requestsPerSecond = 150;
    options.count = 300;
    load_report report;
    std::thread load([&] { report = runLoad(options); });
    const bool isLoaded = eventually([&] { return hopsOf(fleet, 1) + hopsOf(fleet, 4) > 100; });
    fleet.engines[1].process->signal(SIGKILL);
    load.join();
    INFO(report.toText());
    CHECK(isLoaded);
    CHECK(report.completed() > 0);
    CHECK(report.duplicateTokens() == 0);
    CHECK(report.missingTokens() == 0);
    for (const fleet_member &service : fleet.services) {
        const auto counts = fleet.client.get(service.address, "/standin/counts");
        for (const auto &[id, count] : counts["by_id"].items()) {
            INFO(id);
            CHECK(count.get<int>() == 1);
        }
    }
}

TEST_CASE("every router puts a newer bundle in force", "[process]")
{
    fleet_fixture fleet;
    REQUIRE(fleet.waitUntilInForce(1));
    bundle next = fleet.currentBundle();
    next.parent = next.version;
    next.version += 1;
    fleet.publish(next);
    CHECK(fleet.waitUntilInForce(next.version));
}

TEST_CASE("a router that ends gracefully finishes its stream", "[process]")
{
    fleet_options options = slowStages();
    fleet_fixture fleet(options);
    REQUIRE(fleet.waitUntilServing());
    const sse_stream stream = fleet.client.stream(fleet.routers[0].callers,
                                                  fleet.draftRequest(prompt, draftTokens, true));
    REQUIRE(stream.waitForEvents(3));
    fleet.routers[0].process->signal(SIGTERM);
    REQUIRE(stream.waitForEnd());
    CHECK(stream.text() == fleet.expectedText(prompt, draftTokens));
    CHECK(fleet.routers[0].process->waitForExit() == 0);
}

} // namespace fescuedeck::process_tests
