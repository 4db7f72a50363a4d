// Computes the highest possible throughput of a model, and how to split its tokens between the
// endpoints to reach it.
//
// A segment is the range of layers between two neighbouring boundaries. A layer-token is the work
// of one layer on one token. Let x(e, s) be the layer-tokens/s that endpoint e runs in segment s.
// The throughput is the largest T of the linear program
//     maximize T  subject to  for each segment s:  sum over its endpoints of x(e, s)
//                                                      >= T * layers(s),
//                             for each endpoint e: sum over its segments of x(e, s)
//                                                      <= tokensPerSecond(e) * layers(e).
// T is an upper bound, because every set of routes satisfies these constraints, wherever its routes
// divide the ranges of the endpoints. The bound can be reached by routes that divide ranges at
// boundaries. A maximum flow over whole ranges, in which an edge is the whole range of an endpoint,
// would be the bound only of routes that never divide a range.
//
// For a fixed T, the program is a flow problem on a bipartite graph. T is found by Newton's method
// on the minimum cut of that graph.
#ifndef FESCUEDECK_ROUTING_MAXIMUM_FLOW_H
#define FESCUEDECK_ROUTING_MAXIMUM_FLOW_H

#include <vector>

#include "fescuedeck/routing/layer_graph.h"

namespace fescuedeck {

// The token rate that an endpoint runs from one boundary to another.
struct edge_flow
{
    int endpoint; // index in layer_graph::endpoints
    int first;    // index in layer_graph::boundaries of the first layer
    int last;     // index in layer_graph::boundaries of the end
    double tokensPerSecond;
};

struct flow_split
{
    double tokensPerSecond = 0; // the throughput; 0 if a layer has no endpoint
    std::vector<edge_flow> edges;
    // For each endpoint of the graph, the work that it does per token of the model, relative to the
    // work of its whole range. For example, an endpoint that runs half of its range for every token
    // has 0.5, and so has one that runs its whole range for every second token.
    std::vector<double> shares;
};

// Meant to be called on topology changes, not for each request. Thread-safe.
flow_split maximumFlow(const layer_graph &graph);

} // namespace fescuedeck

#endif
