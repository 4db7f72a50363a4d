#include "fescuedeck/routing/baseline_policies.h"

#include <algorithm>
#include <map>
#include <memory>

namespace fescuedeck {
namespace {

using endpoint_list = std::vector<const graph_endpoint *>;
using select_fn = std::function<const graph_endpoint *(const endpoint_list &, int layer)>;

endpoint_list eligibleEndpoints(const layer_graph &graph, const fleet_view &view,
                                const route_request &request, int layer)
{
    endpoint_list found;
    for (const graph_endpoint &endpoint : graph.endpoints) {
        const endpoint_view &state = view.endpoints[endpoint.slot];
        const auto &excluded = request.excluded;
        const bool isExcluded
                = std::find(excluded.begin(), excluded.end(), endpoint.id) != excluded.end();
        if (endpoint.layers.begin <= layer && layer < endpoint.layers.end && state.usable
            && !state.exclusive && state.id == endpoint.id && !isExcluded)
            found.push_back(&endpoint);
    }
    return found;
}

result<route> buildRoute(const layer_graph &graph, const fleet_view &view,
                         const route_request &request, const select_fn &selectEndpoint)
{
    route found;
    int layer = 0;
    while (layer < graph.layers) {
        const endpoint_list eligible = eligibleEndpoints(graph, view, request, layer);
        if (eligible.empty())
            return makeFailure(errc::NoRoute, "model " + graph.model
                                                      + ": no usable endpoint for layer "
                                                      + std::to_string(layer));
        const graph_endpoint *chosen = selectEndpoint(eligible, layer);
        const endpoint_view &state = view.endpoints[chosen->slot];
        found.stages.push_back({ chosen->id, { layer, chosen->layers.end } });
        found.isFull = found.isFull || (state.limit > 0 && state.inFlight >= state.limit);
        layer = chosen->layers.end;
    }
    return found;
}

} // namespace

route_policy randomPolicy()
{
    return [](const layer_graph &graph, const fleet_view &view, const route_request &request,
              random_fn &random) {
        return buildRoute(graph, view, request, [&random](const endpoint_list &eligible, int) {
            return eligible[uniformBelow(random, eligible.size())];
        });
    };
}

route_policy roundRobinPolicy()
{
    auto counters = std::make_shared<std::map<int, std::size_t>>();
    return [counters](const layer_graph &graph, const fleet_view &view,
                      const route_request &request, random_fn &) {
        return buildRoute(graph, view, request,
                          [&counters](const endpoint_list &eligible, int layer) {
                              return eligible[(*counters)[layer]++ % eligible.size()];
                          });
    };
}

route_policy fewestInFlightPolicy()
{
    return [](const layer_graph &graph, const fleet_view &view, const route_request &request,
              random_fn &random) {
        return buildRoute(graph, view, request, [&](const endpoint_list &eligible, int) {
            const graph_endpoint *best = nullptr;
            double least = 0;
            const std::size_t start = uniformBelow(random, eligible.size());
            for (std::size_t i = 0; i < eligible.size(); ++i) {
                const graph_endpoint *endpoint = eligible[(start + i) % eligible.size()];
                const double load = view.endpoints[endpoint->slot].inFlight;
                if (best == nullptr || load < least) {
                    best = endpoint;
                    least = load;
                }
            }
            return best;
        });
    };
}

} // namespace fescuedeck
