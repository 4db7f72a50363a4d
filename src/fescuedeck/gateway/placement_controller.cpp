#include "fescuedeck/gateway/placement_controller.h"

#include <algorithm>

namespace fescuedeck {
namespace {

duration loadTime(const engine_spec &spec, int layers)
{
    const double seconds = spec.loadSecondsAllLayers * layers / std::max(1, spec.layers);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace

placement_controller::placement_controller(placement_policy policy, placement_timing timing)
    : m_policy(policy)
    , m_timing(timing)
{
}

// Drops three kinds of pending orders: those whose range the engine has announced, those whose
// engine has gone or restarted, and those that were sent longer than giveUpAfter ago.
void placement_controller::dropFinishedOrders(const std::vector<endpoint_ptr> &endpoints,
                                              time_point now)
{
    for (auto entry = m_pending.begin(); entry != m_pending.end();) {
        const placement_order &order = entry->second.order;
        const auto found = std::find_if(endpoints.begin(), endpoints.end(),
                                        [&](const endpoint_ptr &endpoint) {
                                            return endpoint->entry.id == order.endpoint
                                                   && endpoint->entry.startedAt == order.startedAt;
                                        });
        const bool isGone = found == endpoints.end();
        const bool isLoaded = !isGone && (*found)->entry.layers == order.range;
        const bool isLost = now - entry->second.sentAt > m_timing.giveUpAfter;
        entry = isGone || isLoaded || isLost ? m_pending.erase(entry) : std::next(entry);
    }
}

std::vector<placement_engine>
placement_controller::enginesOf(const std::vector<endpoint_ptr> &endpoints, time_point now) const
{
    std::vector<placement_engine> engines;
    for (const endpoint_ptr &endpoint : endpoints) {
        if (!endpoint->isPresent(now))
            continue;
        placement_engine engine;
        engine.id = endpoint->entry.id;
        engine.failureDomain = endpoint->entry.failureDomain;
        engine.accelerator = endpoint->entry.accelerator;
        engine.range = endpoint->entry.layers;
        const auto pending = m_pending.find(engine.id);
        if (pending != m_pending.end()) {
            engine.range = pending->second.order.range;
            engine.isBusy = true;
        }
        engines.push_back(std::move(engine));
    }
    return engines;
}

std::vector<placement_order> placement_controller::plan(const engine_spec &spec,
                                                        const std::vector<endpoint_ptr> &endpoints,
                                                        time_point now)
{
    m_spec = spec;
    dropFinishedOrders(endpoints, now);
    std::vector<placement_order> orders;
    // An order whose outcome is unknown is sent again unchanged. Both copies expect the same number
    // of accepted orders, so the engine executes at most one of them.
    for (auto &[id, pending] : m_pending) {
        if (pending.isOutcomeUnknown && now - pending.sentAt >= m_timing.resendAfter)
            orders.push_back(pending.order);
    }
    for (const placement_decision &decision :
         planLayers(spec, enginesOf(endpoints, now), m_policy)) {
        const auto found = std::find_if(
                endpoints.begin(), endpoints.end(),
                [&](const endpoint_ptr &endpoint) { return endpoint->entry.id == decision.id; });
        const endpoint_entry &entry = (*found)->entry;
        orders.push_back({ entry.id, entry.address, entry.startedAt, decision.range,
                           (*found)->orders, decision.closesGap });
    }
    for (const placement_order &order : orders) {
        pending_order &pending = m_pending[order.endpoint];
        pending.order = order;
        pending.sentAt = now;
        pending.isOutcomeUnknown = false;
    }
    return orders;
}

void placement_controller::recordOutcome(const placement_order &order, order_outcome outcome,
                                         time_point now)
{
    const auto found = m_pending.find(order.endpoint);
    if (found == m_pending.end() || found->second.order.range != order.range)
        return;
    pending_order &pending = found->second;
    switch (outcome) {
    case order_outcome::Begun:
    case order_outcome::Done:
        pending.isBegun = true;
        pending.readyAt = now
                          + (outcome == order_outcome::Begun ? loadTime(m_spec, order.range.size())
                                                             : duration::zero());
        pending.nextReportAt = pending.readyAt + m_timing.loadMargin;
        return;
    case order_outcome::Unknown:
    case order_outcome::Mismatched:
        pending.isOutcomeUnknown = outcome == order_outcome::Unknown;
        pending.nextReportAt = now;
        return;
    case order_outcome::Fenced:
    case order_outcome::NotSent:
        m_pending.erase(found);
        return;
    }
}

std::vector<std::string> placement_controller::reportsDue(time_point now)
{
    std::vector<std::string> due;
    for (auto &[id, pending] : m_pending) {
        if (pending.nextReportAt == time_point{} || pending.nextReportAt > now)
            continue;
        pending.nextReportAt = now + m_timing.reportInterval;
        due.push_back(id);
    }
    return due;
}

void placement_controller::recordReport(const std::string &endpoint, const engine_report &report,
                                        time_point now)
{
    const auto found = m_pending.find(endpoint);
    if (found == m_pending.end())
        return;
    pending_order &pending = found->second;
    const bool isLoaded = report.layers == pending.order.range && !report.isBusy;
    if (isLoaded) {
        m_pending.erase(found);
        return;
    }
    const bool wasRefused = !pending.isBegun && !pending.isOutcomeUnknown && !report.isBusy;
    const bool isSuperseded = report.orders > pending.order.expectedOrders + 1;
    if (wasRefused || isSuperseded) {
        m_pending.erase(found);
        return;
    }
    if (report.isBusy) {
        pending.isBegun = true;
        pending.isOutcomeUnknown = false;
    }
    pending.nextReportAt = now + m_timing.reportInterval;
}

duration placement_controller::timeToCloseGaps(time_point now) const
{
    duration longest{};
    for (const auto &[id, pending] : m_pending) {
        if (pending.order.closesGap && pending.readyAt > now)
            longest = std::max<duration>(longest, pending.readyAt - now);
    }
    return longest;
}

} // namespace fescuedeck
