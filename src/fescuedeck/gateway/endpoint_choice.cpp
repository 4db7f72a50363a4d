#include "fescuedeck/gateway/endpoint_choice.h"

#include <algorithm>
#include <map>

#include "fescuedeck/base/hash.h"
#include "fescuedeck/gateway/layer_placement.h"
#include "fescuedeck/gateway/load_estimate.h"
#include "fescuedeck/gateway/stale_choice.h"

namespace fescuedeck {
namespace {

// An endpoint in another domain is chosen if those in the domain of the gateway are busier by more
// than this share of their slots.
constexpr double otherDomainLoadPenalty = 0.5;
// Traffic between domains is expensive. A chain in another domain is therefore preferred to one in
// the domain of the gateway only if its crowding is lower by more than this.
constexpr double otherDomainCrowdingPenalty = 0.35;
// Engines preempt requests when their cache is full, which delays all of them. Because requests
// differ in size, only this share of the cache can be used without preemption.
constexpr double usableCacheShare = 0.8;
// A chain that takes this long for each token comes too close to the gaps that callers accept.
constexpr double slowTokenMs = 60;
// Cost of each part of a chain in milliseconds per token, for the hop between two engines.
constexpr double partCostMs = 0.2;
// Cost of a change of domains in milliseconds per token. It exceeds that of any chain, because the
// activations of a whole prompt then share the link between the domains with other requests.
constexpr double domainChangeCostMs = 1000;
// A request can name at most this many engines.
constexpr int maxChainParts = 32;
// Beyond this used share of the usable cache, requests go to other engines that hold the same
// layers.
constexpr double comfortableFill = 0.6;
// Cost of an engine whose usable cache is full, in milliseconds per token.
constexpr double fullCacheCostMs = 100;
// Bounds the capacity of an endpoint that reports fast steps.
constexpr double minSlowdown = 0.1;
// The cost of an engine whose slots are full is this many times its cost when idle.
constexpr double fullSlotsCostFactor = 3;

double loadOf(const endpoint_record &endpoint)
{
    const double slots = std::max(1, endpoint.entry.slots);
    return (endpoint.inFlight + 1) * endpoint.slowdown / slots;
}

bool isCandidate(const endpoint_ptr &endpoint, const choice_request &request)
{
    return endpoint->isUsable(request.now) && request.excluded.count(endpoint->entry.id) == 0;
}

// Tokens that fit into the usable cache of the engine if requests run the given number of layers
// there; empty if the cache or the layers of the engine are not known.
std::optional<double> usableCache(const engine_spec &spec, const endpoint_record &endpoint,
                                  int layers)
{
    const accelerator_kind *kind = spec.findKind(endpoint.entry.accelerator);
    if (kind == nullptr || !endpoint.entry.layers)
        return std::nullopt;
    return usableCacheShare * cacheTokens(spec, *kind, endpoint.entry.layers->size(), layers);
}

double fillOf(double used, double room)
{
    return room > 0 ? used / room : 1;
}

// Used share of the usable cache of the engine; 1 if no more tokens fit.
double fillOf(const engine_spec &spec, const endpoint_record &endpoint, const chain_part &part)
{
    const std::optional<double> room = usableCache(spec, endpoint, part.layers.size());
    return room ? fillOf(endpoint.tokensInFlight + endpoint.peerTokensInFlight, *room) : 0;
}

// In milliseconds per token. An engine whose cache fills up costs more than any detour over slower
// engines with free caches: the requests that it cannot hold wait or preempt others.
double costOfFullCache(double fill)
{
    return std::max(0.0, fill - comfortableFill) * fullCacheCostMs / (1 - comfortableFill);
}

} // namespace

double cacheFill(const engine_spec &spec, const endpoint_record &endpoint)
{
    if (!endpoint.entry.layers)
        return 0;
    return fillOf(spec, endpoint, { {}, {}, { 0, endpoint.entry.layers->size() } });
}

double freeTokens(const engine_spec &spec, const std::vector<endpoint_ptr> &endpoints,
                  double maxFill, time_point now)
{
    double layerTokens = 0;
    for (const endpoint_ptr &endpoint : endpoints) {
        const accelerator_kind *kind = spec.findKind(endpoint->entry.accelerator);
        if (kind == nullptr || !endpoint->entry.layers || !endpoint->isUsable(now))
            continue;
        const int held = endpoint->entry.layers->size();
        const double used = endpoint->tokensInFlight + endpoint->peerTokensInFlight;
        const double room = usableCacheShare * cacheTokens(spec, *kind, held, held);
        layerTokens += std::max(0.0, maxFill * room - used) * held;
    }
    return layerTokens / std::max(1, spec.layers);
}

namespace {

// In milliseconds per token.
double costPerLayer(const engine_spec &spec, const endpoint_record &endpoint, double fill)
{
    const accelerator_kind *kind = spec.findKind(endpoint.entry.accelerator);
    const double factor = kind == nullptr ? 1 : kind->stepFactor;
    const double busy = static_cast<double>(endpoint.inFlight + endpoint.peerInFlight)
                        / std::max(1, spec.slots);
    const double loadFactor
            = 1 + (fullSlotsCostFactor - 1) * std::min(1.0, std::max(busy, fill * fill));
    return spec.stepMs * factor * endpoint.slowdown * loadFactor / std::max(1, spec.layers);
}

// How long engines usually have a request, as far as this gateway knows.
duration usualHoldTime(const std::vector<endpoint_ptr> &endpoints)
{
    duration total{};
    int known = 0;
    for (const endpoint_ptr &endpoint : endpoints) {
        total += endpoint->usualHoldTime;
        known += endpoint->usualHoldTime > duration::zero() ? 1 : 0;
    }
    return known == 0 ? duration::zero() : total / known;
}

// Tokens of the requests that the peers have probably begun in each domain since they reported, as
// far as choices spread over them. A request counts at each engine of its chain, in proportion to
// the layers that the engine holds, so once altogether.
std::map<std::string, double>
unseenTokens(const engine_spec &spec, const std::vector<endpoint_ptr> &endpoints, time_point now)
{
    struct domain_work
    {
        double own = 0;
        double peers = 0;
        double unseen = 0;
    };
    const duration holdTime = usualHoldTime(endpoints);
    std::map<std::string, domain_work> work;
    for (const endpoint_ptr &endpoint : endpoints) {
        if (!endpoint->entry.layers)
            continue;
        domain_work &domain = work[endpoint->entry.failureDomain];
        const double part
                = static_cast<double>(endpoint->entry.layers->size()) / std::max(1, spec.layers);
        const duration age = estimateLoad(0, 0, endpoint->peerFigures, now).age;
        domain.own += endpoint->tokensInFlight * part;
        domain.peers += endpoint->peerTokensInFlight * part;
        domain.unseen += expectedArrivals(endpoint->peerTokensInFlight, age, holdTime) * part;
    }
    std::map<std::string, double> tokens;
    for (const auto &[name, domain] : work)
        tokens[name] = domain.unseen * spreadPart(domain.own, domain.peers);
    return tokens;
}

// Used share of the usable cache that the engine may have now, for the choice of a chain. Unseen
// requests of the peers may have filled what is free of it. Each request assumes a different part
// of them at each engine, so that those of several gateways spread.
double expectedFill(const engine_spec &spec, const endpoint_record &endpoint, double unseen,
                    const choice_request &request)
{
    const std::optional<double> room = usableCache(spec, endpoint, endpoint.entry.layers->size());
    if (!room)
        return 0;
    const double used = estimateLoad(endpoint.tokensInFlight, endpoint.peerTokensInFlight,
                                     endpoint.peerFigures, request.now)
                                .load;
    const double spread = std::min(unseen, std::max(0.0, *room - used));
    return fillOf(used + loadOffset(endpoint.entry.id, spread, request.requestHash), *room);
}

std::map<std::string, std::vector<chain_stage>>
stagesByDomain(const engine_spec &spec, const std::vector<endpoint_ptr> &endpoints,
               const choice_request &request)
{
    std::map<std::string, std::vector<chain_stage>> stages;
    std::map<std::string, double> unseen = unseenTokens(spec, endpoints, request.now);
    for (const endpoint_ptr &endpoint : endpoints) {
        if (!endpoint->entry.layers || !isCandidate(endpoint, request))
            continue;
        const endpoint_entry &entry = endpoint->entry;
        const double fill = expectedFill(spec, *endpoint, unseen[entry.failureDomain], request);
        stages[entry.failureDomain].push_back({ entry.id, entry.address, *entry.layers,
                                                costPerLayer(spec, *endpoint, fill),
                                                entry.failureDomain, costOfFullCache(fill) });
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

namespace {

// The peers do not report requests to plain services. Each has probably begun one since this
// gateway chose last; of their requests this gateway knows its own part.
double unseenRequests(int peers)
{
    return static_cast<double>(peers) / (peers + 1);
}

// Chooses among the endpoints of the domain of the least loaded one.
endpoint_ptr spreadOver(const std::vector<endpoint_ptr> &endpoints, const endpoint_ptr &best,
                        const choice_request &request)
{
    std::vector<endpoint_ptr> near;
    std::vector<choice_candidate> candidates;
    for (const endpoint_ptr &endpoint : endpoints) {
        if (!isCandidate(endpoint, request)
            || endpoint->entry.failureDomain != best->entry.failureDomain)
            continue;
        near.push_back(endpoint);
        const double capacity
                = std::max(1, endpoint->entry.slots) / std::max(minSlowdown, endpoint->slowdown);
        candidates.push_back({ static_cast<double>(endpoint->inFlight), capacity });
    }
    return near[chooseByStaleLoad(candidates, unseenRequests(request.domainPeers),
                                  request.requestHash)];
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
    if (request.domainPeers > 0)
        best = spreadOver(endpoints, best, request);
    return destination{ best, {}, { best }, 0 };
}

namespace {

destination destinationOf(const engine_spec &spec, const std::vector<endpoint_ptr> &endpoints,
                          layer_chain chain)
{
    destination chosen;
    for (const chain_part &part : chain.parts) {
        const endpoint_ptr stage = findIn(endpoints, part.endpoint);
        chosen.stages.push_back(stage);
        chosen.fill = std::max(chosen.fill, fillOf(spec, *stage, part));
    }
    chosen.first = chosen.stages.front();
    chosen.chain = std::move(chain.parts);
    return chosen;
}

// The links between domains carry whole prompts one after the other. Requests prefer different
// links, so that none of them carries all.
chain_costs chainCosts(std::uint64_t requestHash)
{
    const auto domainChange = [requestHash](const std::string &from, const std::string &to) {
        constexpr std::uint64_t steps = 1024;
        const std::uint64_t preference = stableHash(from + "\n" + to, requestHash) % steps;
        return domainChangeCostMs * (1 + static_cast<double>(preference) / (4 * steps));
    };
    return { partCostMs, domainChange, maxChainParts };
}

std::optional<destination>
chooseChainAcrossDomains(const engine_spec &spec, const std::vector<endpoint_ptr> &endpoints,
                         const std::map<std::string, std::vector<chain_stage>> &stages,
                         const chain_costs &costs)
{
    std::vector<chain_stage> all;
    for (const auto &[domain, domainStages] : stages)
        all.insert(all.end(), domainStages.begin(), domainStages.end());
    std::optional<layer_chain> chain = findChain(all, spec.layers, costs);
    if (!chain)
        return std::nullopt;
    return destinationOf(spec, endpoints, std::move(*chain));
}

// Expected time of one token in milliseconds.
double tokenMsOf(const engine_spec &spec, const destination &chain)
{
    double total = 0;
    for (std::size_t i = 0; i < chain.stages.size(); ++i) {
        total += costPerLayer(spec, *chain.stages[i], cacheFill(spec, *chain.stages[i]))
                         * chain.chain[i].layers.size()
                 + partCostMs;
    }
    return total;
}

// Grows slowly while a chain has capacity, and steeply when its caches are almost full or its steps
// are slow.
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
    const auto stages = stagesByDomain(spec, endpoints, request);
    const chain_costs costs = chainCosts(request.requestHash);
    std::optional<destination> best;
    double bestCrowding = 0;
    for (const auto &[domain, domainStages] : stages) {
        std::optional<layer_chain> chain = findChain(domainStages, spec.layers, costs);
        if (!chain)
            continue;
        destination candidate = destinationOf(spec, endpoints, std::move(*chain));
        double crowding = crowdingOf(candidate.fill, tokenMsOf(spec, candidate));
        if (domain != request.failureDomain)
            crowding += otherDomainCrowdingPenalty;
        if (!best || crowding < bestCrowding) {
            best = std::move(candidate);
            bestCrowding = crowding;
        }
    }
    return best ? best : chooseChainAcrossDomains(spec, endpoints, stages, costs);
}

chain_candidates chainCandidates(const engine_spec &spec,
                                 const std::vector<endpoint_ptr> &endpoints,
                                 const choice_request &request)
{
    chain_candidates found{ {}, chainCosts(request.requestHash) };
    for (const auto &[domain, stages] : stagesByDomain(spec, endpoints, request))
        found.stages.insert(found.stages.end(), stages.begin(), stages.end());
    return found;
}

} // namespace fescuedeck
