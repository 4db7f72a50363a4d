// Plans which engine of one group holds which layers, for layer_placement.
#ifndef FESCUEDECK_GATEWAY_GROUP_PLAN_H
#define FESCUEDECK_GATEWAY_GROUP_PLAN_H

#include <optional>
#include <utility>
#include <vector>

#include "fescuedeck/base/layer_range.h"
#include "fescuedeck/gateway/layer_placement.h"

namespace fescuedeck::detail {

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

} // namespace fescuedeck::detail

#endif
