// Tests of gateways that exchange their state.
#include "fescuedeck/gateway/gateway_peers_fixture.h"

#include <string>
#include <thread>

#include <catch2/catch.hpp>

namespace fescuedeck {

// Guards against gateways that refuse each other's hello, after which each knows only its own load.
TEST_CASE("gateways connect and exchange their load", "[gateway]")
{
    peers_fixture gateways;
    gateways.onThread([&] {
        gateways.first.addEndpoint("x");
        gateways.second.addEndpoint("x");
        gateways.first.context.endpoints.find("x")->tokensInFlight = 1234;
    });
    CHECK(eventually([&] {
        return gateways.onThread([&] {
            return gateways.second.context.endpoints.find("x")->peerTokensInFlight == 1234;
        });
    }));
    // Without the age of the load, gateways would take it for exact.
    const auto [age, peers] = gateways.onThread([&] {
        const gateway_context &context = gateways.second.context;
        const auto at = context.endpoints.find("x")->peerFigures.at;
        return std::make_pair(steadyNow() - at.value_or(time_point{}), context.domainPeers);
    });
    CHECK(age < std::chrono::seconds(4));
    CHECK(peers == 1);
}

TEST_CASE("a gateway gets a newer configuration from a peer", "[gateway]")
{
    peers_fixture gateways;
    gateways.onThread([&] {
        gateway_config config;
        config.version = 7;
        gateways.first.context.config = std::make_shared<const config_index>(config);
        gateways.first.peers.setConfigText("text of version 7");
    });
    CHECK(eventually(
            [&] { return gateways.onThread([&] { return !gateways.second.configs.empty(); }); }));
    CHECK(gateways.onThread([&] { return gateways.second.configs.front(); })
          == "text of version 7");
}

TEST_CASE("a peer's quarantines apply, and its departures while the endpoint table is unavailable",
          "[gateway]")
{
    peers_fixture gateways;
    gateways.onThread([&] {
        for (test_gateway *gateway : { &gateways.first, &gateways.second }) {
            gateway->addEndpoint("x");
            gateway->addEndpoint("y");
        }
        gateways.second.context.isEndpointTableUnavailable = true;
        gateways.first.context.endpoints.remove("x", steadyNow());
        gateways.first.context.crashes.apply("bad", std::chrono::seconds(60), steadyNow());
    });
    CHECK(eventually([&] {
        return gateways.onThread([&] {
            gateway_context &context = gateways.second.context;
            return !context.endpoints.find("x")->isUsable(steadyNow())
                   && context.crashes.isQuarantined({ "bad", {} }, steadyNow());
        });
    }));
    CHECK(gateways.onThread(
            [&] { return gateways.second.context.endpoints.find("y")->isUsable(steadyNow()); }));
}

// Guards against requests at endpoints that have left: a gateway whose page of the endpoint table
// is late, behind other messages or for lack of a reader that the store answers, learned of
// departures only from the page.
TEST_CASE("a departure applies if the peer that reports it has read the endpoint table further",
          "[gateway]")
{
    peers_fixture gateways;
    gateways.onThread([&] {
        for (test_gateway *gateway : { &gateways.first, &gateways.second })
            gateway->addEndpoint("x");
        gateways.first.context.endpoints.markLeaving("x");
        gateways.first.endpointOffset = 5;
        gateways.second.endpointOffset = 4;
    });
    const auto isUsable
            = [&] { return gateways.second.context.endpoints.find("x")->isUsable(steadyNow()); };
    CHECK(eventually([&] {
        return gateways.onThread([&] { return !isUsable() || gateways.second.timesBehind > 0; });
    }));
    CHECK_FALSE(gateways.onThread(isUsable));
}

// Guards against an endpoint that was announced again and counts as leaving by an older digest.
TEST_CASE("a departure is ignored by a gateway that has read the endpoint table as far",
          "[gateway]")
{
    peers_fixture gateways;
    gateways.onThread([&] {
        for (test_gateway *gateway : { &gateways.first, &gateways.second }) {
            gateway->addEndpoint("x");
            gateway->endpointOffset = 5;
        }
        gateways.first.context.endpoints.markLeaving("x");
        gateways.first.context.crashes.apply("bad", std::chrono::seconds(60), steadyNow());
    });
    // Quarantines arrive with the same digest.
    CHECK(eventually([&] {
        return gateways.onThread([&] {
            return gateways.second.context.crashes.isQuarantined({ "bad", {} }, steadyNow());
        });
    }));
    CHECK(gateways.onThread(
            [&] { return gateways.second.context.endpoints.find("x")->isUsable(steadyNow()); }));
}

// Guards against links that are filled with copies of one configuration, behind which digests and
// pages of the endpoint table wait.
TEST_CASE("a configuration that is on its way is not requested again", "[gateway]")
{
    peers_fixture gateways;
    const time_point begin = steadyNow();
    gateways.onThread([&] {
        gateway_config config;
        config.version = 7;
        gateways.first.context.config = std::make_shared<const config_index>(config);
        gateways.first.peers.setConfigText("text of version 7");
    });
    const auto copies
            = [&] { return gateways.onThread([&] { return gateways.second.configs.size(); }); };
    CHECK(eventually([&] { return copies() > 0; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    const std::size_t count = copies();
    constexpr duration requestInterval = std::chrono::milliseconds(700);
    CHECK(count <= 1 + static_cast<std::size_t>((steadyNow() - begin) / requestInterval));
}

// Guards against a gateway that is cut off from all engines and reports them as lost. If its peers
// believed it, the holder of the placement lease would move layers away from engines that work.
TEST_CASE("losses that a peer reports apply if they are few and are ignored if they are many",
          "[gateway]")
{
    peers_fixture gateways;
    const auto nameLost = [&](int count) {
        gateways.onThread([&] {
            constexpr int lossesInRow = 8; // a single loss would expire during the test
            for (int i = 0; i < count * lossesInRow; ++i) {
                const std::string id = "e" + std::to_string(i % count);
                gateways.first.context.endpoints.markLost(id, steadyNow());
            }
        });
    };
    gateways.onThread([&] {
        for (int i = 0; i < 12; ++i) {
            gateways.first.addEndpoint("e" + std::to_string(i));
            gateways.second.addEndpoint("e" + std::to_string(i));
        }
    });
    const auto isLost = [&] {
        return gateways.onThread(
                [&] { return gateways.second.context.endpoints.find("e0")->isLost(steadyNow()); });
    };
    nameLost(3);
    CHECK(eventually(isLost));
    nameLost(12);
    CHECK(eventually([&] { return !isLost(); }));
}

// Guards against gateways that see only their own domain: requests would be sent to another domain
// whose caches are full.
TEST_CASE("a gateway tells other domains the load of its whole domain", "[gateway]")
{
    test_io io{ 1 };
    fake_table table;
    test_gateway near(io, table, "a-1", "a");
    test_gateway neighbour(io, table, "a-2", "a");
    test_gateway far(io, table, "b-1", "b");
    const auto all = { &near, &neighbour, &far };
    const auto peerLoadOf = [&](test_gateway &gateway) {
        return io.run([&](boost::asio::yield_context) {
            return gateway.context.endpoints.find("x")->peerTokensInFlight;
        });
    };
    io.run([&](boost::asio::yield_context) {
        double tokens = 100;
        for (test_gateway *gateway : all) {
            gateway->addEndpoint("x");
            gateway->context.endpoints.find("x")->tokensInFlight = tokens;
            gateway->peers.start();
            tokens *= 10;
        }
        return true;
    });
    // Both gateways of domain a report their sum, which counts once.
    CHECK(eventually([&] { return peerLoadOf(far) == 1100; }));
    CHECK(eventually([&] { return peerLoadOf(near) == 11000; }));
    CHECK(eventually([&] { return peerLoadOf(neighbour) == 10100; }));
    io.run([&](boost::asio::yield_context) {
        CHECK(near.peers.isAmongFirst(1, steadyNow()));
        CHECK_FALSE(neighbour.peers.isAmongFirst(1, steadyNow()));
        CHECK(neighbour.peers.isAmongFirst(2, steadyNow()));
        CHECK(far.peers.isAmongFirst(1, steadyNow()));
        return true;
    });
    io.stop();
}

// Guards against requests that are relayed to a gateway which cannot serve them, or which is about
// to end.
TEST_CASE("a gateway vouches while it reaches endpoints and accepts relays", "[gateway][relay]")
{
    peers_fixture gateways;
    gateway_context &context = gateways.first.context;
    bool isIsolated = false;
    const auto isVouchedFor = [&](bool expected) {
        gateways.onThread([&] { gateways.first.peers.announceChange(); });
        return eventually([&] {
            return gateways.onThread([&] {
                return gateways.second.context.hasVouchingPeer() == expected
                       && gateways.second.peers.livePeers(steadyNow()) == 1;
            });
        });
    };
    gateways.onThread([&] {
        context.settings.relayAddress = "127.0.0.1:2001";
        context.isIsolated = [&] { return isIsolated; };
        context.config = std::make_shared<const config_index>(gateway_config{});
    });
    CHECK(isVouchedFor(false)); // it knows no endpoint
    gateways.onThread([&] { gateways.first.addEndpoint("x"); });
    CHECK(isVouchedFor(true));
    CHECK(gateways.onThread([&] {
        return gateways.second.context.relays.choose({ "", {}, steadyNow(), 0 })->entry.address;
    }) == "127.0.0.1:2001");
    gateways.onThread([&] { isIsolated = true; });
    CHECK(isVouchedFor(false));
    gateways.onThread([&] { isIsolated = false; });
    CHECK(isVouchedFor(true));
    // A gateway that stops still vouches while it accepts relayed requests.
    gateways.onThread([&] { context.isStopping = true; });
    CHECK(isVouchedFor(true));
    gateways.onThread([&] { isIsolated = true; });
    CHECK(isVouchedFor(false));
    gateways.onThread([&] { isIsolated = false; });
    CHECK(isVouchedFor(true));
    gateways.onThread([&] { context.acceptsRelaysUntil = steadyNow(); });
    CHECK(isVouchedFor(false));
}

// Guards against a gateway that waits for an answer of the store which is lost, and misses that an
// endpoint leaves.
TEST_CASE("a gateway notices that a peer has read the endpoint table further", "[gateway]")
{
    peers_fixture gateways;
    gateways.onThread([&] {
        gateways.first.endpointOffset = 12;
        gateways.second.endpointOffset = 12;
    });
    CHECK(eventually([&] {
        return gateways.onThread([&] { return gateways.second.peers.livePeers(steadyNow()) == 1; });
    }));
    CHECK(gateways.onThread([&] { return gateways.second.timesBehind; }) == 0);
    gateways.onThread([&] { gateways.first.endpointOffset = 13; });
    CHECK(eventually(
            [&] { return gateways.onThread([&] { return gateways.second.timesBehind > 0; }); }));
    CHECK(gateways.onThread([&] { return gateways.first.timesBehind; }) == 0);
}

// Guards against a gateway that is cut off from a few engines and shuts them out at its peers.
TEST_CASE("a loss that a peer reports is ignored while the endpoint sends to this gateway",
          "[gateway]")
{
    peers_fixture gateways;
    gateways.onThread([&] {
        for (int i = 0; i < 8; ++i) {
            gateways.first.addEndpoint("e" + std::to_string(i));
            gateways.second.addEndpoint("e" + std::to_string(i));
        }
        constexpr int lossesInRow = 8; // a single loss would expire during the test
        for (int i = 0; i < lossesInRow; ++i) {
            for (const char *id : { "e0", "e1" })
                gateways.first.context.endpoints.markLost(id, steadyNow());
        }
    });
    // The endpoint sends on the thread of the gateways, so that a busy host delays neither more
    // than the other.
    const endpoint_ptr sender = gateways.second.context.endpoints.find("e0");
    bool isSending = true;
    boost::asio::spawn(gateways.io.context(), [&](boost::asio::yield_context yield) {
        while (isSending) {
            sender->lastProgressAt = steadyNow();
            sleepFor(std::chrono::milliseconds(20), yield);
        }
    });
    const auto isLost = [&](const char *id) {
        return gateways.onThread(
                [&] { return gateways.second.context.endpoints.find(id)->isLost(steadyNow()); });
    };
    bool wasLost = false;
    CHECK(eventually([&] {
        wasLost = wasLost || isLost("e0");
        return isLost("e1");
    }));
    CHECK_FALSE(wasLost);
    gateways.onThread([&] {
        isSending = false;
        sender->lastProgressAt = steadyNow();
    });
    // The endpoint is silent from now on. Its last progress is later than the report.
    const auto until = steadyNow() + std::chrono::milliseconds(600);
    while (steadyNow() < until)
        wasLost = wasLost || isLost("e0");
    CHECK_FALSE(wasLost);
}

} // namespace fescuedeck
