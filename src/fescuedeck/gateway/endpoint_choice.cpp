#include "fescuedeck/gateway/endpoint_choice.h"

#include <algorithm>
#include <map>

#include "fescuedeck/gateway/layer_placement.h"

namespace fescuedeck {
namespace {

// An endpoint of another domain is chosen if the own ones are busier by this share of their slots.
constexpr double otherDomainLoadPenalty = 0.5;
// Bytes between domains are dear, so that a chain of another domain must be less crowded by this
// much.
constexpr double otherDomainCrowdingPenalty = 0.35;
// Engines preempt requests when their cache is full, which delays all of them. Requests differ in
// size, so that this share of the cache is as much as can be used without that.
constexpr double usableCacheShare = 0.8;
// A chain that takes this long for each token leaves too little room to the callers' pauses.
constexpr double slowTokenMs = 60;
// Cost of a further part of a chain, in milliseconds a token: the hop between two engines.
constexpr double partCostMs = 0.2;
// An engine's cost grows by this factor until its slots are full.
constexpr double fullSlotsCostFactor = 3;
// Requests name at most this many engines.
constexpr int maxChainParts = 32;

double loadOf(const endpoint_record &endpoint)
{
    const double slots = std::max(1, endpoint.entry.slots);
    return (endpoint.inFlight + 1) * endpoint.slowness / slots;
}

bool isCandidate(const endpoint_ptr &endpoint, const choice_request &request)
{
    return endpoint->isUsable(request.now) && request.excluded.count(endpoint->entry.id) == 0;
}

// 1 means as many tokens as fit.
double fillOf(const engine_spec &spec, const endpoint_record &endpoint, const chain_part &part)
{
    const accelerator_kind *kind = spec.findKind(endpoint.entry.accelerator);
    if (kind == nullptr || !endpoint.entry.layers)
        return 0;
    const double room
            = usableCacheShare
              * cacheTokens(spec, *kind, endpoint.entry.layers->size(), part.layers.size());
    const double used = endpoint.tokensInFlight + endpoint.peerTokens;
    return room > 0 ? used / room : 1;
}

double costPerLayer(const engine_spec &spec, const endpoint_record &endpoint)
{
    const accelerator_kind *kind = spec.findKind(endpoint.entry.accelerator);
    const double factor = kind == nullptr ? 1 : kind->stepFactor;
    const double busy = static_cast<double>(endpoint.inFlight + endpoint.peerInFlight)
                        / std::max(1, spec.slots);
    double fill = 0;
    if (endpoint.entry.layers) {
        const int layers = endpoint.entry.layers->size();
        fill = fillOf(spec, endpoint, { {}, {}, { 0, layers } });
    }
    const double loadFactor
            = 1 + (fullSlotsCostFactor - 1) * std::min(1.0, std::max(busy, fill * fill));
    return spec.stepMs * factor * endpoint.slowness * loadFactor / std::max(1, spec.layers);
}

std::map<std::string, std::vector<chain_stage>>
stagesByGroup(const engine_spec &spec, const std::vector<endpoint_ptr> &endpoints,
              const choice_request &request)
{
    std::vector<placement_engine> engines;
    for (const endpoint_ptr &endpoint : endpoints) {
        engines.push_back({ endpoint->entry.id, endpoint->entry.failureDomain,
                            endpoint->entry.accelerator, endpoint->entry.layers, false });
    }
    const auto groups = placementGroups(spec, engines, placement_policy{});
    std::map<std::string, std::vector<chain_stage>> stages;
    for (const endpoint_ptr &endpoint : endpoints) {
        if (!endpoint->entry.layers || !isCandidate(endpoint, request))
            continue;
        stages[groups.at(endpoint->entry.failureDomain)].push_back(
                { endpoint->entry.id, endpoint->entry.address, *endpoint->entry.layers,
                  costPerLayer(spec, *endpoint) });
    }
    return stages;
}

endpoint_ptr findIn(const std::vector<endpoint_ptr> &endpoints, const std::string &id)
{
    const auto found
            = std::find_if(endpoints.begin(), endpoints.end(),
                           [&](const endpoint_ptr &endpoint) { return endpoint->entry.id == id; });
    return found == endpoints.end() ? nullptr : *found;
}

} // namespace

std::optional<destination> chooseEndpoint(const std::vector<endpoint_ptr> &endpoints,
                                          const choice_request &request)
{
    endpoint_ptr best;
    double bestLoad = 0;
    for (const endpoint_ptr &endpoint : endpoints) {
        if (!isCandidate(endpoint, request))
            continue;
        const bool isSameDomain = endpoint->entry.failureDomain == request.failureDomain;
        const double load = loadOf(*endpoint) + (isSameDomain ? 0 : otherDomainLoadPenalty);
        if (!best || load < bestLoad) {
            best = endpoint;
            bestLoad = load;
        }
    }
    if (!best)
        return std::nullopt;
    return destination{ best, {}, { best }, 0 };
}

namespace {

destination destinationOf(const std::vector<endpoint_ptr> &endpoints, layer_chain chain)
{
    destination chosen;
    for (const chain_part &part : chain.parts)
        chosen.stages.push_back(findIn(endpoints, part.endpoint));
    chosen.first = chosen.stages.front();
    chosen.chain = std::move(chain.parts);
    return chosen;
}

// Grows slowly while a chain has room and steeply when its caches or its steps are at their limit.
double crowdingOf(double fill, double tokenMs)
{
    const double slow = tokenMs / slowTokenMs;
    return fill * fill * fill * fill + slow * slow;
}

} // namespace

std::optional<destination> chooseChain(const engine_spec &spec,
                                       const std::vector<endpoint_ptr> &endpoints,
                                       const choice_request &request)
{
    std::optional<destination> best;
    double bestCrowding = 0;
    for (const auto &[group, stages] : stagesByGroup(spec, endpoints, request)) {
        std::optional<layer_chain> chain
                = findChain(stages, spec.layers, partCostMs, maxChainParts);
        if (!chain)
            continue;
        const double tokenMs = chain->cost;
        destination candidate = destinationOf(endpoints, std::move(*chain));
        for (std::size_t i = 0; i < candidate.stages.size(); ++i) {
            const double fill = fillOf(spec, *candidate.stages[i], candidate.chain[i]);
            candidate.fill = std::max(candidate.fill, fill);
        }
        double crowding = crowdingOf(candidate.fill, tokenMs);
        if (group != request.failureDomain)
            crowding += otherDomainCrowdingPenalty;
        if (!best || crowding < bestCrowding) {
            best = std::move(candidate);
            bestCrowding = crowding;
        }
    }
    return best;
}

} // namespace fescuedeck
