// Decides which engine holds which layers of a model. Pure: the same fleet gives the same plan, so
// that a new holder of the duty goes on where the last one stopped.
//
// Engines are planned in groups. A failure domain that can hold a whole chain is a group of its
// own, because activations between domains are dear; the other domains form one group together.
// Engines keep what they hold. Only engines that hold nothing, or nothing that another engine of
// the group does not hold as well, are given another range, and ranges that nobody holds go first.
#ifndef FESCUEDECK_GATEWAY_LAYER_PLACEMENT_H
#define FESCUEDECK_GATEWAY_LAYER_PLACEMENT_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fescuedeck/base/layer_range.h"
#include "fescuedeck/gateway/gateway_config.h"

namespace fescuedeck {

// One engine as the planner sees it. Engines that leave or are suspect are not given.
struct placement_engine
{
    std::string id;
    std::string failureDomain;
    std::string accelerator;
    std::optional<layer_range> range; // held, or ordered and still loading
    bool isBusy = false;              // an order is under way: it must not get another one
};

struct placement_policy
{
    // Requests of usual size whose KV cache must fit beside the layers of each engine.
    int concurrentRequests = 96;
};

struct placement_decision
{
    std::string id;
    layer_range range;
    bool closesGap = false; // no engine of the group held some of these layers
};

// Largest number of layers that leaves room for the KV cache of the policy's requests; at least 1
// if one layer fits at all, 0 otherwise.
int layerCapacity(const engine_spec &spec, const accelerator_kind &kind,
                  const placement_policy &policy);

// Tokens whose KV cache fits into an engine that holds so many layers and runs so many of them.
double cacheTokens(const engine_spec &spec, const accelerator_kind &kind, int heldLayers,
                   int runLayers);

// The group of each failure domain: domains with equal values are planned together.
std::map<std::string, std::string> placementGroups(const engine_spec &spec,
                                                   const std::vector<placement_engine> &engines,
                                                   const placement_policy &policy);

// Orders to give now, in order of importance. No engine appears twice.
std::vector<placement_decision> planLayers(const engine_spec &spec,
                                           const std::vector<placement_engine> &engines,
                                           const placement_policy &policy);

} // namespace fescuedeck

#endif
