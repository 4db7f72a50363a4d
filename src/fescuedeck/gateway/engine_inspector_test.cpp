#include "fescuedeck/gateway/engine_inspector.h"

#include <atomic>

#include <catch2/catch.hpp>

#include "fescuedeck/net/http_server.h"
#include "fescuedeck/net/test_io.h"

namespace fescuedeck {
namespace {

constexpr layer_range heldLayers{ 0, 8 };

gateway_config engineConfig()
{
    engine_spec spec;
    spec.layers = 8;
    spec.layerMb = 1000;
    spec.cacheBytesPerToken = 1e6;
    spec.kinds = { { "card", 12000, 1, 1 } };
    gateway_config config;
    config.services = { { "engines", "/health", 10, spec } };
    return config;
}

// One engine that answers report requests with the report of the test.
class inspected_engine
{
public:
    explicit inspected_engine(engine_report report)
        : m_server(m_io.context(), {},
                   [this](http_exchange &exchange) {
                       exchange.respond({ 200, {}, "" });
                       ++m_answers;
                   })
        , m_client(m_io.context())
        , m_context({}, adapterFor(std::move(report)), m_io.context(), m_client, seededRandom(1))
        , m_inspector(m_context)
    {
        REQUIRE_FALSE(m_server.listen("127.0.0.1:0"));
        m_context.config = std::make_shared<const config_index>(engineConfig());
        const endpoint_entry entry{ "e",    "engines",  loopback(m_server.port()),
                                    "a",    8,          endpoint_phase_announced::Ready,
                                    "card", heldLayers, 1 };
        m_context.endpoints.announce(entry, 1, steadyNow());
        m_context.onEngineLost = [this] { m_isLost = true; };
    }
    ~inspected_engine() { m_io.stop(); }

    void putInFlight(double tokens) { m_context.endpoints.find("e")->tokensInFlight = tokens; }

    // Whether the engine is marked as lost after it has refused a request.
    bool isLostAfterRefusal()
    {
        m_context.endpoints.suspect("e", steadyNow());
        m_inspector.inspect("e", engine_suspicion::Refused);
        const bool hasReported
                = eventually([this] { return m_answers > 0 && m_hasDecoded.load(); });
        REQUIRE(hasReported);
        // The report is applied by the same handler that decodes it, before this one runs.
        m_io.run([](boost::asio::yield_context) { return 0; });
        return m_isLost;
    }

private:
    platform_adapter adapterFor(engine_report report)
    {
        platform_adapter adapter;
        adapter.encodeReportRequest = [] { return http_request{ "GET", "/report", {}, "" }; };
        adapter.decodeReport = [this, report](const http_response &) -> result<engine_report> {
            m_hasDecoded = true;
            return report;
        };
        return adapter;
    }

    test_io m_io{ 1 };
    std::atomic<int> m_answers{ 0 };
    std::atomic<bool> m_hasDecoded{ false };
    std::atomic<bool> m_isLost{ false };
    http_server m_server;
    http_client m_client;
    gateway_context m_context;
    engine_inspector m_inspector;
};

// An engine that refuses connections, as one that has crashed.
class refusing_engine
{
public:
    refusing_engine()
        : m_client(m_io.context())
        , m_context({}, adapter(), m_io.context(), m_client, seededRandom(1))
        , m_inspector(m_context)
    {
        const endpoint_entry entry{ "e",    "engines",  "127.0.0.1:1",
                                    "a",    8,          endpoint_phase_announced::Ready,
                                    "card", heldLayers, 1 };
        m_context.endpoints.announce(entry, 1, steadyNow());
    }
    ~refusing_engine() { m_io.stop(); }

    bool isLostAfterInspection(bool areLinksUp, bool isIsolated, bool hasVouchingPeer)
    {
        std::atomic<bool> isDone{ false };
        m_context.isIsolated = [=] { return isIsolated; };
        m_context.hasVouchingPeer = [=] { return hasVouchingPeer; };
        m_context.hasReachedEndpoints
                = [&, areLinksUp](time_point since, boost::asio::yield_context) {
                      m_inspectedSince = since;
                      isDone = true;
                      return areLinksUp;
                  };
        boost::asio::post(m_io.context(),
                          [this] { m_inspector.inspect("e", engine_suspicion::Stalled); });
        REQUIRE(eventually([&] { return isDone.load(); }));
        // The loss is recorded by the same handler that asks for the links, before this one runs.
        return m_io.run([this](boost::asio::yield_context) {
            return m_context.endpoints.find("e")->isLost(steadyNow());
        });
    }
    // Whether the loss stays when the links fail later.
    bool isLossKept()
    {
        return m_io.run([this](boost::asio::yield_context) {
            return m_context.endpoints.withdrawFindings(m_inspectedSince + duration(1)) == 0;
        });
    }

private:
    static platform_adapter adapter()
    {
        platform_adapter adapter;
        adapter.encodeReportRequest = [] { return http_request{ "GET", "/report", {}, "" }; };
        return adapter;
    }

    test_io m_io{ 1 };
    http_client m_client;
    gateway_context m_context;
    engine_inspector m_inspector;
    time_point m_inspectedSince{};
};

engine_report reportOf(std::optional<layer_range> layers, bool isBusy, double cacheShare)
{
    engine_report report;
    report.layers = layers;
    report.isBusy = isBusy;
    report.cacheShare = cacheShare;
    return report;
}

} // namespace

TEST_CASE("an engine that refuses requests without a cause is leaving", "[gateway]")
{
    inspected_engine engine(reportOf(heldLayers, false, 0.1));
    CHECK(engine.isLostAfterRefusal());
}

// Guards against replacing sound engines: the gateways told each other that an engine was lost
// which had only been ordered to load other layers, and its layers were planned once more.
TEST_CASE("an engine that refuses requests while it executes an order is not lost", "[gateway]")
{
    inspected_engine engine(reportOf(heldLayers, true, 0.1));
    CHECK_FALSE(engine.isLostAfterRefusal());
}

// Guards against the loss of a domain after the streams of another one have moved there: its
// engines refuse requests for lack of memory, but their reports are older than these requests.
TEST_CASE("an engine with many requests in flight that refuses another is not lost", "[gateway]")
{
    inspected_engine engine(reportOf(heldLayers, false, 0.1));
    engine.putInFlight(2000);
    CHECK_FALSE(engine.isLostAfterRefusal());
}

TEST_CASE("an engine with a full cache that refuses another request is not lost", "[gateway]")
{
    inspected_engine engine(reportOf(heldLayers, false, 0.6));
    CHECK_FALSE(engine.isLostAfterRefusal());
}

// Guards against sound engines that are replaced because the links of one gateway are cut.
TEST_CASE("an engine is not lost because it cannot be reached, unless other endpoints can",
          "[gateway]")
{
    CHECK_FALSE(refusing_engine().isLostAfterInspection(false, false, true));
    CHECK_FALSE(refusing_engine().isLostAfterInspection(false, true, true));
    refusing_engine crashed;
    CHECK(crashed.isLostAfterInspection(true, false, true));
    CHECK(crashed.isLossKept());
}

// Guards against a fleet whose engines have all crashed and whose gateways never notice it.
TEST_CASE("an engine that cannot be reached is lost if no peer reaches endpoints either",
          "[gateway]")
{
    CHECK(refusing_engine().isLostAfterInspection(false, true, false));
}

} // namespace fescuedeck
