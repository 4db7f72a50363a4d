#include "fescuedeck/gateway/placement_lease.h"

#include <algorithm>

#include "fescuedeck/router/wait_event.h"
#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {

placement_lease::placement_lease(gateway_context &context, std::string member,
                                 placement_lease_settings settings)
    : m_context(context)
    , m_member(std::move(member))
    , m_settings(settings)
{
}

void placement_lease::start()
{
    boost::asio::spawn(m_context.io,
                       [this](boost::asio::yield_context yield) { renewForever(yield); });
    boost::asio::spawn(m_context.io,
                       [this](boost::asio::yield_context yield) { planForever(yield); });
}

bool placement_lease::isHolder(time_point now) const
{
    if (leavesDutyToPeer())
        return false;
    // The lease can be extended while the store does not answer, because engines that check the
    // fencing token refuse the orders of this holder once they have seen a newer holder's token.
    const bool isExtended = m_isStoreUnavailable && m_context.settings.enginesCheckFencing
                            && now < m_extendedUntil;
    return isExtended || now + m_settings.sendMargin < m_expiresAt;
}

void placement_lease::markExpired()
{
    m_expiresAt = {};
    m_extendedUntil = {};
}

// While no peer reaches the engines either, nobody could do better than this gateway.
bool placement_lease::leavesDutyToPeer() const
{
    return m_context.isIsolated() && m_context.hasVouchingPeer();
}

// A holder stays a candidate, so that a gateway that returns does not take the lease from it. A
// gateway that reaches no engine leaves the lease to a peer that does. Until it is granted the
// lease it stays a member, because the store may grant the lease anew whenever a member joins.
bool placement_lease::isCandidate() const
{
    if (leavesDutyToPeer())
        return m_isMember && !m_isGranted;
    return isHolder(steadyNow()) || m_context.isAmongFirst(m_settings.candidatesPerDomain);
}

void placement_lease::renewForever(boost::asio::yield_context yield)
{
    while (!m_context.isStopping) {
        if (leavesDutyToPeer())
            markExpired();
        if (isCandidate()) {
            renew(yield);
        } else if (m_isMember) {
            m_isMember
                    = m_context.adapter.store.leaveLease(m_member, m_settings.renewTimeout, yield)
                              .has_value();
            m_isGranted = m_isGranted && m_isMember;
        }
        sleepFor(m_settings.renewInterval, yield);
    }
    release(yield);
}

void placement_lease::renew(boost::asio::yield_context yield)
{
    // The lease duration counts from when the renewal is sent, because the store may have started
    // it then.
    const time_point sentAt = steadyNow();
    const bool wasHolder = isHolder(sentAt);
    m_isMember = true;
    const auto grant = m_context.adapter.store.joinLease(m_member, m_settings.leaseDuration,
                                                         m_settings.renewTimeout, yield);
    m_isStoreUnavailable = !grant;
    if (!grant)
        return;
    const bool isGranted = grant.value().isHolder;
    m_isGranted = isGranted;
    m_extendedUntil = isGranted ? sentAt + m_settings.maxExtension : time_point{};
    m_expiresAt = isGranted ? sentAt + m_settings.leaseDuration : time_point{};
    m_fencingToken = grant.value().fencingToken;
    if (isGranted != wasHolder) {
        event_line(wasHolder ? "duty_lost" : "duty_taken")
                .field("duty", "placement")
                .field("fencing_token", m_fencingToken);
    }
}

// Releases the lease in the store. While the store is unavailable no other gateway can take the
// lease over, so this one keeps it until the store accepts the release or the process ends.
void placement_lease::release(boost::asio::yield_context yield)
{
    while (m_isMember) {
        const time_point sentAt = steadyNow();
        const auto error
                = m_context.adapter.store.leaveLease(m_member, m_settings.renewTimeout, yield);
        if (!error)
            return markExpired();
        m_isStoreUnavailable = true;
        event_line("duty_not_released", event_level::Warning)
                .field("held", isHolder(sentAt))
                .field("detail", error->detail);
        sleepFor(m_settings.renewInterval, yield);
    }
}

void placement_lease::planForever(boost::asio::yield_context yield)
{
    while (true) {
        sleepFor(m_settings.planInterval, yield);
        const time_point now = steadyNow();
        if (!isHolder(now)) {
            for (auto &[service, controller] : m_controllers)
                controller.clear();
            continue;
        }
        if (!m_context.config || !m_context.hasEndpointList)
            continue;
        const auto config = m_context.config;
        for (const service_rule &service : config->config().services) {
            if (service.engine)
                planService(service, now);
        }
    }
}

// Whether the list of endpoints is complete enough to plan. A plan for a part of the fleet would
// move engines that need not move. The list is incomplete in two cases: at the first start, until
// all engines have announced themselves; and after an outage of the store, until the engines whose
// announcements expired have announced themselves again.
bool placement_lease::isFleetStable(const std::vector<endpoint_ptr> &endpoints,
                                    time_point now) const
{
    const bool isEmptyFleet
            = std::none_of(endpoints.begin(), endpoints.end(),
                           [](const endpoint_ptr &endpoint) { return endpoint->entry.layers; });
    if (isEmptyFleet)
        return now - m_context.endpoints.newestSince() >= m_settings.settleTime;
    return now >= m_context.endpointsCompleteAt;
}

void placement_lease::planService(const service_rule &service, time_point now)
{
    placement_controller &controller = m_controllers[service.name];
    const auto endpoints = m_context.endpoints.ofService(service.name);
    if (!isFleetStable(endpoints, now))
        return;
    for (const placement_order &order : controller.plan(*service.engine, endpoints, now)) {
        boost::asio::spawn(m_context.io,
                           [this, name = service.name, order](boost::asio::yield_context yield) {
                               sendOrder(name, order, yield);
                           });
    }
    for (const std::string &endpoint : controller.reportsDue(now)) {
        boost::asio::spawn(m_context.io,
                           [this, name = service.name, endpoint](boost::asio::yield_context yield) {
                               fetchReport(name, endpoint, yield);
                           });
    }
    m_context.layersExpectedAt = now + controller.timeToCloseGaps(now);
}

void placement_lease::sendOrder(const std::string &service, const placement_order &order,
                                boost::asio::yield_context yield)
{
    placement_controller &controller = m_controllers[service];
    if (!isHolder(steadyNow()))
        return controller.clear();
    call_options options;
    options.timeout = m_settings.orderTimeout;
    // On a reused connection a late response to an earlier request could be taken for the outcome.
    options.freshConnection = true;
    const std::int64_t fencingToken
            = m_fencingToken; // a renewal can change the member during the call
    const call_result result = m_context.client.send(
            order.address, m_context.adapter.encodeOrder(order, fencingToken), options, yield);
    order_outcome outcome
            = result.mayHaveBeenSent ? order_outcome::Unknown : order_outcome::NotSent;
    if (result.response)
        outcome = m_context.adapter.decodeOrderResponse(result.response.value());
    event_line("order_answered")
            .field("endpoint", order.endpoint)
            .field("layers", toString(order.range))
            .field("closes_gap", order.closesGap)
            .field("expected_orders", order.expectedOrders)
            .field("fencing_token", fencingToken)
            .field("outcome", nameOf(orderOutcomeNames, outcome));
    m_context.counters
            .counterOf("fescuedeck_orders_total",
                       { { "outcome", std::string(nameOf(orderOutcomeNames, outcome)) } })
            .add();
    if (outcome == order_outcome::Fenced)
        markExpired();
    // An engine that does not answer is inspected, so that it can be marked as lost and its layers
    // can be loaded by another engine.
    const bool isUnreachable
            = outcome == order_outcome::NotSent || outcome == order_outcome::Unknown;
    if (isUnreachable && m_context.inspectEngine)
        m_context.inspectEngine(order.endpoint, engine_suspicion::Stalled);
    controller.recordOutcome(order, outcome, steadyNow());
}

void placement_lease::fetchReport(const std::string &service, const std::string &endpoint,
                                  boost::asio::yield_context yield)
{
    const endpoint_ptr record = m_context.endpoints.find(endpoint);
    if (!record)
        return;
    call_options options;
    options.timeout = m_settings.orderTimeout;
    const call_result result = m_context.client.send(
            record->entry.address, m_context.adapter.encodeReportRequest(), options, yield);
    if (!result.response)
        return;
    const auto report = m_context.adapter.decodeReport(result.response.value());
    if (!report) {
        event_line("report_unusable", event_level::Warning)
                .field("endpoint", endpoint)
                .field("detail", report.error().detail);
        return;
    }
    m_context.endpoints.observeLayers(endpoint, report.value().layers, report.value().orders,
                                      steadyNow());
    m_controllers[service].recordReport(endpoint, report.value(), steadyNow());
}

} // namespace fescuedeck
