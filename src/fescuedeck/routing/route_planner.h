// Selection of the stages that a request runs on.
//
// chooseRoute is the policy of production; routing/baseline_policies.h has simple ones for
// comparison behind the same hook. Pure functions: thread-safe as long as the view does not change
// during the call.
#ifndef FESCUEDECK_ROUTING_ROUTE_PLANNER_H
#define FESCUEDECK_ROUTING_ROUTE_PLANNER_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/random.h"
#include "fescuedeck/fleet/fleet_state.h"
#include "fescuedeck/routing/layer_graph.h"

namespace fescuedeck {

struct route_stage
{
    std::string endpoint;
    layer_range layers;
};

// The ranges partition [0, layers) in order.
struct route
{
    std::vector<route_stage> stages;
    // A stage is at its in-flight limit: a new request should wait in the queue instead.
    bool isFull = false;
};

struct route_request
{
    std::string failureDomain;         // of the router
    std::vector<std::string> excluded; // endpoint ids, for example those that failed this request
    int promptTokens = 0;
    int outputTokens = 1; // predicted
    // Endpoint id -> prompt tokens whose prefix it probably has cached.
    std::map<std::string, int> cachedTokens;
    // The request may crash endpoints: choose the endpoints with the least other work. The caller
    // reserves them (fleet_state::setExclusive) and starts when they are idle.
    bool exclusiveRun = false;
    // The stages exchange activations directly. Otherwise the router carries them, and every stage
    // costs a round trip from the router's domain.
    bool stagesForward = false;
};

using route_policy = std::function<result<route>(const layer_graph &, const fleet_view &,
                                                 const route_request &, random_fn &)>;

// Shortest path by predicted time for each output token. Fails with NoRoute if the endpoints that
// are usable and not excluded do not cover every layer.
result<route> chooseRoute(const layer_graph &graph, const fleet_view &view,
                          const route_request &request, random_fn &random);

// The current graph of a model. rebuild() prepares a new graph beside the current one and swaps
// them, so that route selection never waits for it. One writer at a time; readers on any thread.
class route_table
{
public:
    explicit route_table(graph_request request);

    // Returns true if the topology differed and the graph was rebuilt.
    bool rebuildIfChanged(const fleet_view &view);
    std::shared_ptr<const layer_graph> graph() const;

private:
    graph_request m_request;
    std::shared_ptr<const layer_graph> m_graph; // accessed by the std::atomic_ functions
};

} // namespace fescuedeck

#endif
