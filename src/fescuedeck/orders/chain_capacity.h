// Capacity of a set of layer ranges that together form a pipeline.
#ifndef FESCUEDECK_ORDERS_CHAIN_CAPACITY_H
#define FESCUEDECK_ORDERS_CHAIN_CAPACITY_H

#include <map>
#include <utility>

namespace fescuedeck::detail {

// Tokens per second of all endpoints that hold a range, by its begin and end.
using range_capacities = std::map<std::pair<int, int>, double>;

// Maximum flow from layer 0 to the last layer, in tokens per second, where each range is an edge
// from its begin to its end.
double chainCapacity(range_capacities ranges, int layers);

} // namespace fescuedeck::detail

#endif
