#include "fescuedeck/gateway/layer_placement.h"

#include <algorithm>
#include <cmath>

namespace fescuedeck {
namespace {

constexpr double bytesPerMb = 1e6;
// Step in which the number of requests is lowered for a group that cannot hold all layers.
constexpr int requestsStep = 16;
// Name of the group of the domains that cannot hold a whole chain.
constexpr const char *pooledGroup = "";

struct planned_engine
{
    const placement_engine *engine = nullptr;
    int capacity = 0; // layers
    double stepFactor = 1;
    std::optional<layer_range> range;
    bool isAssigned = false;
};

// One group of engines and the number of engines that hold each layer.
class group_plan
{
public:
    group_plan(int layers, std::vector<planned_engine> engines)
        : m_layers(layers)
        , m_engines(std::move(engines))
        , m_holders(static_cast<std::size_t>(layers))
    {
        for (const planned_engine &engine : m_engines) {
            count(engine.range, 1);
            m_hasHolders = m_hasHolders || engine.range;
        }
    }

    // Assigns engines to the layers that no engine holds. Returns whether every layer is held then.
    bool closeGaps();
    // Like closeGaps(), and engines whose range is next to a gap may extend it.
    bool closeGapsByExtension();
    void useEmptyEngines();
    // Extends the ranges of engines that have memory left.
    void extendRanges();
    const std::vector<placement_decision> &decisions() const { return m_decisions; }

private:
    int &holders(int layer) { return m_holders[static_cast<std::size_t>(layer)]; }
    int holders(int layer) const { return m_holders[static_cast<std::size_t>(layer)]; }

    void count(const std::optional<layer_range> &range, int change);
    std::optional<layer_range> firstGap(int from) const;
    bool isMovable(const planned_engine &engine) const;
    planned_engine *bestEngineFor(const layer_range &gap);
    planned_engine *bestNeighbourOf(const layer_range &gap);
    int sizeToLoad(const planned_engine &engine, const layer_range &gap) const;
    layer_range windowAround(const layer_range &gap, int capacity) const;
    double redundancyGain(const layer_range &window) const;
    layer_range mostUsefulWindow(int capacity) const;
    void assign(planned_engine &engine, const layer_range &range, bool closesGap);

    int m_layers;
    std::vector<planned_engine> m_engines;
    std::vector<int> m_holders; // by layer
    bool m_hasHolders = false;  // some engine of the group holds layers
    std::vector<placement_decision> m_decisions;
};

void group_plan::count(const std::optional<layer_range> &range, int change)
{
    if (!range)
        return;
    for (int layer = std::max(0, range->begin); layer < std::min(m_layers, range->end); ++layer)
        holders(layer) += change;
}

std::optional<layer_range> group_plan::firstGap(int from) const
{
    int begin = from;
    while (begin < m_layers && holders(begin) > 0)
        ++begin;
    if (begin == m_layers)
        return std::nullopt;
    int end = begin;
    while (end < m_layers && holders(end) == 0)
        ++end;
    return layer_range{ begin, end };
}

bool group_plan::isMovable(const planned_engine &engine) const
{
    if (engine.isAssigned || engine.engine->isBusy || engine.capacity == 0)
        return false;
    if (!engine.range)
        return true;
    for (int layer = engine.range->begin; layer < engine.range->end; ++layer) {
        if (layer < m_layers && holders(layer) < 2)
            return false;
    }
    return true;
}

// Returns the movable engine that covers most of the gap; null if there is none. Ties are broken in
// this order: an engine without layers, then the smallest capacity, so that large engines remain
// for large gaps, then the fastest, then the lowest id.
planned_engine *group_plan::bestEngineFor(const layer_range &gap)
{
    planned_engine *best = nullptr;
    const auto covered
            = [&](const planned_engine &engine) { return std::min(engine.capacity, gap.size()); };
    const auto isPreferred = [&](const planned_engine &a, const planned_engine &b) {
        if (covered(a) != covered(b))
            return covered(a) > covered(b);
        if (a.range.has_value() != b.range.has_value())
            return !a.range.has_value();
        if (a.capacity != b.capacity)
            return a.capacity < b.capacity;
        if (a.stepFactor != b.stepFactor)
            return a.stepFactor < b.stepFactor;
        return a.engine->id < b.engine->id;
    };
    for (planned_engine &engine : m_engines) {
        if (isMovable(engine) && (best == nullptr || isPreferred(engine, *best)))
            best = &engine;
    }
    return best;
}

// Returns the value of one more engine that holds the layers of a window. Layers that few engines
// hold count most.
double group_plan::redundancyGain(const layer_range &window) const
{
    double gain = 0;
    for (int layer = window.begin; layer < window.end; ++layer)
        gain += std::pow(0.25, holders(layer));
    // A window that covers the whole range of an engine gets a bonus, because the loss of that
    // engine would no longer leave a gap. Two windows that cover half an engine's range each do not
    // achieve that.
    constexpr double soleHolderGain = 2;
    for (const planned_engine &engine : m_engines) {
        if (!engine.range || !window.contains(*engine.range))
            continue;
        const bool isSoleHolder = std::any_of(m_holders.begin() + engine.range->begin,
                                              m_holders.begin() + engine.range->end,
                                              [](int holderCount) { return holderCount == 1; });
        gain += isSoleHolder ? soleHolderGain : 0;
    }
    return gain;
}

layer_range group_plan::windowAround(const layer_range &gap, int capacity) const
{
    const int size = std::min(capacity, m_layers);
    if (size <= gap.size()) {
        const int begin = std::min(gap.begin, m_layers - size);
        return { begin, begin + size };
    }
    layer_range best{ -1, -1 };
    double bestGain = -1;
    const int minBegin = std::max(0, gap.end - size);
    const int maxBegin = std::min(gap.begin, m_layers - size);
    for (int begin = maxBegin; begin >= minBegin; --begin) {
        const layer_range window{ begin, begin + size };
        const double gain = redundancyGain(window);
        if (gain > bestGain) {
            best = window;
            bestGain = gain;
        }
    }
    return best;
}

layer_range group_plan::mostUsefulWindow(int capacity) const
{
    const int size = std::min(capacity, m_layers);
    layer_range best{ 0, size };
    double bestGain = -1;
    for (int begin = 0; begin + size <= m_layers; ++begin) {
        const layer_range window{ begin, begin + size };
        const double gain = redundancyGain(window);
        if (gain > bestGain) {
            best = window;
            bestGain = gain;
        }
    }
    return best;
}

void group_plan::assign(planned_engine &engine, const layer_range &range, bool closesGap)
{
    count(engine.range, -1);
    engine.range = range;
    engine.isAssigned = true;
    count(engine.range, 1);
    m_decisions.push_back({ engine.engine->id, range, closesGap });
}

// Requests wait for the gaps of a group that has served before, so only the gap is loaded there.
int group_plan::sizeToLoad(const planned_engine &engine, const layer_range &gap) const
{
    return m_hasHolders ? std::min(engine.capacity, gap.size()) : engine.capacity;
}

bool group_plan::closeGaps()
{
    for (std::optional<layer_range> gap = firstGap(0); gap; gap = firstGap(0)) {
        planned_engine *engine = bestEngineFor(*gap);
        if (engine == nullptr)
            return false;
        assign(*engine, windowAround(*gap, sizeToLoad(*engine, *gap)), true);
    }
    return true;
}

// Returns the engine next to the gap that can extend its range furthest into it; null if there is
// none.
planned_engine *group_plan::bestNeighbourOf(const layer_range &gap)
{
    planned_engine *best = nullptr;
    const auto spare
            = [](const planned_engine &engine) { return engine.capacity - engine.range->size(); };
    for (planned_engine &engine : m_engines) {
        const bool isFree = engine.range && !engine.isAssigned && !engine.engine->isBusy;
        if (!isFree || (engine.range->end != gap.begin && engine.range->begin != gap.end))
            continue;
        if (spare(engine) > 0 && (best == nullptr || spare(engine) > spare(*best)))
            best = &engine;
    }
    return best;
}

bool group_plan::closeGapsByExtension()
{
    for (std::optional<layer_range> gap = firstGap(0); gap; gap = firstGap(0)) {
        if (planned_engine *neighbour = bestNeighbourOf(*gap)) {
            const layer_range &held = *neighbour->range;
            const int added = std::min(neighbour->capacity - held.size(), gap->size());
            const bool isBelow = held.end == gap->begin;
            assign(*neighbour,
                   isBelow ? layer_range{ held.begin, held.end + added }
                           : layer_range{ held.begin - added, held.end },
                   true);
            continue;
        }
        planned_engine *engine = bestEngineFor(*gap);
        if (engine == nullptr)
            return false;
        assign(*engine, windowAround(*gap, sizeToLoad(*engine, *gap)), true);
    }
    return true;
}

void group_plan::extendRanges()
{
    for (planned_engine &engine : m_engines) {
        const bool isFree = engine.range && !engine.isAssigned && !engine.engine->isBusy;
        if (!isFree || engine.capacity <= engine.range->size())
            continue;
        const layer_range extended = windowAround(*engine.range, engine.capacity);
        if (extended != *engine.range)
            assign(engine, extended, false);
    }
}

void group_plan::useEmptyEngines()
{
    std::vector<planned_engine *> empty;
    for (planned_engine &engine : m_engines) {
        if (!engine.range && isMovable(engine))
            empty.push_back(&engine);
    }
    std::sort(empty.begin(), empty.end(), [](const planned_engine *a, const planned_engine *b) {
        if (a->capacity != b->capacity)
            return a->capacity > b->capacity;
        return a->engine->id < b->engine->id;
    });
    for (planned_engine *engine : empty)
        assign(*engine, mostUsefulWindow(engine->capacity), false);
}

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

// The part of a held range that lies in the target, counted from the first layer of the target.
std::optional<layer_range> heldPart(const std::optional<layer_range> &held,
                                    const layer_range &target)
{
    if (!held)
        return std::nullopt;
    const layer_range part{ std::max(held->begin, target.begin) - target.begin,
                            std::min(held->end, target.end) - target.begin };
    return part.size() > 0 ? std::optional(part) : std::nullopt;
}

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

// Equal parts of the layers, at least as many as the domains need if each holds one of them. Empty
// if too few domains can hold a part.
std::vector<layer_range> splitLayers(int layers, const std::map<std::string, int> &capacities)
{
    for (int parts = 2; parts <= static_cast<int>(capacities.size()); ++parts) {
        const int size = (layers + parts - 1) / parts;
        const auto able = std::count_if(capacities.begin(), capacities.end(),
                                        [&](const auto &entry) { return entry.second >= size; });
        if (able < parts)
            continue;
        std::vector<layer_range> ranges;
        for (int part = 0; part < parts; ++part)
            ranges.push_back(
                    { std::min(layers, part * size), std::min(layers, (part + 1) * size) });
        return ranges;
    }
    return {};
}

// Number of layers of the part that the engines of a domain hold, counted once for each engine.
int heldLayers(const std::vector<placement_engine> &engines, const std::string &domain,
               const layer_range &part)
{
    int held = 0;
    for (const placement_engine &engine : engines) {
        const auto inPart = heldPart(engine.range, part);
        held += engine.failureDomain == domain && inPart ? inPart->size() : 0;
    }
    return held;
}

// Index of the part of which the engines of a domain hold most; empty if they hold none.
std::optional<std::size_t> partHeldBy(const std::vector<placement_engine> &engines,
                                      const std::string &domain,
                                      const std::vector<layer_range> &parts)
{
    std::optional<std::size_t> best;
    int mostHeld = 0;
    for (std::size_t part = 0; part < parts.size(); ++part) {
        const int held = heldLayers(engines, domain, parts[part]);
        if (held > mostHeld) {
            best = part;
            mostHeld = held;
        }
    }
    return best;
}

bool holdOnlyTheirParts(const std::vector<placement_engine> &engines,
                        const std::map<std::string, layer_range> &parts)
{
    return std::all_of(engines.begin(), engines.end(), [&](const placement_engine &engine) {
        const auto part = parts.find(engine.failureDomain);
        return part == parts.end() || !engine.range || part->second.contains(*engine.range);
    });
}

// Returns the part of the layers for each domain that cannot hold a whole chain, so that a chain
// through these domains changes domains as rarely as possible. A domain keeps the part of which it
// holds most. Empty if the domains cannot hold the parts, or if engines hold layers of other parts,
// which they would have to give up. The domains are planned as one group then.
std::map<std::string, layer_range> partsOfDomains(const engine_spec &spec,
                                                  const std::vector<placement_engine> &engines,
                                                  const std::map<std::string, int> &capacities)
{
    const std::vector<layer_range> parts = splitLayers(spec.layers, capacities);
    std::map<std::string, layer_range> chosen;
    if (parts.empty())
        return chosen;
    std::vector<std::vector<std::string>> holders(parts.size()); // domains that can hold the part
    std::vector<std::string> without;
    for (const auto &[domain, capacity] : capacities) {
        const auto held = partHeldBy(engines, domain, parts);
        if (held)
            chosen[domain] = parts[*held];
        if (capacity < parts.front().size())
            continue;
        if (held)
            holders[*held].push_back(domain);
        else
            without.push_back(domain);
    }
    const auto hasFewer = [](const auto &a, const auto &b) { return a.size() < b.size(); };
    for (const std::string &domain : without)
        std::min_element(holders.begin(), holders.end(), hasFewer)->push_back(domain);
    for (std::size_t part = 0; part < parts.size(); ++part) {
        for (const std::string &domain : holders[part])
            chosen[domain] = parts[part];
    }
    // The domains that are too small for a part help to hold the first one.
    for (const auto &[domain, capacity] : capacities)
        chosen.try_emplace(domain, parts.front());
    return holdOnlyTheirParts(engines, chosen) ? chosen : std::map<std::string, layer_range>();
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
    const auto parts = partsOfDomains(spec, engines, pooled);
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
