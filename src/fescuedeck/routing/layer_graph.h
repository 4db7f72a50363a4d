// The graph in which routes of one model are chosen.
//
// A vertex is a (layer boundary, failure domain) pair, an edge is an endpoint that runs the layers
// between two boundaries. Edges are implied: an endpoint may run every sub-range of its layers
// between two boundaries, so the graph stores endpoints and boundaries. A graph is immutable after
// it is built and may be shared between threads.
#ifndef FESCUEDECK_ROUTING_LAYER_GRAPH_H
#define FESCUEDECK_ROUTING_LAYER_GRAPH_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "fescuedeck/base/layer_range.h"
#include "fescuedeck/fleet/fleet_state.h"

namespace fescuedeck {

struct graph_endpoint
{
    int slot = 0; // in fleet_view::endpoints
    std::string id;
    int domain = 0; // in layer_graph::failureDomains
    layer_range layers;
    int first = 0;              // index of the boundary at which its layers begin
    int last = 0;               // index of the boundary at which they end
    double tokensPerSecond = 0; // for the whole range, when the graph was built
    // Part of the model's token rate that it should carry, in units of its whole range; see
    // flow_split.
    double share = 0;
};

// One-way latency in seconds from one failure domain to another.
using link_time_fn = std::function<double(const std::string &from, const std::string &to)>;

struct layer_graph
{
    std::uint64_t topology = 0; // of the view that it was built from
    std::string model;
    std::string version;
    int layers = 0;
    std::vector<int> boundaries;             // increasing, from 0 to layers
    std::vector<std::string> failureDomains; // sorted
    std::vector<graph_endpoint> endpoints;   // usable ones, by slot
    std::vector<double> linkSeconds;         // row: from domain, column: to domain
    double bound = 0;                        // tokens/s, see maximumFlow

    int domainIndex(const std::string &domain) const; // -1 if unknown
    double link(int from, int to) const { return linkSeconds[from * failureDomains.size() + to]; }
};

struct graph_request
{
    std::string model;
    std::string version;
    int layers = 0;
    link_time_fn linkTime; // may be empty: all links take no time
};

// Builds the graph of the usable endpoints and fills shares and bound by maximumFlow.
layer_graph buildLayerGraph(const fleet_view &view, const graph_request &request);

} // namespace fescuedeck

#endif
