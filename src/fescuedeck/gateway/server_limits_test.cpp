#include "fescuedeck/gateway/server_limits.h"

#include <thread>

#include <catch2/catch.hpp>

#include "fescuedeck/gateway/relay_protocol.h"
#include "fescuedeck/net/test_io.h"

namespace fescuedeck {
namespace {

constexpr host_limits host{ 512000000, 8192 };

} // namespace

// Guards against limits that the memory and the descriptors of a small host do not bear.
TEST_CASE("limits follow from the host", "[gateway]")
{
    gateway_settings settings;
    CHECK(hostLimits(settings).memoryBytes > 0);
    CHECK(hostLimits(settings).fileDescriptors > 0);
    settings.memoryBytes = 112000000;
    settings.fileDescriptors = 2870;
    const host_limits small = hostLimits(settings);
    CHECK(bodyMemoryOf(small) == 56000000);
    CHECK(callerConnectionsOf(small) == 1435);
    CHECK(callerServerLimits({}, small).maxConnections == 1435);
    CHECK(firstRelayServerLimits(small).maxConnections == 358);
    CHECK(gatewayClientLimits(small).maxCollectedBytes == 14000000);
    CHECK(callerConnectionsOf(host) == 4096);
    CHECK(gatewayClientLimits(host).maxCollectedBytes == http_client_limits{}.maxCollectedBytes);
}

// Guards against a peer that rejects or cuts off a request which the relaying gateway has accepted
// under an earlier configuration.
TEST_CASE("the limits of the relay server do not shrink with those of callers", "[gateway]")
{
    const http_server_limits first = firstRelayServerLimits(host);
    caller_limits limits;
    limits.maxHeaderBytes = 100 * 1024;
    limits.maxBodyBytes = 10 * 1024 * 1024;
    const http_server_limits larger = nextRelayServerLimits(first, limits);
    CHECK(larger.maxHeaderBytes == limits.maxHeaderBytes + maxRelayHeaderBytes);
    CHECK(larger.maxBodyBytes == limits.maxBodyBytes);

    const caller_limits small{ 10, 20, std::chrono::milliseconds(1), std::chrono::milliseconds(1) };
    const http_server_limits after = nextRelayServerLimits(larger, small);
    CHECK(after.maxHeaderBytes == larger.maxHeaderBytes);
    CHECK(after.maxBodyBytes == larger.maxBodyBytes);
    CHECK(after.headerTimeout == first.headerTimeout);
    CHECK(after.idleTimeout == first.idleTimeout);
}

TEST_CASE("callers get the limits of the configuration", "[gateway]")
{
    const caller_limits limits{ 10, 20, std::chrono::seconds(1), std::chrono::seconds(2) };
    const http_server_limits server = callerServerLimits(limits, host);
    CHECK(server.maxHeaderBytes == 10);
    CHECK(server.maxBodyBytes == 20);
    CHECK(server.headerTimeout == std::chrono::seconds(1));
    // Guards against closing a connection on which a request is on its way.
    CHECK(server.idleTimeout > limits.idleTimeout + std::chrono::seconds(2));
}

// Guards against a relay that is sent on a connection which the other gateway is closing, because
// callers may idle for less time than the gateways' clients keep connections.
TEST_CASE("a short idle limit of callers does not close connections between gateways", "[relay]")
{
    caller_limits callers;
    callers.idleTimeout = std::chrono::milliseconds(20);
    const http_server_limits limits = nextRelayServerLimits(firstRelayServerLimits(host), callers);
    CHECK(limits.idleTimeout > gatewayClientLimits(host).maxIdleAge);

    test_io io;
    http_server server(io.context(), limits, [](http_exchange &exchange) {
        exchange.respond({ 200, {}, "" });
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    http_client client(io.context(), gatewayClientLimits(host));
    const auto call = [&] {
        return io.run([&](boost::asio::yield_context yield) {
            return client.send(loopback(server.port()), { "POST", "/", {}, "" }, {}, yield);
        });
    };
    REQUIRE(call().response);
    std::this_thread::sleep_for(3 * callers.idleTimeout);
    const call_result second = call();
    CHECK(second.response);
    CHECK(second.reusedConnection);
}

} // namespace fescuedeck
