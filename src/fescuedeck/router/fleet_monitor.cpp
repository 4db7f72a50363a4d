#include "fescuedeck/router/fleet_monitor.h"

#include <algorithm>

#include "fescuedeck/router/engine_client.h"
#include "fescuedeck/router/wait_event.h"
#include "fescuedeck/telemetry/log_setup.h"

namespace fescuedeck {
namespace {

// Interval at which the fleet state is recomputed for everything that depends on time: slow start,
// the expiry of peer digests, and the comparison of step times with those of similar endpoints.
constexpr duration refreshInterval = std::chrono::milliseconds(100);
// A report that takes longer than this counts as a failed call.
constexpr duration reportTimeout = std::chrono::seconds(1);

// Replicas of plain services have no model.
bool isEngine(const endpoint_spec &endpoint)
{
    return !endpoint.model.empty();
}

std::vector<const endpoint_spec *> allEndpoints(const bundle &content)
{
    std::vector<const endpoint_spec *> endpoints;
    for (const endpoint_spec &engine : content.endpoints)
        endpoints.push_back(&engine);
    for (const service_spec &service : content.services) {
        for (const endpoint_spec &replica : service.replicas)
            endpoints.push_back(&replica);
    }
    return endpoints;
}

} // namespace

fleet_monitor::fleet_monitor(router_context &context)
    : m_context(context)
    , m_hostList(context.client, context.settings.platform.address)
    , m_polling(lock_rank::Peers)
{
    context.counters.setGauge("fescuedeck_other_live_routers", {}, [&context] {
        return static_cast<double>(context.otherLiveRouters.load());
    });
}

void fleet_monitor::start()
{
    const auto spawn = [this](void (fleet_monitor::*loop)(boost::asio::yield_context)) {
        boost::asio::spawn(m_context.io, [this, loop](boost::asio::yield_context yield) {
            (this->*loop)(yield);
        });
    };
    spawn(&fleet_monitor::pollEndpoints);
    spawn(&fleet_monitor::pollHostList);
    spawn(&fleet_monitor::refreshState);
}

void fleet_monitor::pollEndpoints(boost::asio::yield_context yield)
{
    for (;;) {
        if (const auto index = m_context.bundleInForce()) {
            for (const endpoint_spec *endpoint : allEndpoints(index->content()))
                spawnPoll(*endpoint, false);
        }
        sleepFor(m_context.settings.timing.reportInterval, yield);
    }
}

void fleet_monitor::spawnPoll(const endpoint_spec &endpoint, bool isProbe)
{
    const bool mayPoll
            = m_polling.with([&](auto &polling) { return polling.insert(endpoint.id).second; });
    if (!mayPoll)
        return;
    boost::asio::spawn(m_context.io, [this, endpoint, isProbe](boost::asio::yield_context yield) {
        pollOnce(endpoint, isProbe, yield);
        m_polling.with([&](auto &polling) { polling.erase(endpoint.id); });
    });
}

void fleet_monitor::pollOnce(const endpoint_spec &endpoint, bool isProbe,
                             boost::asio::yield_context yield)
{
    const auto report
            = isEngine(endpoint)
                      ? fetchReport(m_context.client, endpoint.address, reportTimeout, yield)
                      : fetchHealth(m_context.client, endpoint.address, reportTimeout, yield);
    std::string previousIncarnation;
    m_context.fleet.with([&](fleet_tables &tables) {
        const endpoint_state *state = tables.state.find(endpoint.id);
        // The restart of an endpoint in the phase Leaving is not a crash.
        if (state && state->phase() != endpoint_phase::Leaving)
            previousIncarnation = state->incarnation();
        if (report)
            tables.state.applyReport(endpoint.id, report.value(), steadyNow());
        if (isProbe)
            tables.state.recordProbe(endpoint.id, report.has_value(),
                                     report ? report.value().incarnation : std::string(),
                                     steadyNow());
        else if (!report)
            tables.state.callFailed(endpoint.id, steadyNow());
    });
    if (report)
        reportCrash(endpoint, previousIncarnation, report.value().incarnation);
}

void fleet_monitor::reportCrash(const endpoint_spec &endpoint,
                                const std::string &previousIncarnation,
                                const std::string &currentIncarnation)
{
    if (previousIncarnation.empty() || currentIncarnation.empty()
        || previousIncarnation == currentIncarnation)
        return;
    m_context.counters.counterOf("fescuedeck_endpoint_restarts_total").add();
    m_context.suspects.endpointCrashed(endpoint.id, previousIncarnation);
}

void fleet_monitor::pollHostList(boost::asio::yield_context yield)
{
    for (;;) {
        const auto hosts = m_hostList.fetch(m_context.settings.timing.logTimeout, yield);
        if (hosts) {
            std::vector<listed_host> entries;
            int otherRouters = 0;
            for (const host_entry &host : hosts.value()) {
                const bool isLeaving = host.state == host_state::Leaving;
                if (host.role == host_role::Endpoint)
                    entries.push_back({ host.host, host.incarnation, isLeaving });
                else if (!isLeaving && host.address != m_context.settings.peers.address)
                    ++otherRouters;
            }
            m_context.otherLiveRouters = otherRouters;
            m_context.fleet.with([&](fleet_tables &tables) {
                tables.state.applyHostList(entries, steadyNow());
            });
        } else {
            m_context.counters.counterOf("fescuedeck_host_list_failures_total").add();
        }
        sleepFor(m_context.settings.timing.hostListInterval, yield);
    }
}

void fleet_monitor::refreshState(boost::asio::yield_context yield)
{
    for (;;) {
        const auto probes = m_context.fleet.with([](fleet_tables &tables) {
            tables.state.refresh(steadyNow());
            return tables.state.takeProbes(steadyNow());
        });
        const auto index = m_context.bundleInForce();
        for (const std::string &id : probes) {
            const endpoint_spec *endpoint = index ? index->findEndpoint(id) : nullptr;
            if (endpoint)
                spawnPoll(*endpoint, true);
        }
        logChanges();
        m_context.suspects.expire();
        sleepFor(refreshInterval, yield);
    }
}

void fleet_monitor::logChanges()
{
    const auto changes
            = m_context.fleet.with([](fleet_tables &tables) { return tables.state.takeChanges(); });
    for (const endpoint_change &change : changes) {
        const std::string to(nameOf(endpointPhaseNames, change.to));
        m_context.counters.counterOf("fescuedeck_endpoint_changes_total", { { "to", to } }).add();
        logInfo("fleet", "endpoint " + change.id + " is " + to + ", was "
                                 + std::string(nameOf(endpointPhaseNames, change.from)));
    }
}

} // namespace fescuedeck
