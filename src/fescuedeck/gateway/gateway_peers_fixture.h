// Gateways that exchange their state with peers, over a store table in memory, for tests.
#ifndef FESCUEDECK_GATEWAY_GATEWAY_PEERS_FIXTURE_H
#define FESCUEDECK_GATEWAY_GATEWAY_PEERS_FIXTURE_H

#include <algorithm>
#include <memory>
#include <string>
#include <type_traits>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "fescuedeck/gateway/gateway_peers.h"
#include "fescuedeck/net/test_io.h"
#include "fescuedeck/router/wait_event.h"

namespace fescuedeck {

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

inline std::string freeAddress()
{
    boost::asio::io_context io;
    using tcp = boost::asio::ip::tcp;
    const tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return loopback(acceptor.local_endpoint().port());
}

inline gateway_settings settingsOf(const std::string &id, const std::string &domain)
{
    gateway_settings settings;
    settings.id = id;
    settings.failureDomain = domain;
    settings.peersAddress = freeAddress();
    return settings;
}

inline platform_adapter adapterWith(fake_table &table)
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

} // namespace fescuedeck

#endif
