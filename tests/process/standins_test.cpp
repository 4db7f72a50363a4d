// Runs the stand-in programs as processes. Guards against stand-ins whose faults do not do what the
// tests of the routers rely on.
#include <csignal>

#include <catch2/catch.hpp>

#include "harness.h"
#include "standins/toy_model.h"

namespace fescuedeck::process_tests {
namespace {

struct standin
{
    temporary_folder folder;
    child_process process;
    std::string address;

    explicit standin(const std::string &program, const std::vector<std::string> &arguments = {})
        : process(program, arguments, folder.path(), program)
        , address(process.waitForAddress("listening"))
    {
    }
};

nlohmann::json hop(const std::string &prompt, int attempt)
{
    const auto tokens = standins::tokenizeBytes(prompt);
    return { { "request", "r1" },   { "attempt", attempt }, { "position", tokens.size() },
             { "model", "waiver" }, { "version", "1" },     { "layer_begin", 0 },
             { "layer_end", 24 },   { "tokens", tokens } };
}

} // namespace

TEST_CASE("an engine computes the expected token and ends on SIGTERM", "[process]")
{
    standin engine("standin_engine");
    blocking_client client;
    const auto answer = client.post(engine.address, "/v1/stage/run", hop("seven riders", 1));
    const auto expected = standins::expectedDraft({ "waiver", "1", "", 24 }, "seven riders", 1);
    CHECK(answer["token"]["text"] == expected.front().text);
    CHECK(answer["attempt"] == 1);
    engine.process.signal(SIGTERM);
    CHECK(engine.process.waitForExit() == 0);
}

TEST_CASE("a prompt with the marker crashes the engine, others do not", "[process]")
{
    standin engine("standin_engine");
    blocking_client client;
    addFault(client, engine.address,
             { { "kind", "crash" }, { "path", "/v1/stage/run" }, { "marker", "cursed" } });
    CHECK(client.post(engine.address, "/v1/stage/run", hop("plain", 1)).contains("token"));
    CHECK(client.post(engine.address, "/v1/stage/run", hop("a cursed vase", 2)).is_null());
    CHECK(engine.process.waitForExit() == 70);
}

TEST_CASE("silent connections stay silent while new ones work", "[process]")
{
    standin service("standin_service");
    blocking_client first;
    blocking_client second;
    CHECK(first.get(service.address, "/desk/stock/9")["in_stock"] == 1000);
    addFault(second, service.address, { { "kind", "silent_connections" } });
    call_options reused;
    reused.timeout = std::chrono::milliseconds(200); // the answer never comes
    const auto silent = first.send(service.address, { "GET", "/desk/stock/9", {}, "" }, reused);
    REQUIRE(!silent.response);
    CHECK(silent.response.error().code == errc::Timeout);
    CHECK(blocking_client().get(service.address, "/desk/stock/9")["in_stock"] == 1000);
}

TEST_CASE("a lost answer leaves its effect behind", "[process]")
{
    standin service("standin_service");
    blocking_client client;
    addFault(client, service.address, { { "kind", "lost_answer" }, { "path", "/desk" } });
    CHECK(client.post(service.address, "/desk/signatures", { { "id", "w-1" } }).is_null());
    CHECK(firedFaults(client, service.address) == 1);
    CHECK(client.get(service.address, "/standin/counts")["by_id"]["w-1"] == 1);
}

TEST_CASE("two callers get each other's answers", "[process]")
{
    standin service("standin_service");
    blocking_client client;
    addFault(client, service.address,
             { { "kind", "crossed_answer" }, { "path", "/desk" }, { "count", 2 } });
    nlohmann::json first;
    std::thread other([&] {
        first = client.post(service.address, "/desk/signatures", { { "id", "w-1" } });
    });
    CHECK(eventually([&] { return firedFaults(client, service.address) == 1; }));
    const auto second = client.post(service.address, "/desk/signatures", { { "id", "w-2" } });
    other.join();
    CHECK(first["id"] == "w-2");
    CHECK(second["id"] == "w-1");
}

TEST_CASE("a long poll returns when a record is appended", "[process]")
{
    standin platform("standin_platform");
    blocking_client client;
    nlohmann::json page;
    std::thread reader([&] {
        page = client.get(platform.address, "/log/control/records?from=0&limit=9&wait_ms=60000");
    });
    const nlohmann::json record = { { "id", "a" }, { "body", "{}" } };
    client.post(platform.address, "/log/control/append",
                { { "records", nlohmann::json::array({ record }) } });
    reader.join();
    CHECK(page["next"] == 1);
    CHECK(page["records"][0]["id"] == "a");
}

} // namespace fescuedeck::process_tests
