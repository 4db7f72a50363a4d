#include "fescuedeck/gateway/destination_chooser.h"

namespace fescuedeck {

destination_chooser::destination_chooser(gateway_context &context, std::string service,
                                         const engine_spec *engine, std::uint64_t requestHash)
    : m_context(context)
    , m_service(std::move(service))
    , m_engine(engine)
    , m_requestHash(requestHash)
{
}

std::optional<destination> destination_chooser::choose()
{
    request_limiter &limits = m_context.requestLimits;
    std::set<std::string> excluded = m_excluded;
    while (std::optional<destination> to = chooseWithout(excluded)) {
        const std::string incarnation = incarnationName(to->first->entry);
        if (m_demanded.insert(incarnation).second)
            limits.recordDemand(incarnation, steadyNow());
        if (limits.allows(incarnation, steadyNow()))
            return to;
        m_hasMetLimit = true;
        excluded.insert(to->first->entry.id);
    }
    return std::nullopt;
}

std::optional<destination>
destination_chooser::chooseWithout(const std::set<std::string> &excluded) const
{
    const choice_request request{ m_context.settings.failureDomain, excluded, steadyNow(),
                                  m_requestHash, m_context.domainPeers };
    const std::vector<endpoint_ptr> endpoints = m_context.endpoints.ofService(m_service);
    return m_engine != nullptr ? chooseChain(*m_engine, endpoints, request)
                               : chooseEndpoint(endpoints, request);
}

endpoint_ptr destination_chooser::choosePeerWithout(const std::set<std::string> &excluded) const
{
    return m_context.relays.choose({ m_context.settings.failureDomain, excluded,
                                     m_context.inputHandledUntil(), m_requestHash });
}

std::optional<destination> destination_chooser::chooseRelay() const
{
    const endpoint_ptr peer = choosePeerWithout(m_excludedPeers);
    if (!peer)
        return std::nullopt;
    destination relay;
    relay.first = peer;
    relay.stages = { peer };
    relay.isRelay = true;
    return relay;
}

void destination_chooser::clearExcluded()
{
    m_excluded.clear();
    m_excludedPeers.clear();
}

bool destination_chooser::hasAlternativeTo(const destination &to) const
{
    if (to.isRelay) {
        std::set<std::string> excluded = m_excludedPeers;
        excluded.insert(to.first->entry.id);
        return choosePeerWithout(excluded) != nullptr;
    }
    std::set<std::string> excluded = m_excluded;
    for (const endpoint_ptr &stage : to.stages)
        excluded.insert(stage->entry.id);
    return chooseWithout(excluded).has_value();
}

void destination_chooser::beginAttempt(const destination &to)
{
    m_demanded.clear();
    if (to.isRelay)
        return; // the peer keeps to the limits
    if (to.first->peerFigures.at) {
        m_context.counters.histogramOf("fescuedeck_load_figures_age_seconds")
                .observe(estimateLoad(0, 0, to.first->peerFigures, steadyNow()).age);
    }
    m_context.requestLimits.take(incarnationName(to.first->entry), steadyNow());
}

} // namespace fescuedeck
