#include "fescuedeck/gateway/group_plan.h"

#include <algorithm>
#include <cmath>

namespace fescuedeck::detail {

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

} // namespace fescuedeck::detail
