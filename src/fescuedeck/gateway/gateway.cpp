#include "fescuedeck/gateway/gateway.h"

#include <algorithm>
#include <charconv>
#include <csignal>
#include <limits>
#include <string>

#include <boost/asio/signal_set.hpp>

#include "fescuedeck/base/ids.h"
#include "fescuedeck/gateway/config_intake.h"
#include "fescuedeck/gateway/connection_ends.h"
#include "fescuedeck/gateway/crash_check.h"
#include "fescuedeck/gateway/departure_log.h"
#include "fescuedeck/gateway/endpoint_prober.h"
#include "fescuedeck/gateway/engine_inspector.h"
#include "fescuedeck/gateway/event_loop_watch.h"
#include "fescuedeck/gateway/finding_withdrawal.h"
#include "fescuedeck/gateway/gateway_context.h"
#include "fescuedeck/gateway/gateway_peers.h"
#include "fescuedeck/gateway/placement_lease.h"
#include "fescuedeck/gateway/process_pause_watch.h"
#include "fescuedeck/gateway/request_forwarder.h"
#include "fescuedeck/gateway/server_limits.h"
#include "fescuedeck/gateway/settings_reload.h"
#include "fescuedeck/gateway/shutdown_plan.h"
#include "fescuedeck/gateway/table_follower.h"
#include "fescuedeck/net/http_server.h"
#include "fescuedeck/rerouting/path_mover.h"
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

// The store holds a read of a table open until there is a new record. A stalled connection hides
// changes until its read times out, and a change must be in force within a limit of the settings.
// Therefore the wait, readTimeout and readMargin together stay within that limit. This applies to a
// few gateways of each failure domain, which pass the records on to the others.
constexpr duration readTimeout = std::chrono::milliseconds(500);
constexpr duration readMargin = std::chrono::milliseconds(300);
constexpr duration minReadWait = std::chrono::milliseconds(300);
// Reads of the quarantine table may wait long, because quarantined requests are rare and gateways
// also tell each other about them.
constexpr duration quarantineWait = std::chrono::seconds(20);
// Endpoints write an announcement whenever it changes. The interval between two reads limits the
// load on the store while many announcements change, and grows with the number of gateways that
// share the store. It stays far shorter than drainLimit, after which a leaving endpoint must get no
// more requests.
constexpr duration minEndpointsReadInterval = std::chrono::milliseconds(100);
constexpr int gatewaysPerReadInterval = 12;
constexpr int drainLimitDivisor = 8;
// Announcements that expired during an outage of the store are written again within this time after
// the store returns.
constexpr duration reannouncementTime = std::chrono::milliseconds(2300);
// In a shorter outage of the store no announcement expires.
constexpr duration shortestExpiryOutage = std::chrono::milliseconds(2500);
// Longest time from the loss of the links until this gateway knows of it. Earlier failures have
// other causes, also if no new connection was opened for long.
constexpr duration maxIsolationDelay = std::chrono::seconds(1);
// A call that began while the links to the endpoints were cut fails to connect within this time.
constexpr duration maxCutCallTime = std::chrono::milliseconds(400);
constexpr duration sweepInterval = std::chrono::milliseconds(200);
constexpr duration quarantineTimeout = std::chrono::seconds(2);
// The settings file is read this often without a signal. A change that needs to apply sooner is
// followed by SIGHUP.
constexpr duration settingsInterval = std::chrono::seconds(5);
constexpr duration logFlushInterval = std::chrono::milliseconds(250);
constexpr duration shutdownPollInterval = std::chrono::milliseconds(20);
// A quarantine is stored with its end as Unix time in milliseconds, so that a gateway which starts
// later does not apply one that is over.
std::string quarantineEndText(duration remaining)
{
    return std::to_string((wallNow() + std::chrono::duration_cast<unix_millis>(remaining)).count());
}

// Zero or less if the quarantine has ended.
duration remainingQuarantine(const std::string &endText)
{
    std::int64_t end = 0;
    const char *last = endText.data() + endText.size();
    const auto parsed = std::from_chars(endText.data(), last, end);
    // Gateways of an earlier version write their host instead.
    if (parsed.ec != std::errc() || parsed.ptr != last)
        return crash_tracker_settings{}.minQuarantine;
    return unix_millis(end) - wallNow();
}

// All parts of the gateway process. Members are destroyed in reverse order, so each one outlives
// those that use it.
class gateway
{
public:
    gateway(const gateway_settings &settings, const make_adapter_fn &makeAdapter,
            read_settings_fn readSettings);

    int run();

private:
    bool listen();
    bool isReady() const;
    http_response statusResponse(const http_request &request) const;
    void registerGauges();
    void accountMemory();
    void onConfigRecord(const store_record &record);
    void onConfigInForce(const std::string &text);
    void publishQuarantine(const std::string &key, duration remaining);
    void storeMissingQuarantines(const std::vector<std::string> &keys);
    void storeQuarantine(const std::string &key, duration remaining);
    void onProcessPause(duration time);
    endpoint_prober_hooks proberHooks();
    void withdrawFindingsSinceCut();
    void runExpiryLoop(boost::asio::yield_context yield);
    void onEndpointRecord(const store_record &record);
    void onDeparture(const std::string &endpoint);
    void awaitAnnouncements();
    void reloadSettings(const char *trigger);
    void runSettingsReloadLoop(boost::asio::yield_context yield);
    void waitForSignal(boost::asio::signal_set &signals);
    void waitWhileServing(time_point limit, boost::asio::yield_context yield);
    void shutDown(boost::asio::yield_context yield);
    table_follower_hooks configHooks();
    table_follower_hooks endpointHooks();
    table_follower_hooks quarantineHooks();
    read_pace configPace() const;
    read_pace endpointsPace() const;
    duration readWait(duration limit) const;
    void readMissedEndpoints();

    boost::asio::io_context m_io{ 1 };
    const read_settings_fn m_readSettings;
    std::string m_settingsNeedingRestart; // names of changed settings that need a restart
    // True if the settings file was unusable when it was last read. The error is logged only when
    // this becomes true.
    bool m_hasBadSettings = false;
    const host_limits m_host;
    memory_account m_memory;
    http_client m_client;
    gateway_context m_context;
    event_loop_watch m_loopWatch{ steadyNow() };
    const std::string m_incarnation;
    request_forwarder m_forwarder;
    http_server m_callerServer;
    http_server m_readinessServer;
    http_server m_operatorServer;
    http_server_limits m_relayLimits = firstRelayServerLimits(m_host);
    http_server m_relayServer;
    config_intake m_configIntake;
    table_follower m_configTable;
    table_follower m_endpointTable;
    table_follower m_quarantineTable;
    // Failures from then on are blamed on the links.
    time_point m_linksBlamedFrom{};
    endpoint_prober m_prober;
    engine_inspector m_inspector;
    path_mover m_pathMover;
    placement_lease m_placementLease;
    gateway_peers m_peers;
};

gateway::gateway(const gateway_settings &settings, const make_adapter_fn &makeAdapter,
                 read_settings_fn readSettings)
    : m_readSettings(std::move(readSettings))
    , m_host(hostLimits(settings))
    , m_memory(bodyMemoryOf(m_host))
    , m_client(m_io, gatewayClientLimits(m_host))
    , m_context(settings, makeAdapter(m_client), m_io, m_client, systemRandom())
    , m_incarnation(randomHex(incarnationBytes, m_context.random))
    , m_forwarder(m_context)
    , m_callerServer(m_io, callerServerLimits({}, m_host),
                     [this](http_exchange &exchange) { m_forwarder.handle(exchange); })
    , m_readinessServer(m_io, statusServerLimits(),
                        [this](http_exchange &exchange) {
                            exchange.respond(statusResponse(exchange.request()));
                        })
    , m_operatorServer(m_io, statusServerLimits(),
                       [this](http_exchange &exchange) {
                           exchange.respond(statusResponse(exchange.request()));
                       })
    , m_relayServer(m_io, m_relayLimits,
                    [this](http_exchange &exchange) { m_forwarder.handleRelayed(exchange); })
    , m_configIntake(m_context, [this](const std::string &text) { onConfigInForce(text); })
    , m_configTable(m_io, m_context.adapter.store, store_table::Configuration,
                    { "configuration", [this] { return configPace(); }, readTimeout },
                    configHooks(), m_context.random)
    , m_endpointTable(m_io, m_context.adapter.store, store_table::Endpoints,
                      { "endpoints", [this] { return endpointsPace(); }, readTimeout },
                      endpointHooks(), m_context.random)
    , m_quarantineTable(m_io, m_context.adapter.store, store_table::Quarantine,
                        { "quarantine",
                          [this] {
                              return read_pace{ quarantineWait, {}, m_peers.readsTables() };
                          } },
                        quarantineHooks(), m_context.random)
    , m_prober(m_context, proberHooks())
    , m_inspector(m_context)
    , m_pathMover(m_context)
    , m_placementLease(m_context, settings.id + "." + m_incarnation)
    , m_peers(m_context, m_incarnation,
              { [this](const std::string &value) {
                   m_configIntake.receive(value, config_source::Peer);
               },
                [this] { return m_endpointTable.position(); }, [this] { readMissedEndpoints(); },
                [this] { m_configTable.restartRead(); } })
{
    m_peers.relayTable(store_table::Endpoints, m_endpointTable);
    m_peers.relayTable(store_table::Quarantine, m_quarantineTable);
    m_context.isAmongFirst = [this](int count) { return m_peers.isAmongFirst(count, steadyNow()); };
    m_context.inputHandledUntil = [this] { return m_loopWatch.handledUntil(); };
    m_context.isIsolated = [this] { return m_prober.state() == link_state::Isolated; };
    m_context.hasReachedEndpoints = [this](time_point since, boost::asio::yield_context yield) {
        return m_prober.hasReachedEndpoints(since, yield);
    };
    m_context.inspectEngine = [this](const std::string &endpoint, engine_suspicion suspicion) {
        m_inspector.inspect(endpoint, suspicion);
    };
    m_context.checkCrash = [this](const request_identity &request, const endpoint_ptr &endpoint) {
        recordCrashIfDown(m_context, request, endpoint);
    };
    m_context.onEngineLost = [this] {
        m_context.crashes.update(steadyNow());
        m_peers.announceChange();
        // After all engines of the same report have been marked.
        boost::asio::post(m_io, [this] { m_pathMover.check(); });
    };
    m_context.crashes.onQuarantine = [this](const std::string &key, duration remaining) {
        publishQuarantine(key, remaining);
    };
    registerGauges();
    accountMemory();
    const auto log = [this](const std::string &what) {
        m_context.counters.counterOf("fescuedeck_handler_exceptions_total").add();
        event_line("handler_failed", event_level::Error).field("detail", what);
    };
    m_callerServer.onHandlerException(log);
    m_relayServer.onHandlerException(log);
    const auto idOf = [this](const http_request &request) {
        return m_context.adapter.readCall(request).id;
    };
    m_callerServer.onConnectionEnd(connectionEndHook(m_context.counters, "callers", idOf));
    m_relayServer.onConnectionEnd(connectionEndHook(m_context.counters, "relays", idOf));
}

void gateway::registerGauges()
{
    metrics &counters = m_context.counters;
    const auto ageOf = [](const table_follower &table) {
        if (table.lastRead() == time_point{})
            return std::numeric_limits<double>::infinity();
        return std::chrono::duration<double>(steadyNow() - table.lastRead()).count();
    };
    counters.setGauge("fescuedeck_ready", {}, [this] { return isReady() ? 1.0 : 0.0; });
    counters.setGauge("fescuedeck_config_version", {}, [this] {
        return m_context.config ? static_cast<double>(m_context.config->config().version) : 0.0;
    });
    counters.setGauge("fescuedeck_table_age_seconds", { { "table", "configuration" } },
                      [this, ageOf] { return ageOf(m_configTable); });
    counters.setGauge("fescuedeck_table_age_seconds", { { "table", "endpoints" } },
                      [this, ageOf] { return ageOf(m_endpointTable); });
    counters.setGauge("fescuedeck_isolated", {},
                      [this] { return m_context.isIsolated() ? 1.0 : 0.0; });
    counters.setGauge("fescuedeck_endpoints", {},
                      [this] { return static_cast<double>(m_context.endpoints.size()); });
    counters.setGauge("fescuedeck_live_peers", {},
                      [this] { return static_cast<double>(m_peers.livePeers(steadyNow())); });
    counters.setGauge("fescuedeck_known_gateways", {},
                      [this] { return static_cast<double>(m_peers.knownGateways()); });
    counters.setGauge("fescuedeck_fixed_retries_fraction", {},
                      [this] { return m_context.retryBudget.fraction(steadyNow()); });
    counters.setGauge("fescuedeck_frequent_reader", {},
                      [this] { return m_peers.readsTables() ? 1.0 : 0.0; });
    counters.setGauge("fescuedeck_placement_duty", {},
                      [this] { return m_placementLease.isHolder(steadyNow()) ? 1.0 : 0.0; });
    counters.setGauge("fescuedeck_open_requests", {},
                      [this] { return static_cast<double>(m_callerServer.openExchanges()); });
    counters.setGauge("fescuedeck_open_relays", {},
                      [this] { return static_cast<double>(m_relayServer.openExchanges()); });
    counters.setGauge("fescuedeck_vouching_peer", {},
                      [this] { return m_context.hasVouchingPeer() ? 1.0 : 0.0; });
}

void gateway::accountMemory()
{
    metrics &counters = m_context.counters;
    for (const auto &entry : memoryOwnerNames) {
        counters.setGauge("fescuedeck_body_memory_bytes",
                          { { "owner", std::string(entry.second) } }, [this, owner = entry.first] {
                              return static_cast<double>(m_memory.usedBy(owner));
                          });
    }
    counters.setGauge("fescuedeck_body_memory_limit_bytes", {},
                      [this] { return static_cast<double>(m_memory.limit()); });
    counters.setGauge("fescuedeck_caller_connections", {},
                      [this] { return static_cast<double>(m_callerServer.openConnections()); });
    const auto countBy = [&counters](const char *name) {
        return [&counters, name](memory_owner owner) {
            counters.counterOf(name, { { "owner", std::string(nameOf(memoryOwnerNames, owner)) } })
                    .add();
        };
    };
    m_memory.onRefused(countBy("fescuedeck_body_memory_refused_total"));
    m_memory.onReclaimed(countBy("fescuedeck_body_memory_reclaimed_total"));
    m_callerServer.useMemory(m_memory, memory_owner::CallerBodies);
    m_relayServer.useMemory(m_memory, memory_owner::RelayedBodies);
    m_client.useMemory(m_memory);
}

// Returns how long a read may wait for a new record that must be known within the limit.
duration gateway::readWait(duration limit) const
{
    return std::max<duration>(limit - readTimeout - readMargin, minReadWait);
}

// Peers have read records of the endpoint table that this gateway has not.
void gateway::readMissedEndpoints()
{
    m_context.counters.counterOf("fescuedeck_endpoint_table_behind_total").add();
    event_line("table_behind", event_level::Warning)
            .field("table", "endpoints")
            .field("offset", m_endpointTable.position());
    m_endpointTable.restartRead();
}

read_pace gateway::configPace() const
{
    return { readWait(m_context.settings.configApplyLimit), {}, m_peers.readsTables() };
}

read_pace gateway::endpointsPace() const
{
    const duration limit = m_context.settings.drainLimit;
    const duration interval
            = minEndpointsReadInterval * m_peers.knownGateways() / gatewaysPerReadInterval;
    return { readWait(limit),
             std::max(minEndpointsReadInterval,
                      std::min<duration>(interval, limit / drainLimitDivisor)),
             m_peers.readsTables() };
}

table_follower_hooks gateway::configHooks()
{
    table_follower_hooks hooks;
    hooks.onRecord = [this](const store_record &record) { onConfigRecord(record); };
    hooks.onWholeTableRead = [](const std::vector<std::string> &) {};
    hooks.onPage = [this](const applied_page &page) {
        m_peers.onTablePage(store_table::Configuration, page);
    };
    return hooks;
}

table_follower_hooks gateway::endpointHooks()
{
    table_follower_hooks hooks;
    hooks.onRecord = [this](const store_record &record) { onEndpointRecord(record); };
    hooks.onWholeTableRead = [this](const std::vector<std::string> &keys) {
        m_context.endpoints.retain(keys, steadyNow());
        // The first list may be incomplete, because the store may have just returned from an outage
        // in which announcements expired.
        if (!m_context.hasEndpointList)
            m_context.endpointsCompleteAt = steadyNow() + reannouncementTime;
        m_context.hasEndpointList = true;
    };
    hooks.onRestored = [this] { awaitAnnouncements(); };
    hooks.onOutage = [this](bool isLost, duration outageDuration) {
        m_context.isEndpointTableUnavailable = isLost;
        if (isLost)
            return;
        if (outageDuration < shortestExpiryOutage)
            return;
        // The table now replaces what peers reported during the outage.
        awaitAnnouncements();
        m_endpointTable.refresh(whole_read::FromPeer);
    };
    hooks.onPage = [this](const applied_page &page) {
        m_peers.onTablePage(store_table::Endpoints, page);
    };
    return hooks;
}

// Endpoints whose announcements the store has lost get time to announce themselves again before
// they are removed.
void gateway::awaitAnnouncements()
{
    m_context.endpoints.deferRemovals(steadyNow() + reannouncementTime);
    m_context.endpointsCompleteAt = steadyNow() + reannouncementTime;
}

table_follower_hooks gateway::quarantineHooks()
{
    table_follower_hooks hooks;
    hooks.onRecord = [this](const store_record &record) {
        if (!record.isRemoval)
            m_context.crashes.apply(record.key, remainingQuarantine(record.value), steadyNow());
    };
    hooks.onWholeTableRead
            = [this](const std::vector<std::string> &keys) { storeMissingQuarantines(keys); };
    hooks.onPage = [this](const applied_page &page) {
        m_peers.onTablePage(store_table::Quarantine, page);
    };
    return hooks;
}

void gateway::publishQuarantine(const std::string &key, duration remaining)
{
    event_line("quarantined", event_level::Warning).field("key", key);
    m_context.counters.counterOf("fescuedeck_quarantines_total").add();
    m_peers.announceChange();
    storeQuarantine(key, remaining);
}

// A restored store may have lost quarantines that are still in force.
void gateway::storeMissingQuarantines(const std::vector<std::string> &keys)
{
    if (!m_peers.isAmongFirst(1, steadyNow()))
        return;
    for (const auto &[key, remaining] : m_context.crashes.missingIn(keys, steadyNow()))
        storeQuarantine(key, remaining);
}

void gateway::storeQuarantine(const std::string &key, duration remaining)
{
    const std::string end = quarantineEndText(remaining);
    boost::asio::spawn(m_io, [this, key, end](boost::asio::yield_context yield) {
        const store_write entry{ store_table::Quarantine, key, end, false };
        const auto error = m_context.adapter.store.write(entry, quarantineTimeout, yield);
        if (error) {
            event_line("quarantine_not_stored", event_level::Warning)
                    .field("key", key)
                    .field("detail", error->detail);
        }
    });
}

void gateway::onProcessPause(duration time)
{
    event_line("stood_still", event_level::Warning).field("time_ms", time);
    m_placementLease.markExpired();
    m_configTable.refresh();
    m_endpointTable.refresh();
}

endpoint_prober_hooks gateway::proberHooks()
{
    endpoint_prober_hooks hooks;
    hooks.onIsolated = [this](time_point reachedAt) {
        m_linksBlamedFrom = std::max<time_point>(reachedAt, steadyNow() - maxIsolationDelay);
        withdrawFindingsSinceCut();
    };
    hooks.onReached = [this](time_point) {
        m_context.linksBlamedUntil = steadyNow() + maxCutCallTime;
        withdrawFindingsSinceCut();
    };
    return hooks;
}

// Peers are told at once, so that they stop avoiding these endpoints.
void gateway::withdrawFindingsSinceCut()
{
    if (withdrawFindings(m_context, m_linksBlamedFrom))
        m_peers.announceChange();
}

void gateway::runExpiryLoop(boost::asio::yield_context yield)
{
    while (true) {
        sleepFor(sweepInterval, yield);
        m_context.crashes.update(steadyNow());
        m_context.requestLimits.expire(steadyNow());
        m_context.endpoints.applyDeferredRemovals(m_loopWatch.handledUntil());
    }
}

void gateway::onConfigRecord(const store_record &record)
{
    if (record.key == m_context.adapter.configKey && !record.isRemoval)
        m_configIntake.receive(record.value, config_source::Store);
}

void gateway::onConfigInForce(const std::string &text)
{
    const caller_limits &limits = m_context.config->config().limits;
    m_callerServer.setLimits(callerServerLimits(limits, m_host));
    m_relayLimits = nextRelayServerLimits(m_relayLimits, limits);
    m_relayServer.setLimits(m_relayLimits);
    m_peers.setConfigText(text);
    m_peers.announceChange();
}

// Gateways that read the store tell the other domains at once; their own gets the same page.
void gateway::onDeparture(const std::string &endpoint)
{
    logDeparture(m_context.counters, endpoint, departure_source::Table);
    if (m_peers.readsTables())
        m_peers.announceChange();
}

void gateway::onEndpointRecord(const store_record &record)
{
    if (record.isRemoval) {
        m_context.endpoints.remove(record.key, steadyNow());
        m_peers.announceChange();
        return;
    }
    const auto entry = m_context.adapter.parseEntry(record);
    if (!entry) {
        event_line("announcement_unusable", event_level::Warning)
                .field("endpoint", record.key)
                .field("offset", record.offset)
                .field("detail", entry.error().detail);
        m_context.endpoints.remove(record.key, steadyNow());
        return;
    }
    const endpoint_ptr known = m_context.endpoints.find(entry.value().id);
    const bool wasReady = known && known->entry.phase == endpoint_phase_announced::Ready;
    m_context.endpoints.announce(entry.value(), record.offset, steadyNow());
    m_context.admission.onRoomChanged();
    if (wasReady && entry.value().phase == endpoint_phase_announced::Draining)
        onDeparture(entry.value().id);
}

bool gateway::isReady() const
{
    return m_context.config && m_context.hasEndpointList && !m_context.isStopping;
}

http_response gateway::statusResponse(const http_request &request) const
{
    http_response response;
    response.headers = { { "Content-Type", "text/plain" } };
    if (request.target == m_context.adapter.readinessTarget) {
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
    // A gateway that cannot serve relayed requests still serves its own callers.
    if (!open(m_relayServer, "relays", m_context.settings.relayAddress))
        m_context.settings.relayAddress.clear();
    return open(m_callerServer, "callers", m_context.settings.callersAddress)
           && open(m_readinessServer, "readiness", m_context.settings.readinessAddress)
           && open(m_operatorServer, "operators", m_context.settings.operatorsAddress);
}

void gateway::reloadSettings(const char *trigger)
{
    const auto fresh = m_readSettings();
    if (!fresh) {
        if (!m_hasBadSettings)
            event_line("settings_unusable", event_level::Error)
                    .field("trigger", trigger)
                    .field("detail", fresh.error().message());
        m_hasBadSettings = true;
        return;
    }
    m_hasBadSettings = false;
    const settings_change change = applySettings(m_context.settings, fresh.value());
    const gateway_settings &settings = m_context.settings;
    m_context.retryBudget.setLimits(
            { settings.retryShare, settings.minRetriesPerWindow, settings.retryWindow });
    if (change.applied.empty() && change.needRestart == m_settingsNeedingRestart)
        return;
    m_settingsNeedingRestart = change.needRestart;
    event_line("settings_reloaded")
            .field("trigger", trigger)
            .field("applied", change.applied)
            .field("need_restart", change.needRestart);
}

// Reads the settings file periodically, because it may change without a signal.
void gateway::runSettingsReloadLoop(boost::asio::yield_context yield)
{
    while (true) {
        sleepFor(settingsInterval, yield);
        reloadSettings("interval");
    }
}

void gateway::waitForSignal(boost::asio::signal_set &signals)
{
    signals.async_wait([this, &signals](const boost::system::error_code &error, int number) {
        if (error)
            return;
        if (number == SIGHUP) {
            reloadSettings("signal");
            waitForSignal(signals);
            return;
        }
        boost::asio::spawn(m_io, [this](boost::asio::yield_context yield) { shutDown(yield); });
    });
}

// Returns when no connection to callers or peers is left, or at the limit. Connections that the
// listeners are about to hand over count.
void gateway::waitWhileServing(time_point limit, boost::asio::yield_context yield)
{
    do
        sleepFor(shutdownPollInterval, yield);
    while (m_callerServer.openConnections() + m_relayServer.openConnections() > 0
           && steadyNow() < limit);
}

void gateway::shutDown(boost::asio::yield_context yield)
{
    event_line("stopping")
            .field("open_requests", m_callerServer.openExchanges())
            .field("open_relays", m_relayServer.openExchanges());
    const shutdown_plan plan = planShutdown(steadyNow(), m_context.settings.gracePeriod);
    m_context.isStopping = true;
    m_callerServer.stopKeepingConnections();
    m_relayServer.stopKeepingConnections();
    m_context.endsAt = plan.endsAt;
    m_context.acceptsRequestsUntil = plan.acceptsRequestsUntil;
    m_context.acceptsRelaysUntil = plan.acceptsRelaysUntil;
    m_peers.announceChange();
    sleepFor(plan.closesListenerAt - steadyNow(), yield);
    m_callerServer.stopAccepting();
    m_relayServer.drainConnections();
    waitWhileServing(plan.acceptsRelaysUntil, yield);
    m_context.acceptsRelaysUntil = std::min(m_context.acceptsRelaysUntil, steadyNow());
    m_peers.announceChange();
    m_relayServer.stopAccepting();
    waitWhileServing(plan.endsAt, yield);
    event_line("stopped")
            .field("open_requests", m_callerServer.openExchanges())
            .field("open_relays", m_relayServer.openExchanges());
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
    watchForProcessPauses(m_io, [this](duration time) { onProcessPause(time); });
    boost::asio::spawn(m_io, [this](boost::asio::yield_context yield) { runExpiryLoop(yield); });
    boost::asio::spawn(m_io,
                       [this](boost::asio::yield_context yield) { runSettingsReloadLoop(yield); });
    watchEventLoop(m_io, m_loopWatch, m_context.counters, [this] {
        moveRequestsIfIsolated(m_context, m_loopWatch.handledUntil());
        m_pathMover.check();
    });
    m_prober.start();
    m_configTable.start();
    m_endpointTable.start();
    m_quarantineTable.start();
    m_peers.start();
    m_placementLease.start();
    m_io.run();
    return exitOk;
}

} // namespace

int runGateway(const gateway_settings &settings, const make_adapter_fn &makeAdapter,
               const read_settings_fn &readSettings)
{
    // The gateway is never destroyed. Coroutines that are still suspended at shutdown refer to
    // members that would be destroyed before the io_context unwinds these coroutines. The process
    // exits after this call.
    return (new gateway(settings, makeAdapter, readSettings))->run();
}

} // namespace fescuedeck
