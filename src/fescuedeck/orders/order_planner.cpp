#include "fescuedeck/orders/order_planner.h"

#include <algorithm>

#include "fescuedeck/orders/chain_capacity.h"

namespace fescuedeck {
namespace {

// Capacities are sums of doubles in different orders.
constexpr double relativeTolerance = 1e-6;

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

engine_load loadOf(const bundle &content, const endpoint_spec &endpoint)
{
    const model_spec *model = findModel(content, endpoint.model);
    return { endpoint.model, endpoint.version, endpoint.layers,
             model == nullptr ? std::vector<std::string>() : model->adapters };
}

// The load of the model that the endpoint would use: its wanted one first, or last.
const engine_load *chooseLoad(const std::vector<engine_load> &loads, const std::string &model,
                              const engine_load &wanted, bool wantedFirst)
{
    const engine_load *chosen = nullptr;
    for (const engine_load &load : loads) {
        if (load.model != model)
            continue;
        if (chosen == nullptr || (load == wanted) == wantedFirst)
            chosen = &load;
    }
    return chosen;
}

// The endpoint's rate holds for its wanted range; a shorter range is faster in proportion.
double rateOf(const endpoint_spec &endpoint, const engine_load &load)
{
    return endpoint.tokensPerSecond * endpoint.layers.size() / std::max(1, load.layers.size());
}

} // namespace

namespace detail {

double servingCapacity(const bundle &content, const std::string &model,
                       const std::map<std::string, std::vector<engine_load>> &held)
{
    const model_spec *spec = findModel(content, model);
    if (spec == nullptr)
        return 0;
    double best = 0;
    for (const bool wantedFirst : { true, false }) {
        std::map<std::string, range_capacities> byVersion;
        for (const endpoint_spec &endpoint : content.endpoints) {
            const auto found = held.find(endpoint.id);
            if (found == held.end())
                continue;
            const engine_load *load
                    = chooseLoad(found->second, model, loadOf(content, endpoint), wantedFirst);
            if (load != nullptr)
                byVersion[load->version][{ load->layers.begin, load->layers.end }]
                        += rateOf(endpoint, *load);
        }
        double total = 0;
        for (const auto &[version, ranges] : byVersion)
            total += chainCapacity(ranges, spec->layers);
        best = std::max(best, total);
    }
    return best;
}

} // namespace detail

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
    for (const endpoint_spec &endpoint : m_bundle->endpoints) {
        const auto found = m_engines.find(endpoint.id);
        if (found != m_engines.end())
            remaining.insert(*found);
    }
    m_engines = std::move(remaining);
}

void order_planner::report(const std::string &endpoint, const load_report &report, time_point now)
{
    engine &state = m_engines[endpoint];
    const bool hasRestarted = state.report && state.report->incarnation != report.incarnation;
    if (hasRestarted)
        forget(state);
    state.report = report;
    state.reportedAt = now;
}

void order_planner::answered(const std::string &endpoint, bool accepted, time_point now)
{
    engine &state = m_engines[endpoint];
    if (!accepted || !state.ordered)
        return;
    state.isAccepted = true;
    if (!state.isFenced)
        state.fencedAt = now;
    state.isFenced = true;
}

// The engine restarted or the authority is new. Keeps the orders that may still take effect.
void order_planner::forget(engine &state)
{
    doubtOrder(state);
    state.ordered.reset();
    state.isAccepted = false;
    state.isFenced = false;
}

// Repeats of one order share an entry, which keeps the list short while an engine does not answer.
void order_planner::doubtOrder(engine &state)
{
    if (!state.ordered || state.isAccepted)
        return;
    for (sent_order &order : state.doubtful) {
        if (sameLoads(order.loads, state.ordered->loads)) {
            order = *state.ordered;
            return;
        }
    }
    state.doubtful.push_back(*state.ordered);
}

// Drops the doubtful orders that can no longer take effect: an engine that checks the fencing
// number has accepted a higher one, or any other engine has had the time to act on them.
void order_planner::settleDoubts(time_point now)
{
    for (const endpoint_spec &endpoint : m_bundle->endpoints) {
        const auto found = m_engines.find(endpoint.id);
        if (found == m_engines.end() || found->second.doubtful.empty())
            continue;
        engine &state = found->second;
        const auto isSettled = [&](const sent_order &order) {
            if (endpoint.checksFencing)
                return state.isAccepted && state.ordered->fencing > order.fencing;
            return now >= order.at + m_policy.longestDelivery + m_policy.reportLag;
        };
        state.doubtful.erase(
                std::remove_if(state.doubtful.begin(), state.doubtful.end(), isSettled),
                state.doubtful.end());
    }
}

std::vector<engine_order> order_planner::plan(time_point now, const order_authority &authority)
{
    if (!m_bundle)
        return {};
    if (authority.since != m_since) {
        m_since = authority.since;
        for (auto &[id, state] : m_engines)
            forget(state);
    }
    settleDoubts(now);
    holdings held = currentHoldings(now);
    std::vector<engine_order> orders;
    for (const endpoint_spec *endpoint : byScarcity(held)) {
        if (auto order = planEngine(*endpoint, held, now, authority))
            orders.push_back(std::move(*order));
    }
    return orders;
}

bool order_planner::hasConverged(time_point now) const
{
    if (!m_bundle)
        return false;
    for (const endpoint_spec &endpoint : m_bundle->endpoints) {
        if (endpoint.model != m_model)
            continue;
        const auto found = m_engines.find(endpoint.id);
        if (found == m_engines.end() || !isFresh(found->second, now)
            || !sameLoads(found->second.report->loads, { wantedLoad(endpoint) }))
            return false;
    }
    return true;
}

engine_load order_planner::wantedLoad(const endpoint_spec &endpoint) const
{
    return loadOf(*m_bundle, endpoint);
}

bool order_planner::isFresh(const engine &state, time_point now) const
{
    return state.report && !state.report->isLeaving
           && now <= state.reportedAt + m_policy.reportExpiry;
}

// What each engine holds and will keep holding: reported, and not dropped by an order that the
// report may not show yet.
order_planner::holdings order_planner::currentHoldings(time_point now) const
{
    holdings held;
    for (const auto &[id, state] : m_engines) {
        if (!isFresh(state, now))
            continue;
        std::vector<engine_load> &loads = held[id];
        for (const engine_load &load : state.report->loads) {
            if (isCertain(state, load))
                loads.push_back(load);
        }
    }
    return held;
}

bool order_planner::isCertain(const engine &state, const engine_load &load)
{
    if (state.ordered && !contains(state.ordered->loads, load))
        return false;
    return std::all_of(state.doubtful.begin(), state.doubtful.end(),
                       [&](const sent_order &order) { return contains(order.loads, load); });
}

// The model's engines, those first whose wanted range the fewest engines hold, so that paced loads
// go where they are needed most.
std::vector<const endpoint_spec *> order_planner::byScarcity(const holdings &held) const
{
    std::vector<std::pair<double, const endpoint_spec *>> ranked;
    for (const endpoint_spec &endpoint : m_bundle->endpoints) {
        if (endpoint.model != m_model)
            continue;
        const engine_load wanted = wantedLoad(endpoint);
        const auto holders = std::count_if(held.begin(), held.end(), [&](const auto &entry) {
            return contains(entry.second, wanted);
        });
        ranked.emplace_back(static_cast<double>(holders), &endpoint);
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<const endpoint_spec *> endpoints;
    for (const auto &[holders, endpoint] : ranked)
        endpoints.push_back(endpoint);
    return endpoints;
}

std::optional<engine_order> order_planner::planEngine(const endpoint_spec &endpoint, holdings &held,
                                                      time_point now,
                                                      const order_authority &authority)
{
    const auto found = m_engines.find(endpoint.id);
    if (found == m_engines.end() || !isFresh(found->second, now))
        return std::nullopt;
    const std::vector<engine_load> target = targetOf(endpoint, held, now, authority);
    if (!needsOrder(endpoint, target, now, authority))
        return std::nullopt;
    engine &state = found->second;
    doubtOrder(state);
    state.ordered = sent_order{ authority.fencing, target, now };
    state.isAccepted = false;
    return engine_order{ endpoint.id, endpoint.address, authority.fencing, target };
}

std::vector<engine_load> order_planner::targetOf(const endpoint_spec &endpoint, holdings &held,
                                                 time_point now, const order_authority &authority)
{
    const engine_load wanted = wantedLoad(endpoint);
    std::vector<engine_load> target;
    if (!contains(held[endpoint.id], wanted)) {
        target = held[endpoint.id];
        if (mayLoad(endpoint, wanted, now))
            target.push_back(wanted);
        return target;
    }
    const bool mayRemove = isModelSettled(held, now, authority);
    const std::vector<engine_load> present = held[endpoint.id];
    for (const engine_load &load : present) {
        if (load == wanted || !mayRemove || !remove(endpoint.id, load, held))
            target.push_back(load);
    }
    return target;
}

// A load that was ordered already is not paid for again.
bool order_planner::mayLoad(const endpoint_spec &endpoint, const engine_load &wanted,
                            time_point now)
{
    const engine &state = m_engines[endpoint.id];
    if (state.ordered && contains(state.ordered->loads, wanted)
        && now < state.ordered->at + m_policy.loadTimeout)
        return true;
    return m_budget.take(wanted.layers.size(), now);
}

bool order_planner::isModelSettled(const holdings &held, time_point now,
                                   const order_authority &authority) const
{
    return std::all_of(m_bundle->endpoints.begin(), m_bundle->endpoints.end(),
                       [&](const endpoint_spec &endpoint) {
                           return endpoint.model != m_model || held.count(endpoint.id) == 0
                                  || isSettled(endpoint, now, authority);
                       });
}

// Takes the load out of held if the rest has the needed capacity, or no less than before.
bool order_planner::remove(const std::string &endpoint, const engine_load &load,
                           holdings &held) const
{
    const double before = servingCapacity(load.model, held);
    const double floor = std::min(before, neededCapacity(load.model));
    const std::vector<engine_load> present = held[endpoint];
    auto &kept = held[endpoint];
    kept.erase(std::find(kept.begin(), kept.end(), load));
    if (servingCapacity(load.model, held) >= floor * (1 - relativeTolerance))
        return true;
    kept = present;
    return false;
}

// True if no order of a previous holder can change what the engine reports any more. An engine that
// checks the fencing number refuses such orders once it has accepted one of the new holder; for one
// that does not, the previous holder's term must have passed. The report must be from after that.
bool order_planner::isSettled(const endpoint_spec &endpoint, time_point now,
                              const order_authority &authority) const
{
    const engine &state = m_engines.at(endpoint.id);
    const time_point settledAt = endpoint.checksFencing ? state.fencedAt : authority.removalsFrom;
    if (endpoint.checksFencing && !state.isFenced)
        return false;
    return now >= settledAt && state.reportedAt >= settledAt + m_policy.reportLag;
}

bool order_planner::needsOrder(const endpoint_spec &endpoint,
                               const std::vector<engine_load> &target, time_point now,
                               const order_authority &authority) const
{
    const engine &state = m_engines.at(endpoint.id);
    const bool isOrdered = state.ordered && sameLoads(state.ordered->loads, target);
    const bool isDone = sameLoads(state.report->loads, target);
    if (isOrdered && !state.isAccepted)
        return now >= state.ordered->at + m_policy.resendAfter;
    if (isOrdered) {
        const bool endsDoubt = endpoint.checksFencing && !state.doubtful.empty()
                               && authority.fencing > state.ordered->fencing;
        return endsDoubt || (!isDone && now >= state.ordered->at + m_policy.loadTimeout);
    }
    const bool mustFence = endpoint.checksFencing && !state.isFenced;
    return mustFence || !isDone;
}

double order_planner::servingCapacity(const std::string &model, const holdings &held) const
{
    return detail::servingCapacity(*m_bundle, model, held);
}

double order_planner::neededCapacity(const std::string &model) const
{
    holdings wanted;
    for (const endpoint_spec &endpoint : m_bundle->endpoints) {
        if (endpoint.model == model)
            wanted[endpoint.id] = { wantedLoad(endpoint) };
    }
    return m_policy.neededShare * servingCapacity(model, wanted);
}

} // namespace fescuedeck
