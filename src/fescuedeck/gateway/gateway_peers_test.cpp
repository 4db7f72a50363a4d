// Tests of gateways that find each other through the store and exchange their state.
#include "fescuedeck/gateway/gateway_peers.h"

#include <map>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "fescuedeck/net/test_io.h"
#include "fescuedeck/router/wait_event.h"

namespace fescuedeck {
namespace {

// A store table in memory. It is used only on the thread of the test_io.
class fake_table
{
public:
    store_hooks hooks()
    {
        store_hooks store;
        store.readNewest
                = [this](store_table, duration, boost::asio::yield_context) { return readFrom(0); };
        store.readFrom = [this](store_table, std::int64_t from, duration, duration,
                                const call_cancellation &, boost::asio::yield_context yield) {
            sleepFor(std::chrono::milliseconds(5), yield);
            return readFrom(from);
        };
        store.write = [this](const store_write &wanted, duration,
                             boost::asio::yield_context yield) -> std::optional<failure> {
            if (wanted.onlyIfEmpty && !m_records.empty())
                return makeFailure(errc::LogUnavailable, "the table is not empty");
            if (m_writeTime > duration::zero())
                waitForTurn(yield);
            add(wanted.key, wanted.value);
            return std::nullopt;
        };
        return store;
    }

    std::size_t size() const { return m_records.size(); }
    // Writes then take this long, one after the other.
    void setWriteTime(duration writeTime) { m_writeTime = writeTime; }
    void add(const std::string &key, const std::string &value)
    {
        const auto offset = static_cast<std::int64_t>(m_records.size());
        m_records.push_back({ key, value, offset, false });
    }
    void loseEverything()
    {
        m_records.clear();
        ++m_epoch;
    }

private:
    result<store_page> readFrom(std::int64_t from)
    {
        store_page page;
        page.epoch = m_epoch;
        if (from > static_cast<std::int64_t>(m_records.size())) {
            page.hasMissingRecords = true;
            return page;
        }
        page.records.assign(m_records.begin() + from, m_records.end());
        page.next = static_cast<std::int64_t>(m_records.size());
        return page;
    }

    void waitForTurn(boost::asio::yield_context yield)
    {
        m_writtenAt = std::max(m_writtenAt, steadyNow()) + m_writeTime;
        sleepFor(m_writtenAt - steadyNow(), yield);
    }

    std::int64_t m_epoch = 1;
    std::vector<store_record> m_records;
    duration m_writeTime{};
    time_point m_writtenAt{}; // when the last write ends
};

std::string freeAddress()
{
    boost::asio::io_context io;
    using tcp = boost::asio::ip::tcp;
    const tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return loopback(acceptor.local_endpoint().port());
}

gateway_settings settingsOf(const std::string &id, const std::string &domain)
{
    gateway_settings settings;
    settings.id = id;
    settings.failureDomain = domain;
    settings.peersAddress = freeAddress();
    return settings;
}

platform_adapter adapterWith(fake_table &table)
{
    platform_adapter adapter;
    adapter.store = table.hooks();
    return adapter;
}

struct test_gateway
{
    test_gateway(test_io &io, fake_table &table, const std::string &id,
                 const std::string &domain = "")
        : test_gateway(io, table, settingsOf(id, domain))
    {
    }
    test_gateway(test_io &io, fake_table &table, const gateway_settings &settings)
        : client(io.context())
        , context(settings, adapterWith(table), io.context(), client,
                  seededRandom(settings.id.size()))
        , peers(context, "1",
                { [this](const std::string &value) { configs.push_back(value); },
                  [this] { return endpointOffset; },
                  [this] { ++timesBehind; },
                  {} })
    {
    }

    void addEndpoint(const std::string &id)
    {
        const endpoint_entry entry{
            id, "model", "127.0.0.1:1", "a", 8, endpoint_phase_announced::Ready, "", std::nullopt, 1
        };
        context.endpoints.announce(entry, 1, steadyNow());
    }

    http_client client;
    std::vector<std::string> configs;
    std::int64_t endpointOffset = 0;
    int timesBehind = 0;
    gateway_context context;
    gateway_peers peers;
};

class peers_fixture
{
public:
    // Runs the function on the thread of the gateways and returns its result.
    template <class Function>
    auto onThread(Function function)
    {
        return io.run([&](boost::asio::yield_context) {
            if constexpr (std::is_void_v<decltype(function())>) {
                function();
                return true;
            } else {
                return function();
            }
        });
    }

    peers_fixture()
        : first(io, m_table, "first")
        , second(io, m_table, "second-host")
    {
        onThread([this] {
            first.peers.start();
            second.peers.start();
        });
    }
    ~peers_fixture() { io.stop(); }

    test_io io{ 1 };

private:
    fake_table m_table;

public:
    test_gateway first;
    test_gateway second;
};

} // namespace

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
    CHECK(copies() == 1);
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
