// Computes how many tokens per second a set of layer ranges can serve together.
#ifndef FESCUEDECK_ORDERS_CHAIN_CAPACITY_H
#define FESCUEDECK_ORDERS_CHAIN_CAPACITY_H

#include <map>
#include <utility>

namespace fescuedeck::detail {

// Maps the begin and end of a layer range to the tokens per second of all endpoints that hold it.
using range_capacities = std::map<std::pair<int, int>, double>;

// Returns the capacity in tokens per second for a model with this number of layers. A request needs
// a chain of ranges, each of which begins where the one before ends, from layer 0 to the last
// layer. So the result is the maximum flow from layer 0 to the last layer, where each range is an
// edge from its begin to its end.
double chainCapacity(range_capacities ranges, int layers);

} // namespace fescuedeck::detail

#endif
