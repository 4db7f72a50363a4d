// Decides which engine holds which layers of a model. The plan depends only on the arguments, so a
// new holder of the placement lease continues the plan of the previous one.
//
// Engines are planned in groups. A failure domain that can hold a whole chain is a group of its
// own, because sending activations between domains is expensive. The other domains hold one part of
// the layers each if together they can hold a chain, so that chains change domains rarely.
// Otherwise they join the group of the largest domain. Ranges that no engine holds are assigned
// first, to engines that hold no layers or only layers that another engine of the group also holds.
// If these engines do not suffice, the group is planned with room for fewer requests, and engines
// next to a missing range extend theirs. A missing range is loaded alone, because that takes least
// time; later the engine extends it as far as its memory allows.
#ifndef FESCUEDECK_GATEWAY_LAYER_PLACEMENT_H
#define FESCUEDECK_GATEWAY_LAYER_PLACEMENT_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fescuedeck/base/layer_range.h"
#include "fescuedeck/gateway/gateway_config.h"

namespace fescuedeck {

// One engine as the planner sees it. The caller leaves out draining and lost engines.
struct placement_engine
{
    std::string id;
    std::string failureDomain;
    std::string accelerator;
    std::optional<layer_range> range; // held, or ordered and not yet loaded
    bool isBusy = false;              // has a pending order, must not get another
};

struct placement_policy
{
    // Number of requests of usual size whose KV cache must fit into an engine in addition to its
    // layers.
    int concurrentRequests = 96;
    // The same if a group cannot hold a whole chain otherwise.
    int minConcurrentRequests = 32;
};

struct placement_decision
{
    std::string id;
    layer_range range;
    bool closesGap = false; // no engine of the group held some of these layers
};

// Returns the largest number of layers that leaves room for the KV cache of this many requests of
// usual size; at least 1 if one layer fits at all, 0 otherwise.
int layerCapacity(const engine_spec &spec, const accelerator_kind &kind, int concurrentRequests);

// Returns the number of tokens whose KV cache fits into an engine that holds heldLayers layers and
// runs runLayers of them.
double cacheTokens(const engine_spec &spec, const accelerator_kind &kind, int heldLayers,
                   int runLayers);

// Returns the group of each failure domain. Domains with the same group are planned together.
std::map<std::string, std::string> placementGroups(const engine_spec &spec,
                                                   const std::vector<placement_engine> &engines,
                                                   const placement_policy &policy);

// Returns the ranges that engines must load now, the most important first. No engine appears twice.
std::vector<placement_decision> planLayers(const engine_spec &spec,
                                           const std::vector<placement_engine> &engines,
                                           const placement_policy &policy);

} // namespace fescuedeck

#endif
