// Finds the cheapest chain of engines that runs every layer of a model once and in order.
#ifndef FESCUEDECK_GATEWAY_CHAIN_FINDER_H
#define FESCUEDECK_GATEWAY_CHAIN_FINDER_H

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fescuedeck/base/layer_range.h"

namespace fescuedeck {

// An engine that may be part of a chain.
struct chain_stage
{
    std::string endpoint; // id
    std::string address;
    layer_range heldLayers;
    double costPerLayer = 0; // in any unit, the same for all stages
    std::string failureDomain;
    double costPerUse = 0; // in addition, independent of the number of layers
};

// What a chain costs in addition to its layers, and its longest length.
struct chain_costs
{
    double part = 0; // of each part, in the unit of the stages
    // Of a change from one failure domain to another one between two parts.
    std::function<double(const std::string &from, const std::string &to)> domainChange;
    int maxParts = 1;
};

// The layers that one engine runs for a request.
struct chain_part
{
    std::string endpoint; // id
    std::string address;
    layer_range layers;

    friend bool operator==(const chain_part &a, const chain_part &b)
    {
        return a.endpoint == b.endpoint && a.layers == b.layers;
    }
};

struct layer_chain
{
    std::vector<chain_part> parts;
    double cost = 0;
};

// Returns the cheapest chain over layers [0, layers). Each engine appears at most once. Empty if no
// stage holds some layer, or if the cheapest chain has too many parts.
std::optional<layer_chain> findChain(const std::vector<chain_stage> &stages, int layers,
                                     const chain_costs &costs);

} // namespace fescuedeck

#endif
