// The graph in which the routes of one model are chosen.
//
// A layer boundary is a layer index at which the model or the range of an endpoint begins or ends.
// A vertex of the graph is a pair of a layer boundary and a failure domain. An edge is an endpoint
// that runs the layers between two boundaries. The graph stores only endpoints and boundaries,
// because they determine the edges: an endpoint may run every part of its range between two
// boundaries. A graph is immutable after it is built and may be shared between threads.
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
    int slot = 0; // index in fleet_view::endpoints
    std::string id;
    int domain = 0; // index in layer_graph::failureDomains
    layer_range layers;
    int first = 0; // index in layer_graph::boundaries of the start of the range
    int last = 0;  // index in layer_graph::boundaries of the end of the range
    // Rate at which the endpoint can run its whole range, as of the time the graph was built.
    double tokensPerSecond = 0;
    // Fraction of the model's token rate that the endpoint should run, see flow_split::shares.
    double share = 0;
};

// Returns the one-way latency in seconds from one failure domain to another.
using link_time_fn = std::function<double(const std::string &from, const std::string &to)>;

struct layer_graph
{
    std::uint64_t topology = 0; // fleet_view::topology of the view that it was built from
    std::string model;
    std::string version;
    int layers = 0;
    std::vector<int> boundaries;             // increasing, from 0 to layers
    std::vector<std::string> failureDomains; // sorted
    std::vector<graph_endpoint> endpoints;   // the usable endpoints, in order of slot
    std::vector<double> linkSeconds;         // matrix; row: source domain, column: target domain
    double bound = 0;                        // highest possible throughput in tokens/s

    // Returns the index of the domain in failureDomains, or -1 if it is not there.
    int domainIndex(const std::string &domain) const;
    // Returns the latency in seconds between the domains with these indices.
    double link(int from, int to) const { return linkSeconds[from * failureDomains.size() + to]; }
};

struct graph_request
{
    std::string model;
    std::string version;
    int layers = 0;
    link_time_fn linkTime; // if empty, the latency of every link is 0
};

// Builds the graph of the usable endpoints that hold layers of this model version. The shares and
// the bound come from maximumFlow.
layer_graph buildLayerGraph(const fleet_view &view, const graph_request &request);

} // namespace fescuedeck

#endif
