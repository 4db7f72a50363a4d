#include "fescuedeck/orders/order_planner.h"

#include <algorithm>

namespace fescuedeck {
namespace {

bool contains(const std::vector<engine_load> &loads, const engine_load &load)
{
    return std::find(loads.begin(), loads.end(), load) != loads.end();
}

bool sameLoads(const std::vector<engine_load> &a, const std::vector<engine_load> &b)
{
    return a.size() == b.size() && std::all_of(a.begin(), a.end(), [&](const engine_load &load) {
               return contains(b, load);
           });
}

} // namespace

order_planner::order_planner(planner_policy policy, std::string model)
    : m_policy(policy)
    , m_model(std::move(model))
    , m_budget(policy.layersPerSecond, policy.burstLayers)
{
}

void order_planner::setBundle(std::shared_ptr<const bundle> content)
{
    m_bundle = std::move(content);
    std::map<std::string, engine> remaining;
    m_endpoints.clear();
    for (const endpoint_spec &endpoint : m_bundle->endpoints) {
        if (endpoint.model == m_model)
            m_endpoints.push_back(&endpoint);
        const auto found = m_engines.find(endpoint.id);
        if (found != m_engines.end())
            remaining.insert(*found);
    }
    m_engines = std::move(remaining);
}

void order_planner::recordReport(const std::string &endpoint, const load_report &report,
                                 time_point now)
{
    engine &state = m_engines[endpoint];
    const bool hasRestarted = state.report && state.report->incarnation != report.incarnation;
    if (hasRestarted)
        resetOrderState(state);
    state.report = report;
    state.reportedAt = now;
}

void order_planner::recordAnswer(const std::string &endpoint, bool accepted, time_point now)
{
    engine &state = m_engines[endpoint];
    if (!accepted || !state.newestOrder)
        return;
    state.isAccepted = true;
    state.acceptedAt = now;
    if (!state.isFenced)
        state.fencedAt = now;
    state.isFenced = true;
}

// Resets the order state because the engine restarted or a new authority began. If the newest order
// may still take effect, it is kept among the unresolved orders.
void order_planner::resetOrderState(engine &state)
{
    keepUnresolvedOrder(state);
    state.newestOrder.reset();
    state.isAccepted = false;
    state.isFenced = false;
}

// Adds the newest order to the unresolved ones unless it has been accepted. Orders with the same
// loads share one entry, so that the list stays short while an engine does not answer.
void order_planner::keepUnresolvedOrder(engine &state)
{
    if (!state.newestOrder || state.isAccepted)
        return;
    for (sent_order &order : state.unresolvedOrders) {
        if (sameLoads(order.loads, state.newestOrder->loads)) {
            order = *state.newestOrder;
            return;
        }
    }
    state.unresolvedOrders.push_back(*state.newestOrder);
}

// Drops the unresolved orders that can no longer take effect. There are two cases:
// - An engine that checks the fencing number has accepted an order with a higher number.
// - An engine that does not check it has had the longest delivery time to execute the order.
// In both cases the engine's newest report must be recent enough to show the effect of the order.
void order_planner::dropResolvedOrders()
{
    for (const endpoint_spec &endpoint : m_bundle->endpoints) {
        const auto found = m_engines.find(endpoint.id);
        if (found == m_engines.end() || found->second.unresolvedOrders.empty())
            continue;
        engine &state = found->second;
        const auto isResolved = [&](const sent_order &order) {
            const bool isSuperseded
                    = state.isAccepted && state.newestOrder->fencing > order.fencing;
            const time_point end = endpoint.checksFencing ? state.acceptedAt
                                                          : order.sentAt + m_policy.longestDelivery;
            return (isSuperseded || !endpoint.checksFencing)
                   && state.reportedAt >= end + m_policy.reportLag;
        };
        state.unresolvedOrders.erase(std::remove_if(state.unresolvedOrders.begin(),
                                                    state.unresolvedOrders.end(), isResolved),
                                     state.unresolvedOrders.end());
    }
}

std::vector<engine_order> order_planner::plan(time_point now, const order_authority &authority)
{
    if (!m_bundle)
        return {};
    if (authority.firstFencing != m_firstFencing) {
        m_firstFencing = authority.firstFencing;
        for (auto &[id, state] : m_engines)
            resetOrderState(state);
    }
    dropResolvedOrders();
    plan_context current{
        now, authority, { *m_bundle, currentHoldings(now) }, isModelSettled(now, authority)
    };
    std::vector<engine_order> orders;
    for (const endpoint_spec *endpoint : endpointsByFewestHolders(current.capacity)) {
        if (auto order = planEngine(*endpoint, current))
            orders.push_back(std::move(*order));
    }
    return orders;
}

bool order_planner::hasConverged(time_point now) const
{
    return m_bundle
           && std::all_of(m_endpoints.begin(), m_endpoints.end(),
                          [&](const endpoint_spec *endpoint) {
                              const auto found = m_engines.find(endpoint->id);
                              return found != m_engines.end() && isFresh(found->second, now)
                                     && sameLoads(found->second.report->loads,
                                                  { detail::wantedLoad(*m_bundle, *endpoint) });
                          });
}

bool order_planner::isFresh(const engine &state, time_point now) const
{
    return state.report && !state.report->isLeaving
           && now <= state.reportedAt + m_policy.reportExpiry;
}

// Returns this model and all models whose layers its engines hold.
std::set<std::string> order_planner::modelsInUse(time_point now) const
{
    std::set<std::string> models = { m_model };
    for (const endpoint_spec *endpoint : m_endpoints) {
        const auto found = m_engines.find(endpoint->id);
        if (found == m_engines.end() || !isFresh(found->second, now))
            continue;
        for (const engine_load &load : found->second.report->loads)
            models.insert(load.model);
    }
    return models;
}

// Returns the loads of the models in use that each engine holds and will keep: its report shows
// them, and no order whose effect the report may not show yet drops them.
detail::engine_holdings order_planner::currentHoldings(time_point now) const
{
    const std::set<std::string> models = modelsInUse(now);
    detail::engine_holdings held;
    for (const auto &[id, state] : m_engines) {
        if (!isFresh(state, now))
            continue;
        for (const engine_load &load : state.report->loads) {
            if (models.count(load.model) != 0 && willKeepLoad(state, load))
                held[id].push_back(load);
        }
    }
    return held;
}

bool order_planner::willKeepLoad(const engine &state, const engine_load &load)
{
    if (state.newestOrder && !contains(state.newestOrder->loads, load))
        return false;
    return std::all_of(state.unresolvedOrders.begin(), state.unresolvedOrders.end(),
                       [&](const sent_order &order) { return contains(order.loads, load); });
}

// Returns the model's engines, sorted by how many engines already hold their wanted range. Because
// the load rate is limited, the ranges that the fewest engines hold are loaded first.
std::vector<const endpoint_spec *>
order_planner::endpointsByFewestHolders(const detail::serving_capacity &capacity) const
{
    const auto rangeOf = [](const endpoint_spec &endpoint) {
        return std::make_pair(endpoint.layers.begin, endpoint.layers.end);
    };
    std::map<std::pair<int, int>, int> holders;
    for (const endpoint_spec *endpoint : m_endpoints) {
        if (contains(capacity.loadsOf(endpoint->id), detail::wantedLoad(*m_bundle, *endpoint)))
            ++holders[rangeOf(*endpoint)];
    }
    std::vector<const endpoint_spec *> endpoints = m_endpoints;
    std::stable_sort(endpoints.begin(), endpoints.end(),
                     [&](const endpoint_spec *a, const endpoint_spec *b) {
                         return holders[rangeOf(*a)] < holders[rangeOf(*b)];
                     });
    return endpoints;
}

std::optional<engine_order> order_planner::planEngine(const endpoint_spec &endpoint,
                                                      plan_context &current)
{
    const auto found = m_engines.find(endpoint.id);
    if (found == m_engines.end() || !isFresh(found->second, current.now))
        return std::nullopt;
    const std::vector<engine_load> target = targetOf(endpoint, current);
    if (!needsOrder(endpoint, target, current))
        return std::nullopt;
    engine &state = found->second;
    keepUnresolvedOrder(state);
    state.newestOrder = sent_order{ current.authority.fencing, target, current.now };
    state.isAccepted = false;
    return engine_order{ endpoint.id, endpoint.address, current.authority.fencing, target };
}

std::vector<engine_load> order_planner::targetOf(const endpoint_spec &endpoint,
                                                 plan_context &current)
{
    const engine_load wanted = detail::wantedLoad(*m_bundle, endpoint);
    const std::vector<engine_load> present = current.capacity.loadsOf(endpoint.id);
    std::vector<engine_load> target;
    if (!contains(present, wanted)) {
        target = present;
        if (mayLoad(endpoint, wanted, current.now))
            target.push_back(wanted);
        return target;
    }
    for (const engine_load &load : present) {
        const bool isRemoved
                = load != wanted && current.mayRemove
                  && current.capacity.removeIfSpare(endpoint.id, load, m_policy.neededShare);
        if (!isRemoved)
            target.push_back(load);
    }
    return target;
}

// Returns true if the load may be ordered now. A load that the newest order contains already takes
// no further tokens from the load budget until the load timeout.
bool order_planner::mayLoad(const endpoint_spec &endpoint, const engine_load &wanted,
                            time_point now)
{
    const engine &state = m_engines[endpoint.id];
    if (state.newestOrder && contains(state.newestOrder->loads, wanted)
        && now < state.newestOrder->sentAt + m_policy.loadTimeout)
        return true;
    return m_budget.take(wanted.layers.size(), now);
}

bool order_planner::isModelSettled(time_point now, const order_authority &authority) const
{
    return std::all_of(m_endpoints.begin(), m_endpoints.end(), [&](const endpoint_spec *endpoint) {
        const auto found = m_engines.find(endpoint->id);
        return found == m_engines.end() || !isFresh(found->second, now)
               || isSettled(*endpoint, now, authority);
    });
}

// Returns true if no order of a previous holder can change any more what the engine reports. There
// are two cases:
// - An engine that checks the fencing number refuses such orders once it has accepted an order of
//   the new holder.
// - For an engine that does not check it, the previous holder's lease must have expired.
// In both cases the engine's newest report must show its state from after that point.
bool order_planner::isSettled(const endpoint_spec &endpoint, time_point now,
                              const order_authority &authority) const
{
    const engine &state = m_engines.at(endpoint.id);
    const time_point settledAt
            = endpoint.checksFencing ? state.fencedAt : authority.removalsAllowedFrom;
    if (endpoint.checksFencing && !state.isFenced)
        return false;
    return now >= settledAt && state.reportedAt >= settledAt + m_policy.reportLag;
}

bool order_planner::needsOrder(const endpoint_spec &endpoint,
                               const std::vector<engine_load> &target,
                               const plan_context &current) const
{
    const time_point now = current.now;
    const engine &state = m_engines.at(endpoint.id);
    const bool isOrdered = state.newestOrder && sameLoads(state.newestOrder->loads, target);
    const bool isDone = sameLoads(state.report->loads, target);
    if (isOrdered && !state.isAccepted)
        return now >= state.newestOrder->sentAt + m_policy.resendAfter;
    if (isOrdered) {
        const bool resolvesOrders = endpoint.checksFencing && !state.unresolvedOrders.empty()
                                    && current.authority.fencing > state.newestOrder->fencing;
        return resolvesOrders
               || (!isDone && now >= state.newestOrder->sentAt + m_policy.loadTimeout);
    }
    const bool mustFence = endpoint.checksFencing && !state.isFenced;
    return mustFence || !isDone;
}

} // namespace fescuedeck
