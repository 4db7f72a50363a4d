#include "fescuedeck/gateway/chain_finder.h"

#include <algorithm>
#include <limits>

namespace fescuedeck {
namespace {

constexpr double unreachable = std::numeric_limits<double>::infinity();

// Last step of the cheapest path that runs all layers before one boundary.
struct boundary_state
{
    double cost = unreachable;          // of the whole path
    int from = -1;                      // previous boundary
    const chain_stage *stage = nullptr; // runs layers [from, this boundary)
};

// Returns the layers at which some stage begins or ends, in order. There is always a cheapest chain
// that changes engines only there.
std::vector<int> boundariesOf(const std::vector<chain_stage> &stages, int layers)
{
    std::vector<int> boundaries = { 0, layers };
    for (const chain_stage &stage : stages) {
        boundaries.push_back(stage.heldLayers.begin);
        boundaries.push_back(stage.heldLayers.end);
    }
    std::sort(boundaries.begin(), boundaries.end());
    boundaries.erase(std::unique(boundaries.begin(), boundaries.end()), boundaries.end());
    return boundaries;
}

// Extends the cheapest path to layer from by a part of the stage that ends before layer to, if that
// is the cheapest path to layer to so far.
void extend(std::vector<boundary_state> &states, const chain_stage &stage, int from, int to,
            double partCost)
{
    const double cost = states[static_cast<std::size_t>(from)].cost + partCost
                        + stage.costPerLayer * (to - from);
    boundary_state &target = states[static_cast<std::size_t>(to)];
    if (cost < target.cost)
        target = { cost, from, &stage };
}

std::vector<chain_part> partsOf(const std::vector<boundary_state> &states, int layers)
{
    std::vector<chain_part> parts;
    for (int at = layers; at > 0;) {
        const boundary_state &state = states[static_cast<std::size_t>(at)];
        parts.push_back({ state.stage->endpoint, state.stage->address, { state.from, at } });
        at = state.from;
    }
    std::reverse(parts.begin(), parts.end());
    return parts;
}

// If the cheapest path uses an engine twice, that engine also runs the layers between its two
// parts. It holds them, because an engine holds one contiguous range.
void mergeRepeatedEngines(std::vector<chain_part> &parts)
{
    for (std::size_t first = 0; first < parts.size(); ++first) {
        std::size_t last = parts.size() - 1;
        while (parts[last].endpoint != parts[first].endpoint)
            --last;
        if (last == first)
            continue;
        parts[first].layers.end = parts[last].layers.end;
        parts.erase(parts.begin() + static_cast<std::ptrdiff_t>(first) + 1,
                    parts.begin() + static_cast<std::ptrdiff_t>(last) + 1);
    }
}

} // namespace

std::optional<layer_chain> findChain(const std::vector<chain_stage> &stages, int layers,
                                     double partCost, int maxParts)
{
    if (layers <= 0)
        return std::nullopt;
    const std::vector<int> boundaries = boundariesOf(stages, layers);
    std::vector<boundary_state> states(static_cast<std::size_t>(boundaries.back()) + 1);
    states[0].cost = 0;
    for (const int from : boundaries) {
        if (states[static_cast<std::size_t>(from)].cost == unreachable)
            continue;
        for (const chain_stage &stage : stages) {
            if (from < stage.heldLayers.begin || from >= stage.heldLayers.end)
                continue;
            for (const int to : boundaries) {
                if (to > from && to <= stage.heldLayers.end && to <= layers)
                    extend(states, stage, from, to, partCost);
            }
        }
    }
    const double cost = states[static_cast<std::size_t>(layers)].cost;
    if (cost == unreachable)
        return std::nullopt;
    layer_chain chain{ partsOf(states, layers), cost };
    mergeRepeatedEngines(chain.parts);
    if (static_cast<int>(chain.parts.size()) > maxParts)
        return std::nullopt;
    return chain;
}

} // namespace fescuedeck
