#include "fescuedeck/routing/layer_graph.h"

#include <algorithm>
#include <set>

#include "fescuedeck/routing/maximum_flow.h"

namespace fescuedeck {
namespace {

int indexOf(const std::vector<int> &sorted, int value)
{
    return static_cast<int>(std::lower_bound(sorted.begin(), sorted.end(), value) - sorted.begin());
}

void fillLinks(layer_graph &graph, const link_time_fn &linkTime)
{
    for (const std::string &from : graph.failureDomains) {
        for (const std::string &to : graph.failureDomains)
            graph.linkSeconds.push_back(linkTime ? linkTime(from, to) : 0.0);
    }
}

} // namespace

int layer_graph::domainIndex(const std::string &domain) const
{
    const auto found = std::lower_bound(failureDomains.begin(), failureDomains.end(), domain);
    if (found == failureDomains.end() || *found != domain)
        return -1;
    return static_cast<int>(found - failureDomains.begin());
}

layer_graph buildLayerGraph(const fleet_view &view, const graph_request &request)
{
    layer_graph graph;
    graph.topology = view.topology;
    graph.model = request.model;
    graph.version = request.version;
    graph.layers = request.layers;
    std::set<int> boundaries{ 0, request.layers };
    std::set<std::string> domains;
    for (int slot = 0; slot < static_cast<int>(view.endpoints.size()); ++slot) {
        const endpoint_view &endpoint = view.endpoints[slot];
        const bool fits = endpoint.layers.size() > 0
                          && layer_range{ 0, request.layers }.contains(endpoint.layers);
        if (!endpoint.usable || !fits || endpoint.model != request.model
            || endpoint.version != request.version)
            continue;
        boundaries.insert({ endpoint.layers.begin, endpoint.layers.end });
        domains.insert(endpoint.failureDomain);
        graph_endpoint vertex;
        vertex.slot = slot;
        vertex.id = endpoint.id;
        vertex.layers = endpoint.layers;
        vertex.tokensPerSecond = endpoint.tokensPerSecond;
        graph.endpoints.push_back(std::move(vertex));
    }
    graph.boundaries.assign(boundaries.begin(), boundaries.end());
    graph.failureDomains.assign(domains.begin(), domains.end());
    fillLinks(graph, request.linkTime);
    for (graph_endpoint &endpoint : graph.endpoints) {
        endpoint.first = indexOf(graph.boundaries, endpoint.layers.begin);
        endpoint.last = indexOf(graph.boundaries, endpoint.layers.end);
        endpoint.domain = graph.domainIndex(view.endpoints[endpoint.slot].failureDomain);
    }
    const flow_split split = maximumFlow(graph);
    graph.bound = split.tokensPerSecond;
    for (std::size_t i = 0; i < graph.endpoints.size(); ++i)
        graph.endpoints[i].share = split.shares[i];
    return graph;
}

} // namespace fescuedeck
