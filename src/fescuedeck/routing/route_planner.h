// Selects the stages that a request runs on.
//
// Production uses the policy chooseRoute. routing/baseline_policies.h has simple policies of the
// same type, route_policy, for comparison. chooseRoute has no state, so it is thread-safe as long
// as neither the view nor the random generator is changed by other threads during the call.
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

struct route
{
    // In order of layers. Together, the stages run every layer of the model exactly once.
    std::vector<route_stage> stages;
    // True if the endpoint of a stage is at its in-flight limit. A new request should then wait in
    // the queue instead.
    bool isFull = false;
};

struct route_request
{
    std::string failureDomain;         // of the router
    std::vector<std::string> excluded; // endpoint IDs, for example those that failed this request
    int promptTokens = 0;
    int outputTokens = 1; // predicted
    // Maps the ID of an endpoint to the number of prompt tokens that it probably has in its cache.
    std::map<std::string, int> cachedTokens;
    // True for a suspect request, which may crash endpoints and therefore runs alone on them. The
    // endpoints with the least other work are chosen. The caller reserves them with
    // fleet_state::setExclusive and starts the request when they are idle.
    bool exclusiveRun = false;
    // True if the stages send activations directly to each other. Otherwise the router transfers
    // them, so every stage costs a round trip from the router's failure domain.
    bool stagesForward = false;
};

using route_policy = std::function<result<route>(const layer_graph &, const fleet_view &,
                                                 const route_request &, random_fn &)>;

// Returns the route with the least cost, which is the predicted time per output token plus
// penalties for loaded, full and suspect endpoints. Fails with NoRoute if the endpoints that are
// usable and not excluded do not cover every layer.
result<route> chooseRoute(const layer_graph &graph, const fleet_view &view,
                          const route_request &request, random_fn &random);

// Holds the current graph of a model. rebuildIfChanged builds a new graph before it replaces the
// current one, so route selection never waits for it. Only one thread at a time may call
// rebuildIfChanged; graph may be called on any thread.
class route_table
{
public:
    explicit route_table(graph_request request);

    // Rebuilds the graph if the topology of the view differs. Returns true if it was rebuilt.
    bool rebuildIfChanged(const fleet_view &view);
    std::shared_ptr<const layer_graph> graph() const;

private:
    graph_request m_request;
    std::shared_ptr<const layer_graph> m_graph; // accessed only by std::atomic_load and _store
};

} // namespace fescuedeck

#endif
