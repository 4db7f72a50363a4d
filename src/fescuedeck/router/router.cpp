#include "fescuedeck/router/router.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <functional>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

#include "fescuedeck/clients/log_appender.h"
#include "fescuedeck/clients/log_client.h"
#include "fescuedeck/control/control_record.h"
#include "fescuedeck/net/http_server.h"
#include "fescuedeck/router/callers_handler.h"
#include "fescuedeck/router/completions_handler.h"
#include "fescuedeck/router/control_follower.h"
#include "fescuedeck/router/draft_admission.h"
#include "fescuedeck/router/fleet_monitor.h"
#include "fescuedeck/router/keyed_calls.h"
#include "fescuedeck/router/operators_handler.h"
#include "fescuedeck/router/order_controller.h"
#include "fescuedeck/router/peer_link.h"
#include "fescuedeck/router/router_context.h"
#include "fescuedeck/router/service_handler.h"
#include "fescuedeck/router/wait_event.h"
#include "fescuedeck/telemetry/log_setup.h"

namespace fescuedeck {
namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
// A shutdown checks at this interval whether the requests in flight have ended.
constexpr duration shutdownPollInterval = std::chrono::milliseconds(20);
// A starting router checks at this interval whether it knows its endpoints and claims, and stops
// waiting for them after the timeout.
constexpr duration warmUpPollInterval = std::chrono::milliseconds(10);
constexpr duration warmUpTimeout = std::chrono::seconds(2);

http_server_limits callerLimits(const router_settings &settings)
{
    http_server_limits limits;
    limits.maxBodyBytes = static_cast<std::size_t>(settings.limits.bodyBytes);
    limits.maxHeaderBytes = static_cast<std::size_t>(settings.limits.headerBytes);
    limits.maxConnections = static_cast<int>(settings.limits.connections);
    return limits;
}

append_fn appendThrough(log_client &log)
{
    return [&log](const std::string &stream, const std::vector<log_append> &records,
                  duration timeout, boost::asio::yield_context yield) {
        return log.tryAppend(stream, records, timeout, yield);
    };
}

// Members are destroyed in reverse order of their declaration. Each one is declared before those
// that use it and therefore outlives them.
class router
{
public:
    explicit router(const router_settings &settings);

    int run();

private:
    bool listen();
    bool listenForPeers();
    void shutDown(boost::asio::yield_context yield);
    void warmUp(boost::asio::yield_context yield);
    bool hasPolledEndpoints();
    void logHandlerException(const std::string &what);
    void drainHost(const std::string &host);

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    router_context m_context;
    log_client m_log;
    log_appender m_appender;
    draft_admission m_admission;
    control_follower m_control;
    fleet_monitor m_fleet;
    order_controller m_orders;
    keyed_calls m_keyedCalls;
    peer_link m_peers;
    completions_handler m_completions;
    service_handler m_services;
    callers_handler m_callers;
    operators_handler m_operators;
    http_server m_callersServer;
    http_server m_operatorsServer;
};

router::router(const router_settings &settings)
    : m_workGuard(boost::asio::make_work_guard(m_io))
    , m_context(settings, m_io)
    , m_log(m_context.client, settings.platform.address)
    , m_appender(m_io, appendThrough(m_log), log_appender_settings{}, m_context.randomFn())
    , m_admission(static_cast<int>(settings.limits.draftsInFlight))
    , m_control(m_context, m_admission, m_log)
    , m_fleet(m_context)
    , m_orders(m_context, m_control)
    , m_keyedCalls(m_context, m_log, m_appender)
    , m_peers(m_context, m_control, m_keyedCalls)
    , m_completions(m_context, m_admission)
    , m_services(m_context, m_keyedCalls)
    , m_callers(m_context, m_completions, m_services)
    , m_operators(m_context, m_admission,
                  { [this](const std::string &host) { drainHost(host); },
                    [this] { return m_peers.livePeers(); } })
    , m_callersServer(m_io, callerLimits(settings),
                      [this](http_exchange &exchange) { m_callers.handle(exchange); })
    , m_operatorsServer(m_io, http_server_limits{},
                        [this](http_exchange &exchange) { m_operators.handle(exchange); })
{
    const auto log = [this](const std::string &what) { logHandlerException(what); };
    m_callersServer.onHandlerException(log);
    m_operatorsServer.onHandlerException(log);
}

void router::logHandlerException(const std::string &what)
{
    m_context.counters.counterOf("fescuedeck_handler_exceptions_total").add();
    logError("router", "a request handler failed: " + what);
}

void router::drainHost(const std::string &host)
{
    m_control.drainLocally(host);
    m_control.append(recordBody(host_drained{ host }));
    m_peers.digestChanged();
}

bool router::listen()
{
    const auto open = [](http_server &server, const char *name, const std::string &address) {
        const std::error_code error = server.listen(address);
        if (error) {
            logError("router",
                     std::string(name) + " cannot listen on " + address + ": " + error.message());
            return false;
        }
        const std::string ip = address.substr(0, address.rfind(':'));
        std::printf("%s %s:%u\n", name, ip.c_str(), static_cast<unsigned>(server.port()));
        std::fflush(stdout);
        return true;
    };
    if (!m_context.settings.peers.address.empty() && !listenForPeers())
        return false;
    return open(m_callersServer, "callers", m_context.settings.callersAddress)
           && open(m_operatorsServer, "operators", m_context.settings.operatorsAddress);
}

bool router::listenForPeers()
{
    const std::string &address = m_context.settings.peers.address;
    const std::error_code error = m_peers.start();
    if (error) {
        logError("router", "peers cannot listen on " + address + ": " + error.message());
        return false;
    }
    std::printf("peers %s:%u\n", address.substr(0, address.rfind(':')).c_str(),
                static_cast<unsigned>(m_peers.port()));
    std::fflush(stdout);
    return true;
}

bool router::hasPolledEndpoints()
{
    return m_context.fleet.with([](fleet_tables &tables) {
        const auto &endpoints = tables.state.view().endpoints;
        return std::all_of(endpoints.begin(), endpoints.end(), [](const endpoint_view &endpoint) {
            return endpoint.phase != endpoint_phase::Joining;
        });
    });
}

// If /readyz succeeded before the router knew the state of its endpoints, the router would reject
// its first requests. The wait has a timeout, because an endpoint that is down must not keep the
// router out of service.
void router::warmUp(boost::asio::yield_context yield)
{
    while (!m_context.bundleInForce())
        sleepFor(warmUpPollInterval, yield);
    const time_point deadline = steadyNow() + warmUpTimeout;
    while (steadyNow() < deadline && !(hasPolledEndpoints() && m_keyedCalls.isReady()))
        sleepFor(warmUpPollInterval, yield);
    m_context.isWarmedUp = true;
    logInfo("router", "ready");
}

void router::shutDown(boost::asio::yield_context yield)
{
    logInfo("router", "shutting down");
    m_context.isShuttingDown = true;
    sleepFor(m_context.settings.timing.shutdownNotice, yield);
    m_callersServer.stopAccepting();
    const time_point deadline = steadyNow() + m_context.settings.timing.shutdownTimeout;
    // A keyed call, which is a call with an idempotency key, is open until its response is in the
    // log. This may be later than the time at which the caller receives the response.
    const auto openRequests = [this] {
        return std::max(m_callersServer.openExchanges(), m_keyedCalls.openCalls());
    };
    while (openRequests() > 0 && steadyNow() < deadline)
        sleepFor(shutdownPollInterval, yield);
    const int open = openRequests();
    if (open > 0)
        logWarning("router",
                   std::to_string(open) + " open requests were aborted at the shutdown timeout");
    m_operatorsServer.stopAccepting();
    m_peers.stop();
    m_io.stop();
}

int router::run()
{
    boost::asio::signal_set signals(m_io, SIGTERM, SIGINT);
    signals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error)
            boost::asio::spawn(m_io, [this](boost::asio::yield_context yield) { shutDown(yield); });
    });
    if (!listen())
        return exitFailed;
    m_control.start();
    m_fleet.start();
    m_orders.start();
    m_keyedCalls.start();
    boost::asio::spawn(m_io, [this](boost::asio::yield_context yield) { warmUp(yield); });
    std::vector<std::thread> workers;
    for (std::int64_t i = 0; i < m_context.settings.workers; ++i)
        workers.emplace_back([this] { m_io.run(); });
    for (std::thread &worker : workers)
        worker.join();
    return exitOk;
}

} // namespace

int runRouter(const router_settings &settings)
{
    // The router is deliberately not destroyed. Coroutines that the shutdown aborts still refer to
    // its members, which would be destroyed before the io_context unwinds the coroutines. The
    // process ends after this call anyway.
    return (new router(settings))->run();
}

} // namespace fescuedeck
