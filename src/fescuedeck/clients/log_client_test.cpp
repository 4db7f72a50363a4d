#include "fescuedeck/clients/log_client.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fescuedeck/clients/host_list_client.h"
#include "fescuedeck/clients/service_call.h"
#include "fescuedeck/clients/weight_store_client.h"
#include "fescuedeck/net/http_server.h"
#include "fescuedeck/net/test_io.h"

namespace fescuedeck {
namespace {

// A service that gives one answer to every request and keeps the last request.
struct one_answer_service
{
    explicit one_answer_service(http_response response)
        : server(io.context(), {},
                 [this, response](http_exchange &exchange) {
                     last = exchange.request();
                     exchange.respond(response);
                 })
        , client(io.context())
    {
        REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    }
    ~one_answer_service() { io.stop(); }

    template <class Function>
    auto run(Function function)
    {
        return io.run([&](boost::asio::yield_context yield) { return function(yield); });
    }

    test_io io;
    http_request last;
    http_server server;
    http_client client;
};

const duration limit = testWaitLimit;

http_response ok(const std::string &body)
{
    return { 200, {}, body };
}

} // namespace

TEST_CASE("appends and reads have the form that the log expects", "[clients]")
{
    one_answer_service appending(ok(R"({"offsets":[7,8]})"));
    log_client writer(appending.client, loopback(appending.server.port()));
    const auto offsets = appending.run([&](auto yield) {
        return writer.append("control", { { "a", R"({"type":"x"})" }, { "b", "[]" } }, limit,
                             yield);
    });
    CHECK(offsets.value() == std::vector<std::int64_t>{ 7, 8 });
    CHECK(appending.last.target == "/log/control/append");
    CHECK(nlohmann::json::parse(appending.last.body)
          == nlohmann::json::parse(
                  R"({"records":[{"id":"a","body":{"type":"x"}},{"id":"b","body":[]}]})"));

    one_answer_service reading(ok(
            R"({"records":[{"offset":3,"id":"a","time_ms":5,"body":{"b":1}}],"next":4,"first":2})"));
    log_client reader(reading.client, loopback(reading.server.port()));
    const auto page = reading.run([&](auto yield) {
        return reader.read("claims-1", 3, 10, std::chrono::milliseconds(20), limit, yield);
    });
    REQUIRE(page);
    CHECK(reading.last.target == "/log/claims-1/records?from=3&limit=10&wait_ms=20");
    CHECK(page.value().next == 4);
    CHECK(page.value().first == 2);
    CHECK(page.value().records.at(0).time == unix_millis(5));
    CHECK(page.value().records.at(0).body == R"({"b":1})");
}

TEST_CASE("an append that the log cannot have stored is told apart", "[clients]")
{
    // Guards against "not run" for a claim that is in the log after all.
    const auto tryAppend = [](const http_response &response, const std::string &body = "{}") {
        one_answer_service platform(response);
        log_client client(platform.client, loopback(platform.server.port()));
        return platform.run([&](auto yield) {
            return client.tryAppend("control", { { "a", body } }, limit, yield);
        });
    };
    CHECK(tryAppend({ 503, {}, "" }).mayHaveLanded);
    CHECK(tryAppend(ok(R"({"offsets":[]})")).mayHaveLanded);
    CHECK(tryAppend(ok("not JSON")).mayHaveLanded);
    CHECK_FALSE(tryAppend({ 429, {}, "" }).mayHaveLanded);
    const auto malformed = tryAppend(ok(R"({"offsets":[1]})"), "{");
    CHECK_FALSE(malformed.mayHaveLanded);
    CHECK(malformed.offsets.error().code == errc::InvalidRequest);
}

TEST_CASE("answers of another form are failures, not exceptions", "[clients]")
{
    const std::string answer = GENERATE(
            as<std::string>(), "", "[]", "{}", R"({"records":[1],"next":0,"first":0})",
            R"({"records":[{"offset":1,"id":2,"time_ms":3,"body":4}],"next":0,"first":0})",
            R"({"records":[],"next":"0","first":0})", std::string(100000, '['));
    one_answer_service platform(ok(answer));
    log_client client(platform.client, loopback(platform.server.port()));
    const auto page = platform.run(
            [&](auto yield) { return client.read("control", 0, 1, duration(0), limit, yield); });
    REQUIRE_FALSE(page);
    CHECK(page.error().code == errc::InvalidMessage);
    CHECK_FALSE(parseHostList(answer));
}

TEST_CASE("the host list leaves out entries of unknown kinds", "[clients]")
{
    one_answer_service platform(ok(R"({"hosts":[
        {"host":"h1","address":"127.0.0.1:1","role":"router","state":"leaving","incarnation":"i"},
        {"host":"h2","address":"127.0.0.1:2","role":"cache","state":"live","incarnation":"i"}]})"));
    host_list_client client(platform.client, loopback(platform.server.port()));
    const auto hosts = platform.run([&](auto yield) { return client.fetch(limit, yield); });
    REQUIRE(hosts);
    REQUIRE(hosts.value().size() == 1);
    CHECK(hosts.value()[0].role == host_role::Router);
    CHECK(hosts.value()[0].state == host_state::Leaving);
    CHECK_FALSE(parseHostList(R"({"hosts":[{"host":"h1"}]})"));
}

TEST_CASE("the weight store's rate limit is passed on", "[clients]")
{
    one_answer_service platform({ 429, { { "Retry-After", "3" } }, "" });
    weight_store_client client(platform.client, loopback(platform.server.port()));
    const auto answer = platform.run([&](auto yield) {
        return client.fetch("a/b", "1", { 0, 4 }, limit, yield);
    });
    REQUIRE(answer);
    CHECK(answer.value().isRateLimited);
    CHECK(answer.value().retryAfter == std::chrono::seconds(3));
    CHECK(platform.last.target == "/weights/a%2fb/1/0-4");
    CHECK(retryAfter({ 429, { { "Retry-After", "99999999999" } }, "" }, limit) == limit);
}

} // namespace fescuedeck
