#include "fescuedeck/routing/baseline_policies.h"

#include <algorithm>
#include <map>
#include <memory>

namespace fescuedeck {
namespace {

using candidates = std::vector<const graph_endpoint *>;
using pick_fn = std::function<const graph_endpoint *(const candidates &, int layer)>;

candidates holdersOf(const layer_graph &graph, const fleet_view &view, const route_request &request,
                     int layer)
{
    candidates found;
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

result<route> walk(const layer_graph &graph, const fleet_view &view, const route_request &request,
                   const pick_fn &pick)
{
    route found;
    int layer = 0;
    while (layer < graph.layers) {
        const candidates holders = holdersOf(graph, view, request, layer);
        if (holders.empty())
            return makeFailure(errc::NoRoute, "model " + graph.model
                                                      + ": no usable endpoint for layer "
                                                      + std::to_string(layer));
        const graph_endpoint *chosen = pick(holders, layer);
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
        return walk(graph, view, request, [&random](const candidates &holders, int) {
            return holders[uniformBelow(random, holders.size())];
        });
    };
}

route_policy roundRobinPolicy()
{
    auto counters = std::make_shared<std::map<int, std::size_t>>();
    return [counters](const layer_graph &graph, const fleet_view &view,
                      const route_request &request, random_fn &) {
        return walk(graph, view, request, [&counters](const candidates &holders, int layer) {
            return holders[(*counters)[layer]++ % holders.size()];
        });
    };
}

route_policy fewestInFlightPolicy()
{
    return [](const layer_graph &graph, const fleet_view &view, const route_request &request,
              random_fn &random) {
        return walk(graph, view, request, [&](const candidates &holders, int) {
            const graph_endpoint *best = nullptr;
            double least = 0;
            const std::size_t start = uniformBelow(random, holders.size());
            for (std::size_t i = 0; i < holders.size(); ++i) {
                const graph_endpoint *one = holders[(start + i) % holders.size()];
                const double load = view.endpoints[one->slot].inFlight;
                if (best == nullptr || load < least) {
                    best = one;
                    least = load;
                }
            }
            return best;
        });
    };
}

} // namespace fescuedeck
