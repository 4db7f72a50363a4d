// Upper bound of a model's throughput and the split of its tokens that attains it.
//
// Use it on topology changes. The bound is the linear program
//     maximize T  subject to  sum over endpoints that hold segment s of x(e, s) >= T * layers(s),
//                             sum over segments of x(e, s) <= tokensPerSecond(e) * layers(e),
// where a segment is the layers between two neighbouring boundaries and x is in layer-tokens/s.
// Every routing satisfies these constraints, whichever way it cuts the ranges, so T is a true upper
// bound; a split that cuts at boundaries attains it. A flow over whole ranges only (vertices are
// boundaries, an edge is a whole range) would bound just the routings that never cut a range. For a
// fixed T the program is a bipartite flow; T is found by Newton's method on its minimum cut.
#ifndef FESCUEDECK_ROUTING_MAXIMUM_FLOW_H
#define FESCUEDECK_ROUTING_MAXIMUM_FLOW_H

#include <vector>

#include "fescuedeck/routing/layer_graph.h"

namespace fescuedeck {

// Part of the token rate that an endpoint runs between two boundaries.
struct edge_flow
{
    int endpoint; // index in layer_graph::endpoints
    int first;    // indices in layer_graph::boundaries
    int last;
    double tokensPerSecond;
};

struct flow_split
{
    double tokensPerSecond = 0; // 0 if a layer has no endpoint
    std::vector<edge_flow> edges;
    // For each endpoint of the graph: its part of the model's token rate in units of its whole
    // range. Half of the range for every token is 0.5.
    std::vector<double> shares;
};

flow_split maximumFlow(const layer_graph &graph);

} // namespace fescuedeck

#endif
