// Tests of the end of connections while a server stops.
#include "fescuedeck/net/http_server.h"

#include <atomic>

#include <catch2/catch.hpp>

#include "fescuedeck/net/echo_handler.h"
#include "fescuedeck/net/test_io.h"
#include "fescuedeck/router/wait_event.h"

namespace fescuedeck {
namespace {

void waitUntil(const std::atomic<bool> &condition, http_exchange &exchange)
{
    while (!condition)
        sleepFor(std::chrono::milliseconds(1), exchange.yield());
}

} // namespace

TEST_CASE("stopping finishes open exchanges and closes idle connections", "[net]")
{
    test_io io;
    awaited_value<bool> started;
    std::atomic<bool> mayFinish{ false };
    http_server server(io.context(), {}, [&](http_exchange &exchange) {
        if (exchange.request().target == "/slow") {
            started.set(true);
            waitUntil(mayFinish, exchange);
        }
        echo(exchange);
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection idle(server.port());
    idle.send(get("/idle"));
    idle.receiveUntil("echo /idle");
    raw_connection slow(server.port());
    slow.send(get("/slow"));
    started.wait();

    server.stopAccepting();
    CHECK(idle.receiveAll().empty());
    CHECK(server.openExchanges() == 1);
    CHECK_THROWS(raw_connection(server.port()));
    mayFinish = true;
    const std::string answer = slow.receiveAll();
    CHECK(answer.find("echo /slow") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(eventually([&] { return server.openExchanges() == 0; }));
}

// Guards against a process that waits for idle connections until the end of its grace period.
TEST_CASE("a server that drains closes idle connections and accepts new ones", "[net]")
{
    test_io io;
    http_server server(io.context(), {}, echo);
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection idle(server.port());
    idle.send(get("/idle"));
    idle.receiveUntil("echo /idle");

    server.drainConnections();
    CHECK(idle.receiveAll().empty());
    raw_connection fresh(server.port());
    fresh.send(get("/fresh"));
    const std::string answer = fresh.receiveAll();
    CHECK(answer.find("echo /fresh") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(eventually([&] { return server.openConnections() == 0; }));
}

// Guards against requests that cross the close of an idle connection while a gateway stops.
TEST_CASE("answers close their connections before the listener closes", "[net]")
{
    test_io io;
    http_server server(io.context(), {}, echo);
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection kept(server.port());
    kept.send(get("/1"));
    CHECK(kept.receiveUntil("echo /1").find("Connection: close") == std::string::npos);

    server.stopKeepingConnections();
    kept.send(get("/2"));
    CHECK(kept.receiveAll().find("Connection: close") != std::string::npos);
    raw_connection fresh(server.port());
    fresh.send(get("/3"));
    const std::string answer = fresh.receiveAll();
    CHECK(answer.find("echo /3") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
}

// Guards against requests that cross the close of a connection shortly after its stream. The head
// of the stream announced a kept connection, because the server did not know yet that it will stop.
TEST_CASE("a stopping server closes a kept connection with the end of its stream", "[net]")
{
    test_io io;
    awaited_value<bool> started;
    std::atomic<bool> mayFinish{ false };
    http_server_limits limits;
    limits.drainGrace = std::chrono::seconds(60);
    http_server server(io.context(), limits, [&](http_exchange &exchange) {
        if (exchange.request().target != "/stream")
            return echo(exchange);
        exchange.startStream({});
        started.set(true);
        waitUntil(mayFinish, exchange);
        exchange.finishStream();
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection caller(server.port());
    caller.send(get("/stream"));
    started.wait();
    server.stopKeepingConnections();
    const bool hasSentAhead = GENERATE(false, true);
    if (hasSentAhead)
        caller.send(get("/next"));
    mayFinish = true;

    const std::string answer = caller.receiveAll();
    CHECK(answer.find("0\r\n\r\n") != std::string::npos);
    CHECK((answer.find("echo /next") != std::string::npos) == hasSentAhead);
    CHECK((answer.find("Connection: close") != std::string::npos) == hasSentAhead);
}

// Guards against a request that is lost because it crosses the close of a connection: its caller
// has the whole answer before and the stopping server closes the connection a moment later.
TEST_CASE("the last stream of a stopping server and its connection end at once", "[net]")
{
    test_io io;
    awaited_value<bool> started;
    std::atomic<bool> mayFinish{ false };
    std::atomic<bool> mayReturn{ false };
    http_server server(io.context(), {}, [&](http_exchange &exchange) {
        exchange.startStream({});
        started.set(true);
        waitUntil(mayFinish, exchange);
        exchange.finishStream();
        waitUntil(mayReturn, exchange);
    });
    awaited_value<connection_end> reported;
    server.onConnectionEnd([&](const connection_end &end) { reported.set(end); });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection caller(server.port());
    caller.send(get("/stream"));
    started.wait();
    server.stopKeepingConnections();
    mayFinish = true;

    CHECK(caller.receiveUntil("0\r\n\r\n").find("0\r\n\r\n") != std::string::npos);
    CHECK(caller.hasEnded());
    caller.close();
    mayReturn = true;
    const connection_end end = reported.wait();
    CHECK(end.reason == connection_end_reason::Shutdown);
    CHECK(end.answeredRequests == 1);
}

} // namespace fescuedeck
