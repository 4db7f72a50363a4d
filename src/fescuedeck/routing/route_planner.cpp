#include "fescuedeck/routing/route_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace fescuedeck {
namespace {

constexpr double unreachable = std::numeric_limits<double>::infinity();
// Seconds that a hop costs beside the work on its layers: the router carries and checks it.
constexpr double hopOverheadSeconds = 0.0002;
// Cost in seconds of a stage at its limit: avoided unless every route has one.
constexpr double fullPenaltySeconds = 1000;
constexpr double suspectCostFactor = 8;
// Costs of different endpoints that are closer than this are treated as equal.
constexpr double tieBreakFraction = 0.02;
// Time in which a stream that passes all layers gets one token when every endpoint carries its part
// of the split. The load that is expected for an endpoint is what it serves in this time.
constexpr double referenceSeconds = 0.025;
// Growth of the queue cost with the load relative to that. The queue cost of a layer is the same
// for all accelerators: under load, a slow endpoint with room is worth as much as a fast one.
constexpr double loadExponent = 6;
// Prompt positions are processed together and cost this part of an output token.
constexpr double prefillCostFactor = 0.1;

// Costs of one endpoint for this request.
struct stage_cost
{
    bool usable = false;
    bool full = false;
    double fixed = 0;    // seconds for each token that visits it
    double perLayer = 0; // seconds for each token and layer
};

struct path_step
{
    double cost = unreachable;
    int endpoint = -1;
    int boundary = -1;
    int domain = -1;
};

bool isExcluded(const route_request &request, const std::string &id)
{
    const auto &excluded = request.excluded;
    return std::find(excluded.begin(), excluded.end(), id) != excluded.end();
}

// Load that is expected for the endpoint: its part of what the bound serves in referenceSeconds.
double expectedLoad(const layer_graph &graph, const graph_endpoint &endpoint,
                    const endpoint_view &view)
{
    return std::max(endpoint.share * graph.bound * referenceSeconds * view.weight, 0.5);
}

// Load of the whole model over its expected load, at least 1. Above 1 only the differences between
// endpoints matter.
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

double cachedFraction(const route_request &request, const std::string &id)
{
    if (request.cachedTokens.empty() || request.promptTokens <= 0)
        return 0;
    const auto found = request.cachedTokens.find(id);
    if (found == request.cachedTokens.end())
        return 0;
    return std::clamp(static_cast<double>(found->second) / request.promptTokens, 0.0, 1.0);
}

// The learned wait at an endpoint is charged by layer, although a hop over few layers waits as
// long: a route that takes layers off a crowded endpoint relieves it.
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

double linkCost(const layer_graph &graph, const route_request &request, int router, int from,
                int to)
{
    if (request.stagesForward)
        return from < 0 ? 0 : graph.link(from, to);
    return router < 0 ? 0 : graph.link(router, to) + graph.link(to, router);
}

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

// Dynamic program over (boundary, domain), in order of boundaries.
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
