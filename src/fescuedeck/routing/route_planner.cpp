#include "fescuedeck/routing/route_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace fescuedeck {
namespace {

constexpr double unreachable = std::numeric_limits<double>::infinity();
// Cost of a hop in addition to the work on its layers, because the router transfers and checks its
// data.
constexpr double hopOverheadSeconds = 0.0002;
// Cost of a stage whose endpoint is at its in-flight limit. It is so high that such endpoints are
// chosen only if every route has one.
constexpr double fullPenaltySeconds = 1000;
// Factor on the cost of a suspect endpoint.
constexpr double suspectCostFactor = 8;
// Costs are increased by a random fraction up to this value, so that endpoints whose costs differ
// by less are chosen at random.
constexpr double tieBreakFraction = 0.02;
// Assumed time for one token through all layers when every endpoint runs its share of the split.
// The expected load of an endpoint is the number of tokens that it runs in this time.
constexpr double referenceSeconds = 0.025;
// Exponent with which the queue cost grows with the ratio of load to expected load. The queue cost
// of a layer does not depend on the speed of the accelerator, because under load a slow endpoint
// with free capacity is worth as much as a fast one.
constexpr double loadExponent = 6;
// Cost of a prompt token relative to an output token. It is lower because the prompt tokens are
// processed together.
constexpr double prefillCostFactor = 0.1;

// The costs of one endpoint for the current request.
struct stage_cost
{
    bool usable = false;
    bool full = false;   // at its in-flight limit
    double fixed = 0;    // seconds per token, for any number of layers
    double perLayer = 0; // seconds per token and layer
};

// The last stage of the cheapest known path to a (boundary, domain) pair.
struct path_step
{
    double cost = unreachable; // of the whole path
    int endpoint = -1;         // index in layer_graph::endpoints
    int boundary = -1;         // boundary at which the stage begins
    int domain = -1;           // domain of the stage before it, -1 if there is none
};

bool isExcluded(const route_request &request, const std::string &id)
{
    const auto &excluded = request.excluded;
    return std::find(excluded.begin(), excluded.end(), id) != excluded.end();
}

// Returns the load that is expected at the endpoint: its share of the tokens that the model can run
// at its highest possible throughput in referenceSeconds.
double expectedLoad(const layer_graph &graph, const graph_endpoint &endpoint,
                    const endpoint_view &view)
{
    return std::max(endpoint.share * graph.bound * referenceSeconds * view.weight, 0.5);
}

// Returns the ratio of the load of the whole model to its expected load, but at least 1. The load
// of each endpoint is divided by this ratio, so when the model is overloaded only the differences
// between its endpoints matter.
double relativeModelLoad(const layer_graph &graph, const fleet_view &view)
{
    double load = 0;
    double expected = 0;
    for (const graph_endpoint &endpoint : graph.endpoints) {
        const endpoint_view &state = view.endpoints[endpoint.slot];
        load += state.inFlight * endpoint.layers.size();
        expected += expectedLoad(graph, endpoint, state) * endpoint.layers.size();
    }
    return expected > 0 ? std::max(1.0, load / expected) : 1.0;
}

// Returns the fraction of the prompt that the endpoint probably has in its cache.
double cachedFraction(const route_request &request, const std::string &id)
{
    if (request.cachedTokens.empty() || request.promptTokens <= 0)
        return 0;
    const auto found = request.cachedTokens.find(id);
    if (found == request.cachedTokens.end())
        return 0;
    return std::clamp(static_cast<double>(found->second) / request.promptTokens, 0.0, 1.0);
}

// Adds the learned wait at an endpoint to the cost per layer, although a hop over few layers waits
// as long as one over many. This favors routes that use fewer layers of an overloaded endpoint,
// because they reduce its load.
stage_cost costOf(const graph_endpoint &endpoint, const endpoint_view &view,
                  const route_request &request, const layer_graph &graph, double modelLoad,
                  const random_fn &random)
{
    stage_cost cost;
    cost.usable = view.usable && !view.exclusive && view.id == endpoint.id
                  && view.tokensPerSecond > 0 && !isExcluded(request, endpoint.id);
    if (!cost.usable)
        return cost;
    cost.full = view.limit > 0 && view.inFlight >= view.limit;
    const double layerSeconds = 1 / (view.tokensPerSecond * endpoint.layers.size());
    const double load = view.inFlight / expectedLoad(graph, endpoint, view) / modelLoad;
    const double queue = referenceSeconds / graph.layers * std::pow(load, loadExponent);
    double work = 1;
    if (request.promptTokens > 0) {
        const double prompt = request.promptTokens * (1 - cachedFraction(request, endpoint.id));
        work += prefillCostFactor * prompt / std::max(1, request.outputTokens);
    }
    const double wait = view.waitSeconds / endpoint.layers.size();
    cost.perLayer = (layerSeconds + queue + wait) * work;
    if (request.exclusiveRun)
        cost.perLayer += view.inFlight;
    if (view.phase == endpoint_phase::Suspect)
        cost.perLayer *= suspectCostFactor;
    const double tieBreak = 1 + tieBreakFraction * uniformReal(random);
    cost.perLayer *= tieBreak;
    cost.fixed = (hopOverheadSeconds + view.hopSeconds - view.waitSeconds) * tieBreak
                 + (cost.full ? fullPenaltySeconds : 0);
    return cost;
}

// Returns the latency in seconds that a stage in domain `to` adds to a route. The previous stage is
// in domain `from`, which is -1 for the first stage. The router's domain is -1 if the graph does
// not have it.
double linkCost(const layer_graph &graph, const route_request &request, int router, int from,
                int to)
{
    if (request.stagesForward)
        return from < 0 ? 0 : graph.link(from, to);
    return router < 0 ? 0 : graph.link(router, to) + graph.link(to, router);
}

// Returns the error message for the first layers that no usable endpoint holds.
std::string describeUncoveredLayers(const layer_graph &graph, const std::vector<stage_cost> &costs)
{
    for (std::size_t s = 0; s + 1 < graph.boundaries.size(); ++s) {
        const layer_range segment{ graph.boundaries[s], graph.boundaries[s + 1] };
        bool covered = false;
        for (std::size_t i = 0; i < costs.size(); ++i)
            covered = covered || (costs[i].usable && graph.endpoints[i].layers.contains(segment));
        if (!covered)
            return "model " + graph.model + ": no usable endpoint for layers " + toString(segment);
    }
    return "model " + graph.model + ": no endpoints";
}

// Finds the cheapest path by dynamic programming over all (boundary, domain) pairs, in order of
// boundaries.
class path_search
{
public:
    path_search(const layer_graph &graph, const route_request &request,
                const std::vector<stage_cost> &costs)
        : m_graph(graph)
        , m_request(request)
        , m_costs(costs)
        , m_domains(static_cast<int>(graph.failureDomains.size()))
        , m_router(graph.domainIndex(request.failureDomain))
        , m_steps(graph.boundaries.size() * m_domains)
    {
    }

    // Returns the domain in which the cheapest path ends, or -1 if no path covers all layers.
    int run()
    {
        const int last = static_cast<int>(m_graph.boundaries.size()) - 1;
        for (int boundary = 0; boundary < last; ++boundary) {
            for (int i = 0; i < static_cast<int>(m_costs.size()); ++i) {
                const graph_endpoint &endpoint = m_graph.endpoints[i];
                if (m_costs[i].usable && endpoint.first <= boundary && boundary < endpoint.last)
                    relax(boundary, i);
            }
        }
        int best = -1;
        for (int domain = 0; domain < m_domains; ++domain) {
            if (at(last, domain).cost < unreachable
                && (best < 0 || at(last, domain).cost < at(last, best).cost))
                best = domain;
        }
        return best;
    }

    // Returns the cheapest route that ends in the domain. Call it after run.
    route trace(int domain) const
    {
        route found;
        int boundary = static_cast<int>(m_graph.boundaries.size()) - 1;
        while (boundary > 0) {
            const path_step &step = m_steps[boundary * m_domains + domain];
            const graph_endpoint &endpoint = m_graph.endpoints[step.endpoint];
            found.stages.push_back(
                    { endpoint.id,
                      { m_graph.boundaries[step.boundary], m_graph.boundaries[boundary] } });
            found.isFull = found.isFull || m_costs[step.endpoint].full;
            boundary = step.boundary;
            domain = step.domain;
        }
        std::reverse(found.stages.begin(), found.stages.end());
        return found;
    }

private:
    path_step &at(int boundary, int domain) { return m_steps[boundary * m_domains + domain]; }

    // Updates the paths that end with a stage on this endpoint that begins at the boundary.
    void relax(int boundary, int index)
    {
        const graph_endpoint &endpoint = m_graph.endpoints[index];
        double base = boundary == 0 ? linkCost(m_graph, m_request, m_router, -1, endpoint.domain)
                                    : unreachable;
        int domain = -1;
        for (int from = 0; boundary > 0 && from < m_domains; ++from) {
            const double cost = at(boundary, from).cost
                                + linkCost(m_graph, m_request, m_router, from, endpoint.domain);
            if (cost < base) {
                base = cost;
                domain = from;
            }
        }
        if (base == unreachable)
            return;
        base += m_costs[index].fixed;
        for (int to = boundary + 1; to <= endpoint.last; ++to) {
            const int layers = m_graph.boundaries[to] - m_graph.boundaries[boundary];
            const double cost = base + m_costs[index].perLayer * layers;
            path_step &step = at(to, endpoint.domain);
            if (cost < step.cost)
                step = { cost, index, boundary, domain };
        }
    }

    const layer_graph &m_graph;
    const route_request &m_request;
    const std::vector<stage_cost> &m_costs;
    int m_domains;
    int m_router;
    std::vector<path_step> m_steps;
};

} // namespace

result<route> chooseRoute(const layer_graph &graph, const fleet_view &view,
                          const route_request &request, random_fn &random)
{
    const double modelLoad = relativeModelLoad(graph, view);
    std::vector<stage_cost> costs;
    costs.reserve(graph.endpoints.size());
    for (const graph_endpoint &endpoint : graph.endpoints)
        costs.push_back(
                costOf(endpoint, view.endpoints[endpoint.slot], request, graph, modelLoad, random));
    path_search search(graph, request, costs);
    const int domain = search.run();
    if (domain < 0)
        return makeFailure(errc::NoRoute, describeUncoveredLayers(graph, costs));
    return search.trace(domain);
}

route_table::route_table(graph_request request)
    : m_request(std::move(request))
    , m_graph(std::make_shared<const layer_graph>())
{
}

bool route_table::rebuildIfChanged(const fleet_view &view)
{
    if (graph()->topology == view.topology)
        return false;
    auto next = std::make_shared<const layer_graph>(buildLayerGraph(view, m_request));
    std::atomic_store(&m_graph, std::shared_ptr<const layer_graph>(std::move(next)));
    return true;
}

std::shared_ptr<const layer_graph> route_table::graph() const
{
    return std::atomic_load(&m_graph);
}

} // namespace fescuedeck
