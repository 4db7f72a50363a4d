// Keyed calls that meet a failure. Guards against a call that runs twice, and against "not-run" for
// a call that ran. Counted at the service stand-ins.
#include <algorithm>
#include <csignal>
#include <future>
#include <random>

#include <catch2/catch.hpp>

#include "fescuedeck/base/ids.h"
#include "fleet_fixture.h"

namespace fescuedeck::process_tests {
namespace {

constexpr int claimPartitions = 4;
constexpr int heldMs = 700; // how long a stand-in holds a call while the test acts

fleet_options deskFleet(int routers)
{
    fleet_options options;
    options.stages.clear();
    options.stages.push_back({ { 0, 24 }, "a40", "Merzouga", {} });
    options.routers = routers;
    return options;
}

std::string newKey(std::chrono::milliseconds age = std::chrono::milliseconds(0))
{
    static const random_fn random = seededRandom(std::random_device()());
    return makeUuidV7(wallNow() - age, random);
}

constexpr char version4Key[] = "9f1b7a3e-5c2d-4e8f-9a0b-1c2d3e4f5a6b";

std::string oldKey()
{
    return newKey(std::chrono::hours(30)); // longer than the log's retention
}

// What a caller was told.
struct told
{
    int status = 0;
    std::string outcome; // empty if the connection ended without an answer
    std::string kind;
    bool hasRetryAfter = false;
    bool hasRemedy = false;
};

told toldBy(const call_result &call)
{
    told answer;
    if (!call.response)
        return answer;
    const http_response &response = call.response.value();
    answer.status = response.status;
    const std::string *outcome = findHeader(response.headers, "Fescuedeck-Outcome");
    answer.outcome = outcome ? *outcome : "";
    answer.hasRetryAfter = findHeader(response.headers, "Retry-After") != nullptr;
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_object() && body.contains("error")) {
        answer.kind = body["error"].value("kind", "");
        answer.hasRemedy = !body["error"].value("remedy", "").empty();
    }
    return answer;
}

class desk_fleet : public fleet_fixture
{
public:
    explicit desk_fleet(const fleet_options &options)
        : fleet_fixture(options)
    {
        REQUIRE(waitUntilServing());
        // Keyed calls are rejected until a router has read the claims, which "ready" does not
        // cover.
        for (std::size_t i = 0; i < routers.size(); ++i) {
            const std::string key = newKey();
            REQUIRE(eventually([&] { return write(i, "warm-up", key).outcome == "ran"; }));
        }
    }

    told write(std::size_t router, const std::string &id, const std::string &key)
    {
        return toldBy(client.send(routers[router].callers, signatureRequest(id, key)));
    }
    std::future<told> startWrite(std::size_t router, const std::string &id, const std::string &key)
    {
        return std::async(std::launch::async, [=] { return write(router, id, key); });
    }
    void addAppendFault(nlohmann::json rule)
    {
        for (int i = 0; i < claimPartitions; ++i) {
            rule["path"] = "/log/claims-" + std::to_string(i) + "/append";
            addFault(client, platform.address, rule);
        }
    }
    int firedAtDesks()
    {
        int fired = 0;
        for (const fleet_member &service : services)
            fired += service.process->isRunning() ? firedFaults(client, service.address) : 0;
        return fired;
    }
    void addDeskFault(const nlohmann::json &rule)
    {
        for (const fleet_member &service : services)
            addFault(client, service.address, rule);
    }
};

} // namespace

// Guards against a call that each router runs because none knows of the others' claims.
TEST_CASE("one key that all routers get at once runs once", "[process]")
{
    desk_fleet fleet(deskFleet(4));
    for (int round = 0; round < 10; ++round) {
        const std::string id = "w-" + std::to_string(round);
        const std::string key = newKey();
        std::vector<std::future<told>> calls;
        for (std::size_t i = 0; i < fleet.routers.size(); ++i)
            calls.push_back(fleet.startWrite(i, id, key));
        int ran = 0;
        for (auto &call : calls) {
            const told answer = call.get();
            CHECK((answer.outcome == "ran" || answer.outcome == "unknown"));
            ran += answer.outcome == "ran" ? 1 : 0;
        }
        CHECK(ran >= 1);
        CHECK(fleet.executionsOf(id) == 1);
        for (std::size_t i = 0; i < fleet.routers.size(); ++i) {
            CHECK(eventually([&] { return fleet.write(i, id, key).outcome == "ran"; }));
        }
        CHECK(fleet.executionsOf(id) == 1);
    }
}

// Guards against a router that takes over the claim of a dead one while the service still holds the
// call.
TEST_CASE("a call resent after its router was killed does not run twice", "[process]")
{
    desk_fleet fleet(deskFleet(3));
    fleet.addDeskFault({ { "kind", "delay" }, { "path", "/desk" }, { "delay_ms", heldMs } });
    const std::string key = newKey();
    auto first = fleet.startWrite(0, "w-1", key);
    REQUIRE(eventually([&] { return fleet.firedAtDesks() == 1; }));
    fleet.routers[0].process->signal(SIGKILL);
    REQUIRE(fleet.routers[0].process->waitForExit() == 128 + SIGKILL);
    CHECK(first.get().status == 0);
    for (const std::size_t router : { 1U, 2U }) {
        const told answer = fleet.write(router, "w-1", key);
        CHECK(answer.outcome == "unknown");
        CHECK(answer.hasRemedy);
    }
    CHECK(eventually([&] { return fleet.executionsOf("w-1") == 1; }));
    CHECK(fleet.write(1, "w-1", key).outcome == "unknown");
    CHECK(fleet.executionsOf("w-1") == 1);
}

// Guards against a paused router that sends a call after its deadline, when its caller has gone to
// another router.
TEST_CASE("a router frozen past a call's deadline does not send it afterwards", "[process]")
{
    desk_fleet fleet(deskFleet(2));
    bundle shortDeadline = fleet.currentBundle();
    shortDeadline.version = 2;
    shortDeadline.parent = 1;
    shortDeadline.services[0].deadline = std::chrono::milliseconds(1500);
    fleet.publish(shortDeadline);
    REQUIRE(fleet.waitUntilInForce(2));
    fleet.addAppendFault({ { "kind", "delay" }, { "when", "after" }, { "delay_ms", heldMs } });
    const std::string key = newKey();
    auto first = fleet.startWrite(0, "w-1", key);
    REQUIRE(eventually([&] { return firedFaults(fleet.client, fleet.platform.address) == 1; }));
    fleet.routers[0].process->signal(SIGSTOP);
    const told second = fleet.write(1, "w-1", key);
    CHECK(second.outcome != "ran");
    std::this_thread::sleep_for(std::chrono::seconds(2)); // the deadline, not the speed of a step
    fleet.routers[0].process->signal(SIGCONT);
    const told answer = first.get();
    const int executions = fleet.executionsOf("w-1");
    INFO("first caller: " << answer.status << " " << answer.kind << " " << answer.outcome);
    CHECK(executions <= 1);
    if (answer.outcome == "not-run")
        CHECK(executions == 0);
    if (answer.outcome == "ran")
        CHECK(executions == 1);
    CHECK_FALSE(answer.outcome.empty());
    CHECK(fleet.write(1, "w-1", key).outcome != "ran");
    CHECK(fleet.executionsOf("w-1") == executions);
}

// Guards against a claim that its own router takes for another's because the log's answer was lost,
// and against a repeated append that runs the call again.
TEST_CASE("a call runs once when the log's answer to its claim is lost", "[process]")
{
    desk_fleet fleet(deskFleet(2));
    for (const std::string id : { "w-1", "w-2", "w-3" }) {
        fleet.client.call("DELETE", fleet.platform.address, "/standin/faults");
        fleet.addAppendFault({ { "kind", "lost_answer" } });
        const std::string key = newKey();
        const told answer = fleet.write(0, id, key);
        CHECK(answer.status == 201);
        CHECK(answer.outcome == "ran");
        CHECK(firedFaults(fleet.client, fleet.platform.address) >= 1);
        CHECK(eventually([&] { return fleet.write(1, id, key).outcome == "ran"; }));
        CHECK(fleet.executionsOf(id) == 1);
    }
}

// Guards against a write that is sent without a claim while the log is down, and against a key that
// stays unusable after the outage.
TEST_CASE("a call during a log outage does not run and runs once afterwards", "[process]")
{
    desk_fleet fleet(deskFleet(2));
    addFault(fleet.client, fleet.platform.address,
             { { "kind", "refuse" }, { "path", "/log/" }, { "count", 0 } });
    const std::string key = newKey();
    const told during = fleet.write(0, "w-1", key);
    CHECK(during.status == 503);
    CHECK(during.outcome != "ran");
    CHECK(during.kind == "log_unavailable");
    CHECK(during.hasRetryAfter);
    CHECK(during.hasRemedy);
    CHECK(fleet.executionsOf("w-1") == 0);
    fleet.client.call("DELETE", fleet.platform.address, "/standin/faults");
    REQUIRE(fleet.waitUntilReady());
    CHECK(eventually([&] { return fleet.write(0, "w-1", key).outcome == "ran"; }));
    CHECK(fleet.write(0, "w-1", key).outcome == "ran");
    CHECK(fleet.executionsOf("w-1") == 1);
}

// Guards against "not-run" without proof: without the log, a router cannot know whether another one
// has run an earlier copy of the call. The call must not be sent, now or after the outage.
TEST_CASE("a call during a log outage is not sent and its outcome is unknown", "[process]")
{
    desk_fleet fleet(deskFleet(1));
    addFault(fleet.client, fleet.platform.address,
             { { "kind", "refuse" }, { "path", "/log/" }, { "count", 0 } });
    const told answer = fleet.write(0, "w-1", newKey());
    CHECK(answer.status == 503);
    CHECK(answer.kind == "log_unavailable");
    CHECK(answer.outcome == "unknown");
    CHECK(answer.hasRetryAfter);
    CHECK(answer.hasRemedy);
    CHECK(fleet.executionsOf("w-1") == 0);
}

// Guards against a key whose claim may have left the log's retention, or that has no age, and that
// runs a call again.
TEST_CASE("a key that is too old or not a UUIDv7 runs nothing", "[process]")
{
    desk_fleet fleet(deskFleet(1));
    for (const std::string &key : { oldKey(), std::string(version4Key), std::string("seven") }) {
        INFO("key " << key);
        const told answer = fleet.write(0, "w-1", key);
        CHECK(answer.status >= 400);
        CHECK(answer.status < 500);
        CHECK_FALSE(answer.kind.empty());
        CHECK(answer.outcome != "ran");
        CHECK(answer.hasRemedy);
    }
    CHECK(fleet.executionsOf("w-1") == 0);
    CHECK(fleet.write(0, "w-2", newKey()).outcome == "ran");
}

// Guards against "not-run" for a key that may have run before the log forgot it, and against an
// error of another kind than OPERATIONS.md lists.
TEST_CASE("a key that is too old or not a UUIDv7 is answered as documented", "[process]")
{
    desk_fleet fleet(deskFleet(1));
    const told expired = fleet.write(0, "w-1", oldKey());
    CHECK(expired.status == 422);
    CHECK(expired.kind == "key_expired");
    CHECK(expired.outcome == "unknown");
    for (const char *key : { version4Key, "seven" }) {
        INFO("key " << key);
        const told answer = fleet.write(0, "w-1", key);
        CHECK(answer.status == 400);
        CHECK(answer.kind == "invalid_request");
        CHECK(answer.outcome == "not-run");
    }
}

// Guards against a call that is sent to the second replica when the first one may have run it.
TEST_CASE("a call whose replica is killed has an unknown outcome and is not sent again",
          "[process]")
{
    desk_fleet fleet(deskFleet(2));
    fleet.addDeskFault({ { "kind", "delay" },
                         { "path", "/desk" },
                         { "when", "after" },
                         { "delay_ms", 60000 } });
    const std::string key = newKey();
    auto first = fleet.startWrite(0, "w-1", key);
    REQUIRE(eventually([&] { return fleet.firedAtDesks() == 1; }));
    const std::size_t victim = firedFaults(fleet.client, fleet.services[0].address) == 1 ? 0 : 1;
    CHECK(fleet.executionsOf("w-1") == 1);
    fleet.services[victim].process->signal(SIGKILL);
    REQUIRE(fleet.services[victim].process->waitForExit() == 128 + SIGKILL);
    CHECK(first.get().outcome == "unknown");
    for (const std::size_t router : { 0U, 1U })
        CHECK(fleet.write(router, "w-1", key).outcome == "unknown");
    // The killed replica ran it once, so the other one must not have.
    CHECK(fleet.executionsOf("w-1") == 0);
    CHECK(firedFaults(fleet.client, fleet.services[1 - victim].address) == 0);
}

} // namespace fescuedeck::process_tests
