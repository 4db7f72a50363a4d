#include "fescuedeck/gateway/gateway.h"

#include <algorithm>
#include <csignal>
#include <string>

#include <boost/asio/signal_set.hpp>

#include "fescuedeck/base/ids.h"
#include "fescuedeck/gateway/gateway_context.h"
#include "fescuedeck/gateway/placement_duty.h"
#include "fescuedeck/gateway/request_forwarder.h"
#include "fescuedeck/gateway/table_follower.h"
#include "fescuedeck/net/http_server.h"
#include "fescuedeck/router/wait_event.h"
#include "fescuedeck/telemetry/event_line.h"
#include "fescuedeck/telemetry/log_setup.h"

namespace fescuedeck {
namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int statusUnavailable = 503;
constexpr int statusNotFound = 404;
constexpr int incarnationBytes = 4;

// The configuration changes rarely, so a held-back read costs one call a while.
constexpr duration configWait = std::chrono::seconds(8);
// Announcements are written when they change. The pause bounds the calls while many change, and is
// well below the time in which a leaving endpoint must get no more requests.
constexpr duration endpointsWait = std::chrono::seconds(3);
constexpr duration endpointsPause = std::chrono::milliseconds(100);
constexpr duration logFlushInterval = std::chrono::milliseconds(250);
constexpr duration bodyTimeout = std::chrono::seconds(20);
// After SIGTERM: until the balancer has seen that the gateway is not ready any more.
constexpr duration shutdownNotice = std::chrono::milliseconds(2500);
// Requests on kept connections are taken until then, so that even a long one ends in time.
constexpr duration lastTaking = std::chrono::seconds(3);
constexpr duration shutdownPollInterval = std::chrono::milliseconds(20);
// The process ends this long before it would be killed.
constexpr duration shutdownMargin = std::chrono::milliseconds(400);

http_client_limits clientLimits()
{
    http_client_limits limits;
    limits.maxIdleAge = std::chrono::seconds(4);
    return limits;
}

// Members are destroyed in reverse order, so each part outlives those that use it.
class gateway
{
public:
    gateway(const gateway_settings &settings, const make_wire_fn &makeWire);

    int run();

private:
    bool listen();
    bool isReady() const;
    http_response operatorsAnswer(const http_request &request) const;
    void takeConfig(const store_record &record);
    void takeEntry(const store_record &record);
    void waitForSignal(boost::asio::signal_set &signals);
    void shutDown(boost::asio::yield_context yield);
    table_follower_hooks configHooks();
    table_follower_hooks endpointHooks();

    boost::asio::io_context m_io{ 1 };
    http_client m_client;
    gateway_context m_context;
    request_forwarder m_forwarder;
    http_server m_callers;
    http_server m_readiness;
    http_server m_operators;
    table_follower m_config;
    table_follower m_endpoints;
    placement_duty m_duty;
};

gateway::gateway(const gateway_settings &settings, const make_wire_fn &makeWire)
    : m_client(m_io, clientLimits())
    , m_context(settings, makeWire(m_client), m_io, m_client, systemRandom())
    , m_forwarder(m_context)
    , m_callers(m_io, {}, [this](http_exchange &exchange) { m_forwarder.handle(exchange); })
    , m_readiness(m_io, {},
                  [this](http_exchange &exchange) {
                      exchange.respond(operatorsAnswer(exchange.request()));
                  })
    , m_operators(m_io, {},
                  [this](http_exchange &exchange) {
                      exchange.respond(operatorsAnswer(exchange.request()));
                  })
    , m_config(m_io, m_context.wire.store, store_table::Configuration,
               { "configuration", configWait, {} }, configHooks(), m_context.random)
    , m_endpoints(m_io, m_context.wire.store, store_table::Endpoints,
                  { "endpoints", endpointsWait, endpointsPause }, endpointHooks(), m_context.random)
    , m_duty(m_context, settings.id + "." + randomHex(incarnationBytes, m_context.random))
{
    const auto log = [this](const std::string &what) {
        m_context.counters.counterOf("fescuedeck_handler_exceptions_total").add();
        event_line("handler_failed", event_level::Error).field("detail", what);
    };
    m_callers.onHandlerException(log);
}

table_follower_hooks gateway::configHooks()
{
    table_follower_hooks hooks;
    hooks.onRecord = [this](const store_record &record) { takeConfig(record); };
    hooks.onWholeTable = [](const std::vector<std::string> &) {};
    return hooks;
}

table_follower_hooks gateway::endpointHooks()
{
    table_follower_hooks hooks;
    hooks.onRecord = [this](const store_record &record) { takeEntry(record); };
    hooks.onWholeTable = [this](const std::vector<std::string> &keys) {
        m_context.endpoints.retain(keys);
        m_context.knowsEndpoints = true;
    };
    return hooks;
}

void gateway::takeConfig(const store_record &record)
{
    if (record.key != m_context.wire.configKey || record.isRemoval)
        return;
    auto config = m_context.wire.parseConfig(record.value);
    if (!config) {
        event_line("config_unusable", event_level::Error)
                .field("offset", record.offset)
                .field("detail", config.error().detail);
        return;
    }
    const std::int64_t version = config.value().version;
    if (m_context.config && version <= m_context.config->config().version)
        return;
    m_context.config = std::make_shared<const config_index>(std::move(config.value()));
    const caller_limits &limits = m_context.config->config().limits;
    http_server_limits serverLimits;
    serverLimits.maxHeaderBytes = limits.maxHeaderBytes;
    serverLimits.maxBodyBytes = limits.maxBodyBytes;
    serverLimits.headerTimeout = limits.headerTimeout;
    serverLimits.idleTimeout = limits.idleTimeout;
    serverLimits.bodyTimeout = bodyTimeout;
    m_callers.setLimits(serverLimits);
    event_line("config_in_force").field("version", version).field("offset", record.offset);
}

void gateway::takeEntry(const store_record &record)
{
    if (record.isRemoval) {
        m_context.endpoints.remove(record.key);
        return;
    }
    const auto entry = m_context.wire.parseEntry(record);
    if (!entry) {
        event_line("announcement_unusable", event_level::Warning)
                .field("endpoint", record.key)
                .field("offset", record.offset)
                .field("detail", entry.error().detail);
        m_context.endpoints.remove(record.key);
        return;
    }
    m_context.endpoints.announce(entry.value(), record.offset, steadyNow());
}

bool gateway::isReady() const
{
    return m_context.config && m_context.knowsEndpoints && !m_context.isStopping;
}

http_response gateway::operatorsAnswer(const http_request &request) const
{
    http_response response;
    response.headers = { { "Content-Type", "text/plain" } };
    if (request.target == m_context.wire.readinessTarget) {
        response.status = isReady() ? 200 : statusUnavailable;
        response.body = isReady() ? "ready\n" : "not ready\n";
    } else if (request.target == "/metrics") {
        response.body = m_context.counters.prometheusText();
    } else {
        response.status = statusNotFound;
    }
    return response;
}

bool gateway::listen()
{
    const auto open = [](http_server &server, const char *name, const std::string &address) {
        if (address.empty())
            return true;
        const std::error_code error = server.listen(address);
        if (error)
            event_line("cannot_listen", event_level::Error)
                    .field("interface", name)
                    .field("address", address)
                    .field("detail", error.message());
        return !error;
    };
    return open(m_callers, "callers", m_context.settings.callersAddress)
           && open(m_readiness, "readiness", m_context.settings.readinessAddress)
           && open(m_operators, "operators", m_context.settings.operatorsAddress);
}

void gateway::waitForSignal(boost::asio::signal_set &signals)
{
    signals.async_wait([this, &signals](const boost::system::error_code &error, int number) {
        if (error)
            return;
        if (number == SIGHUP) {
            event_line("settings_signal").field("outcome", "unchanged");
            waitForSignal(signals);
            return;
        }
        boost::asio::spawn(m_io, [this](boost::asio::yield_context yield) { shutDown(yield); });
    });
}

void gateway::shutDown(boost::asio::yield_context yield)
{
    event_line("stopping").field("open_requests", m_callers.openExchanges());
    const time_point deadline = steadyNow() + m_context.settings.gracePeriod - shutdownMargin;
    m_context.isStopping = true;
    m_context.stopsTakingAt = steadyNow() + lastTaking;
    sleepFor(shutdownNotice, yield);
    m_callers.stopAccepting();
    while (m_callers.openConnections() > 0 && steadyNow() < deadline)
        sleepFor(shutdownPollInterval, yield);
    event_line("stopped").field("open_requests", m_callers.openExchanges());
    flushEventLog();
    m_io.stop();
}

int gateway::run()
{
    boost::asio::signal_set signals(m_io, SIGTERM, SIGINT, SIGHUP);
    waitForSignal(signals);
    if (!listen())
        return exitFailed;
    event_line("started")
            .field("host", m_context.settings.id)
            .field("failure_domain", m_context.settings.failureDomain)
            .field("version", FESCUEDECK_VERSION);
    boost::asio::spawn(m_io, [](boost::asio::yield_context yield) {
        while (true) {
            sleepFor(logFlushInterval, yield);
            flushEventLog();
        }
    });
    m_config.start();
    m_endpoints.start();
    m_duty.start();
    m_io.run();
    return exitOk;
}

} // namespace

int runGateway(const gateway_settings &settings, const make_wire_fn &makeWire)
{
    // Not destroyed: coroutines that the end cuts refer to parts that would be destroyed before the
    // io_context unwinds them. The process ends here.
    return (new gateway(settings, makeWire))->run();
}

} // namespace fescuedeck
