// Tests of gateways that find each other through the store and share its tables.
#include "fescuedeck/gateway/gateway_peers_fixture.h"

#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace fescuedeck {

// Guards against gateways that start later and do not find the others, because a restored store has
// lost where these are.
TEST_CASE("gateways register again after the store has lost their addresses", "[gateway]")
{
    test_io io{ 1 };
    fake_table table;
    test_gateway first(io, table, "first");
    test_gateway second(io, table, "second-host");
    test_gateway later(io, table, "later");
    const auto livePeersOf = [&](test_gateway &gateway) {
        return io.run(
                [&](boost::asio::yield_context) { return gateway.peers.livePeers(steadyNow()); });
    };
    io.run([&](boost::asio::yield_context) {
        first.peers.start();
        second.peers.start();
        return true;
    });
    CHECK(eventually([&] { return livePeersOf(first) == 1; }));
    io.run([&](boost::asio::yield_context) {
        table.loseEverything();
        return true;
    });
    CHECK(eventually(
            [&] { return io.run([&](boost::asio::yield_context) { return table.size() == 3; }); }));
    io.run([&](boost::asio::yield_context) {
        later.peers.start();
        return true;
    });
    CHECK(eventually([&] { return livePeersOf(later) == 2; }));
    io.stop();
}

// Guards against a deployment in which each record of a table wakes every gateway: here the fourth
// and fifth gateway of a domain get it from the readers. The sixth has a domain of its own.
TEST_CASE("three gateways of a domain read the tables and pass new records on", "[gateway][tables]")
{
    test_io io{ 1 };
    fake_table table;
    std::vector<std::unique_ptr<test_gateway>> gateways;
    for (const char *id : { "a1", "a2", "a3", "a4", "a5" })
        gateways.push_back(std::make_unique<test_gateway>(io, table, id, "a"));
    gateways.push_back(std::make_unique<test_gateway>(io, table, "b1", "b"));
    const auto onThread = [&](auto function) {
        return io.run([&](boost::asio::yield_context) { return function(); });
    };
    const auto readers = [&] {
        return onThread([&] {
            return std::count_if(gateways.begin(), gateways.end(),
                                 [](const auto &each) { return each->peers.readsTables(); });
        });
    };
    const auto pagesOf = [&](test_gateway &gateway, const char *source) {
        return gateway.context.counters
                .counterOf("fescuedeck_table_pages_total",
                           { { "table", "peers" }, { "source", source } })
                .value();
    };
    std::vector<std::unique_ptr<table_follower>> endpointTables;
    onThread([&] {
        for (const auto &gateway : gateways) {
            table_follower_settings settings;
            settings.pace = [&peers = gateway->peers] {
                return read_pace{ std::chrono::seconds(1), std::chrono::milliseconds(50),
                                  peers.readsTables() };
            };
            table_follower_hooks hooks;
            hooks.onRecord = [](const store_record &) {};
            hooks.onWholeTableRead = [](const std::vector<std::string> &) {};
            endpointTables.push_back(std::make_unique<table_follower>(
                    io.context(), gateway->context.adapter.store, store_table::Endpoints, settings,
                    hooks, seededRandom(1)));
            gateway->peers.relayTable(store_table::Endpoints, *endpointTables.back());
            endpointTables.back()->start();
            gateway->peers.start();
        }
        return true;
    });
    CHECK(eventually([&] { return readers() == 4; }));
    CHECK_FALSE(onThread([&] { return gateways[4]->peers.readsTables(); }));
    // A read that was under way may return the first of these records.
    int added = 0;
    CHECK(eventually([&] {
        const auto ownPages = onThread([&] { return pagesOf(*gateways[4], "store"); });
        const auto passedPages = onThread([&] { return pagesOf(*gateways[4], "peer"); });
        onThread([&] {
            table.add("c" + std::to_string(++added), "127.0.0.1:9 c");
            return true;
        });
        CHECK(eventually([&] {
            return onThread([&] { return gateways[4]->peers.knownGateways() == 6 + added; });
        }));
        return onThread([&] {
            return pagesOf(*gateways[4], "store") == ownPages
                   && pagesOf(*gateways[4], "peer") > passedPages;
        });
    }));
    CHECK(onThread([&] { return pagesOf(*gateways[5], "peer"); }) == 0);
    // The readers of the domain end: the others take over.
    onThread([&] {
        for (int i = 0; i < 3; ++i)
            gateways[static_cast<std::size_t>(i)]->peers.stop();
        return true;
    });
    CHECK(eventually([&] {
        return onThread([&] {
            return gateways[3]->peers.readsTables() && gateways[4]->peers.readsTables();
        });
    }));
    io.stop();
}

// Guards against more retries than the deployment may have: gateways that start together, each
// before the others are in the table, and of which the first ones take far more than their parts.
TEST_CASE("gateways that start together on an empty table share the fixed retries", "[gateway]")
{
    test_io io{ 1 };
    fake_table table;
    table.setWriteTime(std::chrono::milliseconds(100));
    std::vector<std::unique_ptr<test_gateway>> gateways;
    constexpr int count = 6;
    for (int i = 0; i < count; ++i) {
        gateway_settings settings = settingsOf("host" + std::to_string(i), i % 2 == 0 ? "a" : "b");
        settings.retryWindow = std::chrono::seconds(1);
        gateways.push_back(std::make_unique<test_gateway>(io, table, settings));
    }
    const auto onThread = [&](auto function) {
        return io.run([&](boost::asio::yield_context) { return function(); });
    };
    onThread([&] {
        for (const auto &gateway : gateways)
            gateway->peers.start();
        return true;
    });
    double greatestSum = 0;
    const auto hasWholeSum = [&] {
        double sum = 0;
        bool knowsAll = true;
        for (const auto &gateway : gateways) {
            sum += gateway->context.retryBudget.fraction(steadyNow());
            knowsAll = knowsAll && gateway->peers.knownGateways() == count;
        }
        greatestSum = std::max(greatestSum, sum);
        return knowsAll && sum > 0.99;
    };
    CHECK(eventually([&] { return onThread(hasWholeSum); }));
    CHECK(greatestSum < 1.01);
    io.stop();
}

} // namespace fescuedeck
