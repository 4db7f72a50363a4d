#include "fescuedeck/gateway/engine_inspector.h"

#include <algorithm>

#include "fescuedeck/gateway/endpoint_choice.h"
#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {
namespace {

// The table of last request times is cleared beyond this size, so that entries of endpoints that
// have gone do not accumulate.
constexpr std::size_t maxTrackedEngines = 1024;
// An engine whose KV cache is filled beyond this share may refuse requests because it lacks memory.
// The share that an engine reports is older than the requests of a burst, so that requests in
// flight are counted as well.
constexpr double scarceCacheShare = 0.5;

} // namespace

engine_inspector::engine_inspector(gateway_context &context, engine_inspector_settings settings)
    : m_context(context)
    , m_settings(settings)
{
}

void engine_inspector::inspect(const std::string &id, engine_suspicion suspicion)
{
    const endpoint_ptr engine = m_context.endpoints.find(id);
    const time_point now = steadyNow();
    if (!engine || engine->isLost(now))
        return;
    if (m_lastRequestAt.size() > maxTrackedEngines)
        m_lastRequestAt.clear();
    time_point &last = m_lastRequestAt[id];
    if (now - last < m_settings.minInterval)
        return;
    last = now;
    boost::asio::spawn(m_context.io, [this, engine, suspicion](boost::asio::yield_context yield) {
        fetchReport(engine, suspicion, yield);
    });
}

void engine_inspector::fetchReport(const endpoint_ptr &engine, engine_suspicion suspicion,
                                   boost::asio::yield_context yield)
{
    call_options options;
    options.timeout = m_settings.timeout;
    // A reused connection may be dead although the engine is healthy.
    options.freshConnection = true;
    const time_point startedAt = steadyNow();
    const call_result result = m_context.client.send(
            engine->entry.address, m_context.adapter.encodeReportRequest(), options, yield);
    if (!result.response) {
        if (!isAtFault(result, startedAt, yield))
            return;
        markLost(engine, "no_answer");
        // The links have worked since the inspection began, so that the loss stays when they fail
        // later.
        if (!result.mayHaveBeenSent)
            engine->lostAt = startedAt;
        return;
    }
    const auto report = m_context.adapter.decodeReport(result.response.value());
    if (report)
        applyReport(engine, suspicion, report.value());
}

// Whether the engine, and not the links of this gateway, is the reason for a request without an
// answer.
bool engine_inspector::isAtFault(const call_result &result, time_point startedAt,
                                 boost::asio::yield_context yield) const
{
    const bool hasConnected = result.mayHaveBeenSent;
    const bool areLinksUp = hasConnected || m_context.hasReachedEndpoints(startedAt, yield);
    if (m_context.isIsolated())
        return !m_context.hasVouchingPeer();
    if (!areLinksUp)
        m_context.counters.counterOf("fescuedeck_unsettled_inspections_total").add();
    return areLinksUp;
}

// Whether an engine that refuses requests is shutting down: it answers, executes no order, has free
// memory and holds its announced layers.
bool engine_inspector::refusesWithoutCause(const endpoint_record &engine,
                                           const engine_report &report) const
{
    const service_rule *service
            = m_context.config ? m_context.config->findService(engine.entry.service) : nullptr;
    const double fill
            = service != nullptr && service->engine ? cacheFill(*service->engine, engine) : 0;
    return !report.isBusy && engine.entry.layers == report.layers
           && std::max(report.cacheShare, fill) < scarceCacheShare;
}

void engine_inspector::applyReport(const endpoint_ptr &engine, engine_suspicion suspicion,
                                   const engine_report &report)
{
    engine->slowdown = report.slowdown;
    const bool isLeaving
            = suspicion == engine_suspicion::Refused && refusesWithoutCause(*engine, report);
    m_context.endpoints.observeLayers(engine->entry.id, report.layers, report.orders, steadyNow());
    if (isLeaving)
        markLost(engine, "refuses_its_part");
    else if (!report.isBusy)
        m_context.endpoints.clearSuspicion(engine->entry.id);
    for (const std::string &address : report.stalledOn) {
        const endpoint_ptr stalled = m_context.endpoints.findByAddress(address);
        if (stalled && !stalled->isLost(steadyNow()))
            markLost(stalled, "others_wait_for_it");
    }
}

void engine_inspector::markLost(const endpoint_ptr &engine, const char *evidence)
{
    event_line("engine_lost", event_level::Warning)
            .field("endpoint", engine->entry.id)
            .field("layers", engine->entry.layers ? toString(*engine->entry.layers) : "none")
            .field("evidence", evidence);
    m_context.counters.counterOf("fescuedeck_engines_lost_total").add();
    m_context.endpoints.markLost(engine->entry.id, steadyNow());
    if (m_context.onEngineLost)
        m_context.onEngineLost();
}

} // namespace fescuedeck
