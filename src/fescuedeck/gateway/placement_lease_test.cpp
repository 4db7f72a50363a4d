// Tests of the placement lease's holder with engines that cannot be reached and a store that is
// unavailable.
#include "fescuedeck/gateway/placement_lease.h"

#include <atomic>
#include <set>

#include <catch2/catch.hpp>

#include "fescuedeck/gateway/engine_inspector.h"
#include "fescuedeck/net/http_server.h"
#include "fescuedeck/net/test_io.h"

namespace fescuedeck {
namespace {

// Nothing listens on this address.
const std::string deadAddress = "127.0.0.1:1";

// A store that grants the lease to every member while it is up and no other holds the lease, and
// engines that accept every order and always report that they are busy.
platform_adapter testAdapter(const std::atomic<bool> &isStoreDown,
                             const std::atomic<bool> &isHeldByOther, std::atomic<int> &joins,
                             std::atomic<int> &refusedReleases, std::atomic<int> &releases)
{
    platform_adapter adapter;
    adapter.store.joinLease = [&](const std::string &, duration, duration,
                                  boost::asio::yield_context) -> result<lease_grant> {
        ++joins;
        if (isStoreDown)
            return makeFailure(errc::LogUnavailable, "down");
        return lease_grant{ !isHeldByOther, 1 };
    };
    adapter.store.leaveLease = [&](const std::string &, duration,
                                   boost::asio::yield_context) -> std::optional<failure> {
        if (isStoreDown) {
            ++refusedReleases;
            return makeFailure(errc::LogUnavailable, "down");
        }
        ++releases;
        return std::nullopt;
    };
    adapter.encodeOrder = [](const placement_order &order, std::int64_t) {
        return http_request{ "POST", "/order", {}, toString(order.range) };
    };
    adapter.decodeOrderResponse = [](const http_response &) { return order_outcome::Begun; };
    adapter.encodeReportRequest = [] { return http_request{ "GET", "/report", {}, "" }; };
    adapter.decodeReport = [](const http_response &) -> result<engine_report> {
        engine_report report;
        report.isBusy = true;
        return report;
    };
    return adapter;
}

// A model of eight layers, of which one engine can hold four.
gateway_config testConfig()
{
    engine_spec spec;
    spec.layers = 8;
    spec.layerMb = 1000;
    spec.loadSecondsAllLayers = 80;
    spec.kinds = { { "card", 4500, 1, 1 } };
    gateway_config config;
    config.services = { { "model", "", 8, spec } };
    return config;
}

gateway_settings testSettings()
{
    gateway_settings settings;
    settings.enginesCheckFencing = true;
    return settings;
}

placement_lease_settings shortLease()
{
    placement_lease_settings settings;
    settings.leaseDuration = std::chrono::milliseconds(400);
    settings.renewInterval = std::chrono::milliseconds(50);
    settings.sendMargin = std::chrono::milliseconds(50);
    return settings;
}

class lease_fixture
{
public:
    lease_fixture()
        : m_client(io.context())
        , context(testSettings(),
                  testAdapter(isStoreDown, isHeldByOther, joins, refusedReleases, releases),
                  io.context(), m_client, seededRandom(1))
        , m_inspector(context)
        , m_lease(context, "one", shortLease())
        , m_engine(io.context(), {}, [this](http_exchange &exchange) {
            const bool isOrder = exchange.request().method == "POST";
            if (isOrder && !m_engineCallers.insert(exchange.callerAddress()).second)
                ++ordersOnReusedConnections;
            if (!isOrder)
                m_engineCallers.insert(exchange.callerAddress());
            orders += isOrder ? 1 : 0;
            exchange.respond({ 200, {}, "" });
        })
    {
        REQUIRE_FALSE(m_engine.listen("127.0.0.1:0"));
        context.config = std::make_shared<const config_index>(testConfig());
        context.hasEndpointList = true;
        context.inspectEngine = [this](const std::string &id, engine_suspicion suspicion) {
            m_inspector.inspect(id, suspicion);
        };
    }
    ~lease_fixture() { io.stop(); }

    void add(const std::string &id, const std::string &address, std::optional<layer_range> layers)
    {
        const endpoint_entry entry{ id,     "model", address,
                                    "a",    8,       endpoint_phase_announced::Ready,
                                    "card", layers,  1 };
        context.endpoints.announce(entry, 1, steadyNow());
    }
    std::string liveAddress() const { return loopback(m_engine.port()); }
    void start()
    {
        boost::asio::post(io.context(), [this] { m_lease.start(); });
    }

    bool isHolder()
    {
        return io.run([this](boost::asio::yield_context) { return m_lease.isHolder(steadyNow()); });
    }

    test_io io{ 1 };
    std::atomic<bool> isStoreDown{ false };
    std::atomic<bool> isHeldByOther{ false };
    std::atomic<int> joins{ 0 };
    std::atomic<int> refusedReleases{ 0 };
    std::atomic<int> releases{ 0 };
    std::atomic<int> orders{ 0 }; // received by the live engine
    std::atomic<int> ordersOnReusedConnections{ 0 };
    // Leaves an idle connection to the live engine.
    void fetchReport()
    {
        io.run([this](boost::asio::yield_context yield) {
            call_options options;
            options.timeout = testWaitLimit;
            return m_client.send(liveAddress(), { "GET", "/report", {}, "" }, options, yield)
                    .mayHaveBeenSent;
        });
    }

private:
    http_client m_client;

public:
    gateway_context context;

private:
    engine_inspector m_inspector;
    placement_lease m_lease;
    std::set<std::string> m_engineCallers; // addresses of connections to the live engine
    http_server m_engine;
};

} // namespace

// Guards against layers that stay missing during an outage of the store. The announcement of an
// engine whose host has gone remains then, so the orders to load the layers could go to that engine
// again and again.
TEST_CASE("missing layers are loaded elsewhere if the first engine cannot be reached", "[gateway]")
{
    lease_fixture fixture;
    fixture.add("a-gone", deadAddress, std::nullopt);
    fixture.add("b-live", fixture.liveAddress(), layer_range{ 4, 8 });
    fixture.add("c-live", fixture.liveAddress(), layer_range{ 4, 8 });
    fixture.start();
    CHECK(eventually([&] { return fixture.orders > 0; }));
}

// Guards against taking a late response to an earlier request for the outcome of an order.
TEST_CASE("an order gets a connection of its own", "[gateway]")
{
    lease_fixture fixture;
    fixture.fetchReport();
    fixture.add("a-live", fixture.liveAddress(), std::nullopt);
    fixture.add("b-live", fixture.liveAddress(), layer_range{ 4, 8 });
    fixture.start();
    CHECK(eventually([&] { return fixture.orders > 0; }));
    CHECK(fixture.ordersOnReusedConnections == 0);
}

// Guards against lost layers that no gateway reloads. If a holder that is stopped during an outage
// of the store gave up its lease, no other gateway could acquire the lease until the store is back.
TEST_CASE("a holder that is stopped during an outage sends orders until it can release the lease",
          "[gateway]")
{
    lease_fixture fixture;
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isHolder(); }));
    fixture.isStoreDown = true;
    boost::asio::post(fixture.io.context(), [&] { fixture.context.isStopping = true; });
    // So many refused releases, with the interval between them, take longer than the lease.
    const int enough
            = static_cast<int>(2 * shortLease().leaseDuration / shortLease().renewInterval);
    REQUIRE(eventually([&] { return fixture.refusedReleases >= enough; }));
    CHECK(fixture.isHolder());
    boost::asio::post(fixture.io.context(), [&] {
        fixture.add("b-live", fixture.liveAddress(), layer_range{ 4, 8 });
        fixture.add("c-live", fixture.liveAddress(), layer_range{ 4, 8 });
    });
    CHECK(eventually([&] { return fixture.orders > 0; }));
    fixture.isStoreDown = false;
    CHECK(eventually([&] { return !fixture.isHolder(); }));
}

// Guards against calls to the store that grow with the number of gateways.
TEST_CASE("a gateway that is not among the first of its domain does not ask for the lease",
          "[gateway]")
{
    lease_fixture fixture;
    std::atomic<bool> isFirst{ false };
    std::atomic<int> checks{ 0 };
    fixture.context.isAmongFirst = [&](int) {
        ++checks;
        return isFirst.load();
    };
    fixture.start();
    CHECK(eventually([&] { return checks > 3; }));
    CHECK(fixture.joins == 0);
    isFirst = true;
    CHECK(eventually([&] { return fixture.isHolder(); }));
    // A holder keeps the lease when the gateways before it return.
    isFirst = false;
    const int joins = fixture.joins;
    CHECK(eventually([&] { return fixture.joins > joins + 3; }));
    CHECK(fixture.isHolder());
}

// Guards against layers that nobody reloads while the gateway that holds the lease reaches no
// engine.
TEST_CASE("an isolated holder leaves the lease to a peer that reaches engines, if there is one",
          "[gateway]")
{
    lease_fixture fixture;
    std::atomic<bool> hasPeer{ false };
    std::atomic<bool> isIsolated{ false };
    fixture.context.isIsolated = [&] { return isIsolated.load(); };
    fixture.context.hasVouchingPeer = [&] { return hasPeer.load(); };
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isHolder(); }));
    isIsolated = true;
    const int joins = fixture.joins;
    CHECK(eventually([&] { return fixture.joins > joins + 3; }));
    CHECK(fixture.isHolder());
    hasPeer = true;
    CHECK_FALSE(fixture.isHolder());
    CHECK(eventually([&] { return fixture.releases > 0; }));
    isIsolated = false;
    CHECK(eventually([&] { return fixture.isHolder(); }));
}

// Guards against a duty that changes hands whenever the links of any gateway return.
TEST_CASE("an isolated gateway that does not hold the lease stays a member of its group",
          "[gateway]")
{
    lease_fixture fixture;
    std::atomic<bool> isIsolated{ false };
    fixture.context.isIsolated = [&] { return isIsolated.load(); };
    fixture.context.hasVouchingPeer = [] { return true; };
    fixture.isHeldByOther = true;
    fixture.start();
    REQUIRE(eventually([&] { return fixture.joins > 0; }));
    isIsolated = true;
    const int joins = fixture.joins;
    CHECK(eventually([&] { return fixture.joins > joins + 3; }));
    CHECK(fixture.releases == 0);
    // Once it is granted the lease it leaves, and does not come back while it is isolated.
    fixture.isHeldByOther = false;
    CHECK(eventually([&] { return fixture.releases > 0; }));
    CHECK_FALSE(fixture.isHolder());
    const int joinsAtRelease = fixture.joins;
    std::this_thread::sleep_for(4 * shortLease().renewInterval);
    CHECK(fixture.joins == joinsAtRelease);
}

} // namespace fescuedeck
