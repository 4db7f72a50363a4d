#include "fescuedeck/gateway/layer_placement.h"

#include <algorithm>

#include "fescuedeck/gateway/domain_parts.h"
#include "fescuedeck/gateway/group_plan.h"

namespace fescuedeck {
namespace {

using detail::group_plan;
using detail::heldPart;
using detail::partsOfDomains;
using detail::planned_engine;

constexpr double bytesPerMb = 1e6;
// Step in which the number of requests is lowered for a group that cannot hold all layers.
constexpr int requestsStep = 16;
// Name of the group of the domains that cannot hold a whole chain.
constexpr const char *pooledGroup = "";

int capacityOf(const engine_spec &spec, const placement_engine &engine, int concurrentRequests)
{
    const accelerator_kind *kind = spec.findKind(engine.accelerator);
    return kind == nullptr ? 0 : layerCapacity(spec, *kind, concurrentRequests);
}

// Engines that are planned together, and the layers that they are to hold.
struct planning_group
{
    std::vector<placement_engine> engines;
    layer_range target;
};

std::vector<planned_engine> enginesOf(const engine_spec &spec, const planning_group &group,
                                      int concurrentRequests)
{
    std::vector<planned_engine> members;
    for (const placement_engine &engine : group.engines) {
        planned_engine member;
        member.engine = &engine;
        member.capacity = capacityOf(spec, engine, concurrentRequests);
        member.range = heldPart(engine.range, group.target);
        if (const accelerator_kind *kind = spec.findKind(engine.accelerator))
            member.stepFactor = kind->stepFactor;
        members.push_back(member);
    }
    return members;
}

// Plans one group with room for as many requests as allow it to hold all layers. If it cannot hold
// them at all, it holds as many as fit beside the preferred number of requests.
std::vector<placement_decision> planGroup(const engine_spec &spec, const planning_group &group,
                                          const placement_policy &policy)
{
    const auto planFor = [&](int concurrentRequests) {
        return group_plan(group.target.size(), enginesOf(spec, group, concurrentRequests));
    };
    group_plan preferred = planFor(policy.concurrentRequests);
    if (preferred.closeGaps()) {
        preferred.useEmptyEngines();
        preferred.extendRanges();
        return preferred.decisions();
    }
    for (int requests = policy.concurrentRequests; requests >= policy.minConcurrentRequests;
         requests -= requestsStep) {
        group_plan plan = planFor(requests);
        if (!plan.closeGapsByExtension())
            continue;
        plan.useEmptyEngines();
        return plan.decisions();
    }
    preferred.useEmptyEngines();
    return preferred.decisions();
}

std::vector<planning_group> planningGroups(const engine_spec &spec,
                                           const std::vector<placement_engine> &engines,
                                           const placement_policy &policy)
{
    const auto names = placementGroups(spec, engines, policy);
    std::map<std::string, int> pooled; // capacities of the domains that cannot hold a whole chain
    for (const placement_engine &engine : engines) {
        if (names.at(engine.failureDomain) == pooledGroup)
            pooled[engine.failureDomain] += capacityOf(spec, engine, policy.minConcurrentRequests);
    }
    const auto parts = partsOfDomains(spec.layers, engines, pooled);
    std::map<std::string, planning_group> groups;
    for (const placement_engine &engine : engines) {
        const auto part = parts.find(engine.failureDomain);
        const bool hasPart = part != parts.end();
        planning_group &group
                = groups[hasPart ? engine.failureDomain : names.at(engine.failureDomain)];
        group.target = hasPart ? part->second : layer_range{ 0, spec.layers };
        group.engines.push_back(engine);
    }
    std::vector<planning_group> list;
    for (auto &[name, group] : groups)
        list.push_back(std::move(group));
    return list;
}

} // namespace

int layerCapacity(const engine_spec &spec, const accelerator_kind &kind, int concurrentRequests)
{
    if (spec.layers <= 0 || spec.layerMb <= 0)
        return 0;
    const double tokens = static_cast<double>(spec.usualPromptTokens + spec.usualAnswerTokens)
                          * concurrentRequests;
    const double cacheMbPerLayer = tokens * spec.cacheBytesPerToken / spec.layers / bytesPerMb;
    const int withCache = static_cast<int>(kind.memoryMb / (spec.layerMb + cacheMbPerLayer));
    // One layer is planned even if the policy's requests do not fit, but only if some memory is
    // left for KV cache, because an engine without it could not serve any request.
    const int fitting = kind.memoryMb > spec.layerMb ? 1 : 0;
    return std::min(spec.layers, std::max(withCache, fitting));
}

double cacheTokens(const engine_spec &spec, const accelerator_kind &kind, int heldLayers,
                   int runLayers)
{
    const double freeMb = std::max(0.0, kind.memoryMb - spec.layerMb * heldLayers);
    const double bytesPerToken = spec.cacheBytesPerToken * runLayers / std::max(1, spec.layers);
    return bytesPerToken > 0 ? freeMb * bytesPerMb / bytesPerToken : 0;
}

std::map<std::string, std::string> placementGroups(const engine_spec &spec,
                                                   const std::vector<placement_engine> &engines,
                                                   const placement_policy &policy)
{
    std::map<std::string, int> capacities;
    for (const placement_engine &engine : engines)
        capacities[engine.failureDomain] += capacityOf(spec, engine, policy.minConcurrentRequests);
    int pooled = 0;
    std::string largest;
    for (const auto &[domain, capacity] : capacities) {
        if (capacity < spec.layers)
            pooled += capacity;
        else if (largest.empty() || capacity > capacities.at(largest))
            largest = domain;
    }
    // Domains that cannot hold a chain even together join the domain with the largest capacity.
    const std::string rest = pooled >= spec.layers || largest.empty() ? pooledGroup : largest;
    std::map<std::string, std::string> groups;
    for (const auto &[domain, capacity] : capacities)
        groups[domain] = capacity < spec.layers ? rest : domain;
    return groups;
}

std::vector<placement_decision> planLayers(const engine_spec &spec,
                                           const std::vector<placement_engine> &engines,
                                           const placement_policy &policy)
{
    std::vector<placement_decision> decisions;
    if (spec.layers <= 0)
        return decisions;
    for (const planning_group &group : planningGroups(spec, engines, policy)) {
        for (placement_decision decision : planGroup(spec, group, policy)) {
            decision.range.begin += group.target.begin;
            decision.range.end += group.target.begin;
            decisions.push_back(std::move(decision));
        }
    }
    std::stable_partition(decisions.begin(), decisions.end(),
                          [](const placement_decision &decision) { return decision.closesGap; });
    return decisions;
}

} // namespace fescuedeck
