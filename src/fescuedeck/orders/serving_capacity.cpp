#include "fescuedeck/orders/serving_capacity.h"

#include <algorithm>

#include "fescuedeck/orders/chain_capacity.h"

namespace fescuedeck::detail {
namespace {

// Two capacities may differ by this much only because their summands were added in another order.
constexpr double relativeTolerance = 1e-6;

bool holdsModel(const std::vector<engine_load> &loads, const std::string &model)
{
    return std::any_of(loads.begin(), loads.end(),
                       [&](const engine_load &load) { return load.model == model; });
}

// Returns the load of the model that an endpoint serves. If it holds several, the wanted load is
// preferred if wantedFirst is true, and any other load if it is false. Returns null if there is
// none.
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

// Returns the tokens per second of the endpoint with this load. The bundle gives the rate for the
// wanted range, and the rate is inversely proportional to the number of layers.
double rateOf(const endpoint_spec &endpoint, const engine_load &load)
{
    return endpoint.tokensPerSecond * endpoint.layers.size() / std::max(1, load.layers.size());
}

} // namespace

engine_load wantedLoad(const bundle &content, const endpoint_spec &endpoint)
{
    const model_spec *model = findModel(content, endpoint.model);
    return { endpoint.model, endpoint.version, endpoint.layers,
             model == nullptr ? std::vector<std::string>() : model->adapters };
}

serving_capacity::serving_capacity(const bundle &content, engine_holdings held)
    : m_bundle(content)
    , m_held(std::move(held))
{
}

const std::vector<engine_load> &serving_capacity::loadsOf(const std::string &endpoint) const
{
    static const std::vector<engine_load> none;
    const auto found = m_held.find(endpoint);
    return found == m_held.end() ? none : found->second;
}

double serving_capacity::currentCapacity(const std::string &model)
{
    const auto known = m_currentCapacity.find(model);
    if (known != m_currentCapacity.end())
        return known->second;
    return m_currentCapacity[model] = computeCapacity(model, m_held);
}

double serving_capacity::wantedCapacity(const std::string &model)
{
    const auto known = m_wantedCapacity.find(model);
    if (known != m_wantedCapacity.end())
        return known->second;
    engine_holdings held;
    for (const candidate &each : candidatesOf(model)) {
        if (each.wanted.model == model)
            held[each.endpoint->id] = { each.wanted };
    }
    return m_wantedCapacity[model] = computeCapacity(model, held);
}

bool serving_capacity::removeIfSpare(const std::string &endpoint, const engine_load &load,
                                     double share)
{
    const double floor = std::min(currentCapacity(load.model), share * wantedCapacity(load.model));
    std::vector<engine_load> &loads = m_held[endpoint];
    const std::vector<engine_load> before = loads;
    loads.erase(std::remove(loads.begin(), loads.end(), load), loads.end());
    const double after = computeCapacity(load.model, m_held);
    if (after < floor * (1 - relativeTolerance)) {
        loads = before;
        return false;
    }
    m_currentCapacity[load.model] = after;
    return true;
}

// Returns the endpoints that hold a range of the model or are to hold one.
const std::vector<serving_capacity::candidate> &
serving_capacity::candidatesOf(const std::string &model)
{
    const auto known = m_candidates.find(model);
    if (known != m_candidates.end())
        return known->second;
    std::vector<candidate> &candidates = m_candidates[model];
    for (const endpoint_spec &endpoint : m_bundle.endpoints) {
        if (endpoint.model == model || holdsModel(loadsOf(endpoint.id), model))
            candidates.push_back({ &endpoint, wantedLoad(m_bundle, endpoint) });
    }
    return candidates;
}

double serving_capacity::computeCapacity(const std::string &model, const engine_holdings &held)
{
    return std::max(computeCapacity(model, held, true), computeCapacity(model, held, false));
}

double serving_capacity::computeCapacity(const std::string &model, const engine_holdings &held,
                                         bool wantedFirst)
{
    const model_spec *spec = findModel(m_bundle, model);
    if (spec == nullptr)
        return 0;
    std::map<std::string, range_capacities> byVersion;
    for (const candidate &each : candidatesOf(model)) {
        const auto found = held.find(each.endpoint->id);
        const engine_load *load
                = found == held.end() ? nullptr
                                      : chooseLoad(found->second, model, each.wanted, wantedFirst);
        if (load != nullptr)
            byVersion[load->version][{ load->layers.begin, load->layers.end }]
                    += rateOf(*each.endpoint, *load);
    }
    double total = 0;
    for (const auto &[version, ranges] : byVersion)
        total += chainCapacity(ranges, spec->layers);
    return total;
}

} // namespace fescuedeck::detail
