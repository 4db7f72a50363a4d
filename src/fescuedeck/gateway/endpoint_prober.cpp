#include "fescuedeck/gateway/endpoint_prober.h"

#include <algorithm>

#include "fescuedeck/router/wait_event.h"
#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {
namespace {

constexpr duration outcomePollInterval = std::chrono::milliseconds(20);

} // namespace

endpoint_prober::endpoint_prober(gateway_context &context, endpoint_prober_hooks hooks,
                                 endpoint_prober_settings settings)
    : m_context(context)
    , m_hooks(std::move(hooks))
    , m_settings(settings)
    , m_reachability([this] { return candidates(); }, context.random(), settings.reachability)
{
}

void endpoint_prober::start()
{
    connection_observer observer;
    observer.onBegin = [this](std::uint64_t number, const std::string &address) {
        onAttemptBegun(number, address);
    };
    observer.onEnd = [this](std::uint64_t number, connection_outcome outcome) {
        onAttemptEnded(number, outcome);
    };
    m_context.client.observeConnections(std::move(observer));
    boost::asio::spawn(m_context.io,
                       [this](boost::asio::yield_context yield) { updateForever(yield); });
}

std::vector<probe_candidate> endpoint_prober::candidates() const
{
    const time_point now = steadyNow();
    std::vector<probe_candidate> found;
    for (const endpoint_ptr &endpoint : m_context.endpoints.all()) {
        const endpoint_entry &entry = endpoint->entry;
        if (entry.phase == endpoint_phase_announced::Ready)
            found.push_back(
                    { entry.id, entry.failureDomain, entry.service, endpoint->isLost(now) });
    }
    return found;
}

// The client also connects to the store, which says nothing about the endpoints.
void endpoint_prober::onAttemptBegun(std::uint64_t number, const std::string &address)
{
    const endpoint_ptr endpoint = m_context.endpoints.findByAddress(address);
    if (endpoint)
        m_reachability.beginAttempt(number, endpoint->entry.id, steadyNow());
}

void endpoint_prober::onAttemptEnded(std::uint64_t number, connection_outcome outcome)
{
    m_reachability.endAttempt(number, outcome, loopTime());
    const bool isSettled = outcome == connection_outcome::Connected
                           && m_reachability.state() == link_state::Connected && !m_isIsolated;
    if (!isSettled)
        update();
}

void endpoint_prober::updateForever(boost::asio::yield_context yield)
{
    while (true) {
        sleepFor(m_settings.updateInterval, yield);
        checkSilence(loopTime());
        update();
    }
}

loop_time endpoint_prober::loopTime() const
{
    return { steadyNow(), m_context.inputHandledUntil() };
}

// While requests are in flight, some endpoint usually sends something. Cut links do not close
// connections, so that silence is the first sign of them.
void endpoint_prober::checkSilence(const loop_time &time)
{
    bool isBusy = false;
    time_point lastProgressAt{};
    for (const endpoint_ptr &endpoint : m_context.endpoints.all()) {
        isBusy = isBusy || endpoint->inFlight > 0;
        lastProgressAt = std::max(lastProgressAt, endpoint->lastProgressAt);
    }
    if (!isBusy) {
        m_busySince = {};
        return;
    }
    if (m_busySince == time_point{})
        m_busySince = time.now;
    const bool isSilent
            = time.handledUntil - std::max(lastProgressAt, m_busySince) >= m_settings.silenceLimit
              && time.now - m_reachability.lastConnectedAt() >= m_settings.silenceCheckInterval;
    if (!isSilent || m_reachability.state() != link_state::Connected)
        return;
    m_reachability.requestCheck(time.now);
    m_isSilent = m_reachability.state() == link_state::Checking;
    if (m_isSilent)
        m_context.counters.counterOf("fescuedeck_silence_checks_total").add();
}

void endpoint_prober::update()
{
    const bool wasChecking = m_reachability.state() == link_state::Checking;
    for (const std::string &endpoint : m_reachability.probesDue(loopTime()))
        probe(endpoint);
    const bool isChecking = m_reachability.state() == link_state::Checking;
    if (isChecking && !wasChecking)
        m_isSilent = false;
    if (isChecking)
        m_doubtfulSince = m_reachability.stateSince();
    reportChange();
}

void endpoint_prober::probe(const std::string &endpoint)
{
    const endpoint_ptr record = m_context.endpoints.find(endpoint);
    if (!record)
        return;
    m_context.counters.counterOf("fescuedeck_reachability_probes_total").add();
    const std::string address = record->entry.address;
    boost::asio::spawn(m_context.io, [this, address](boost::asio::yield_context yield) {
        m_context.client.openIdle(address, m_settings.reachability.attemptLimit, yield);
    });
}

void endpoint_prober::reportChange()
{
    const bool isIsolated = m_reachability.state() == link_state::Isolated;
    if (isIsolated == m_isIsolated)
        return;
    const time_point now = steadyNow();
    m_isIsolated = isIsolated;
    if (!isIsolated) {
        m_returnedAt = now;
        event_line("endpoints_reachable").field("isolated_ms", duration(now - m_isolatedSince));
        if (m_hooks.onReached)
            m_hooks.onReached(m_reachedBefore);
        return;
    }
    m_isolatedSince = now;
    m_context.counters.counterOf("fescuedeck_isolations_total").add();
    m_reachedBefore = m_reachability.lastConnectedAt();
    event_line("endpoints_unreachable", event_level::Warning)
            .field("evidence", m_isSilent ? "silence" : "failed_connections")
            .field("tried", static_cast<int>(m_reachability.failedEndpoints()))
            .field("known", static_cast<int>(m_context.endpoints.size()))
            .field("check_ms", duration(now - m_doubtfulSince))
            .field("since_connected_ms", duration(now - m_reachedBefore))
            .field("peer_reaches_endpoints", m_context.hasVouchingPeer());
    if (m_hooks.onIsolated)
        m_hooks.onIsolated(m_reachedBefore);
}

bool endpoint_prober::hasReachedEndpoints(time_point since, boost::asio::yield_context yield)
{
    const time_point end = steadyNow() + m_settings.outcomeWait;
    const auto wasIsolated = [&] { return m_isIsolated || m_returnedAt >= since; };
    while (m_reachability.lastConnectedAt() < since) {
        if (wasIsolated() || steadyNow() >= end)
            return false;
        m_reachability.requestCheck(steadyNow());
        update();
        sleepFor(outcomePollInterval, yield);
    }
    return !wasIsolated();
}

} // namespace fescuedeck
