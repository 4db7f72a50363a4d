// Splits the layers of a model among failure domains that are each too small for all of them.
#ifndef FESCUEDECK_GATEWAY_DOMAIN_PARTS_H
#define FESCUEDECK_GATEWAY_DOMAIN_PARTS_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fescuedeck/base/layer_range.h"
#include "fescuedeck/gateway/layer_placement.h"

namespace fescuedeck::detail {

// Returns the part of a held range that lies in the target, counted from the first layer of the
// target; empty if there is none.
std::optional<layer_range> heldPart(const std::optional<layer_range> &held,
                                    const layer_range &target);

// Returns the part of the layers for each domain of capacities, so that a chain
// through these domains changes domains as rarely as possible. A domain keeps the part of which it
// holds most. Empty if the domains cannot hold the parts, or if engines hold layers of other parts,
// which they would have to give up. The domains are planned as one group then.
// capacities is in layers, by domain. engines may include those of other domains.
std::map<std::string, layer_range> partsOfDomains(int layers,
                                                  const std::vector<placement_engine> &engines,
                                                  const std::map<std::string, int> &capacities);

} // namespace fescuedeck::detail

#endif
