#include "fescuedeck/routing/maximum_flow.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

namespace fescuedeck {
namespace {

constexpr double infinity = std::numeric_limits<double>::infinity();
// Flows below this fraction of the total flow are treated as rounding errors.
constexpr double relativeTolerance = 1e-9;
constexpr int maxNewtonSteps = 64;

// Computes a maximum flow with Dinic's algorithm. The graph is expected to be small and dense.
class flow_network
{
public:
    explicit flow_network(int vertices)
        : m_arcs(vertices)
        , m_level(vertices)
        , m_next(vertices)
    {
    }

    // Adds an arc and returns its index among the arcs that leave the vertex `from`.
    int add(int from, int to, double capacity)
    {
        m_arcs[from].push_back({ to, static_cast<int>(m_arcs[to].size()), capacity, 0 });
        m_arcs[to].push_back({ from, static_cast<int>(m_arcs[from].size()) - 1, 0, 0 });
        return static_cast<int>(m_arcs[from].size()) - 1;
    }

    // Returns the maximum flow from source to sink. Residual capacities up to the tolerance count
    // as zero.
    double maximize(int source, int sink, double tolerance)
    {
        double total = 0;
        m_tolerance = tolerance;
        while (buildLevels(source, sink)) {
            std::fill(m_next.begin(), m_next.end(), 0);
            for (double pushed = push(source, sink, infinity); pushed > 0;
                 pushed = push(source, sink, infinity))
                total += pushed;
        }
        return total;
    }

    // Call after maximize. The arc is an index that add returned.
    double flow(int from, int arc) const { return m_arcs[from][arc].flow; }
    // Call after maximize. Returns true if the vertex is on the source's side of the minimum cut.
    bool isReachable(int vertex) const { return m_level[vertex] >= 0; }

private:
    struct arc
    {
        int to;
        int reverse; // index of the opposite arc among the arcs that leave `to`
        double capacity;
        double flow;
    };

    // Computes the distance of every vertex from the source in the residual graph, -1 if there is
    // no path. Returns true if there is a path to the sink.
    bool buildLevels(int source, int sink)
    {
        std::fill(m_level.begin(), m_level.end(), -1);
        m_level[source] = 0;
        std::vector<int> queue{ source };
        for (std::size_t head = 0; head < queue.size(); ++head) {
            for (const arc &current : m_arcs[queue[head]]) {
                if (m_level[current.to] >= 0 || current.capacity - current.flow <= m_tolerance)
                    continue;
                m_level[current.to] = m_level[queue[head]] + 1;
                queue.push_back(current.to);
            }
        }
        return m_level[sink] >= 0;
    }

    // Sends a flow of at most the limit from the vertex to the sink along one path of increasing
    // levels. Returns the flow that was sent, 0 if there is no such path.
    double push(int vertex, int sink,
                double limit) // NOLINT(misc-no-recursion): depth <= 2 * vertices
    {
        if (vertex == sink)
            return limit;
        for (int &i = m_next[vertex]; i < static_cast<int>(m_arcs[vertex].size()); ++i) {
            arc &current = m_arcs[vertex][i];
            const double residual = current.capacity - current.flow;
            if (m_level[current.to] != m_level[vertex] + 1 || residual <= m_tolerance)
                continue;
            const double pushed = push(current.to, sink, std::min(limit, residual));
            if (pushed <= 0)
                continue;
            current.flow += pushed;
            m_arcs[current.to][current.reverse].flow -= pushed;
            return pushed;
        }
        return 0;
    }

    std::vector<std::vector<arc>> m_arcs; // by the vertex that they leave
    std::vector<int> m_level;             // by vertex, see buildLevels
    std::vector<int> m_next;              // by vertex, the first arc that push has not used up
    double m_tolerance = 0;
};

// The endpoints with the same range. Their capacities are added, because they are interchangeable,
// so the flow problem does not grow with the number of endpoints.
struct range_group
{
    int first;                       // index of the boundary at which the range begins
    int last;                        // index of the boundary at which the range ends
    double capacity;                 // layer-tokens/s
    std::vector<int> members;        // indices in layer_graph::endpoints
    std::vector<double> segmentFlow; // layer-tokens/s for each segment of the range
};

double capacityOf(const graph_endpoint &endpoint)
{
    return endpoint.tokensPerSecond * endpoint.layers.size();
}

std::vector<range_group> groupByRange(const layer_graph &graph)
{
    std::map<std::pair<int, int>, range_group> groups;
    for (int i = 0; i < static_cast<int>(graph.endpoints.size()); ++i) {
        const graph_endpoint &endpoint = graph.endpoints[i];
        range_group &group = groups[{ endpoint.first, endpoint.last }];
        group.first = endpoint.first;
        group.last = endpoint.last;
        group.capacity += capacityOf(endpoint);
        group.members.push_back(i);
    }
    std::vector<range_group> list;
    for (auto &[key, group] : groups)
        list.push_back(std::move(group));
    return list;
}

// Tries to send `rate` tokens/s through the groups and stores the flow in their segmentFlow.
// Returns `rate` if that is feasible. Otherwise returns the lower rate that the capacity of the
// minimum cut allows.
double feasibleRate(const std::vector<int> &boundaries, std::vector<range_group> &groups,
                    double rate)
{
    const int segments = static_cast<int>(boundaries.size()) - 1;
    const int groupCount = static_cast<int>(groups.size());
    const int source = groupCount + segments;
    const int sink = source + 1;
    flow_network network(sink + 1);
    std::vector<std::vector<int>> arcs(groupCount);
    for (int g = 0; g < groupCount; ++g) {
        network.add(source, g, groups[g].capacity);
        for (int s = groups[g].first; s < groups[g].last; ++s)
            arcs[g].push_back(network.add(g, groupCount + s, infinity));
    }
    const double demand = rate * boundaries.back();
    for (int s = 0; s < segments; ++s)
        network.add(groupCount + s, sink, rate * (boundaries[s + 1] - boundaries[s]));
    const double flow = network.maximize(source, sink, demand * relativeTolerance);
    for (int g = 0; g < groupCount; ++g) {
        groups[g].segmentFlow.clear();
        for (const int arc : arcs[g])
            groups[g].segmentFlow.push_back(network.flow(g, arc));
    }
    if (flow >= demand * (1 - 1e-6))
        return rate;
    // Only groups on the sink's side of the cut can run the segments on that side.
    double layers = 0;
    double capacity = 0;
    for (int s = 0; s < segments; ++s) {
        if (!network.isReachable(groupCount + s))
            layers += boundaries[s + 1] - boundaries[s];
    }
    for (int g = 0; g < groupCount; ++g) {
        if (!network.isReachable(g))
            capacity += groups[g].capacity;
    }
    return layers > 0 ? std::min(capacity / layers, rate) : rate;
}

// Converts the rate of one endpoint in each segment of its range into edges. A rate that continues
// across boundaries becomes a single edge.
void appendEdges(const layer_graph &graph, int endpoint, const std::vector<double> &segmentRates,
                 double tolerance, std::vector<edge_flow> &edges)
{
    const int first = graph.endpoints[endpoint].first;
    std::vector<std::pair<int, double>> open; // first boundary and rate of edges without an end
    double running = 0;
    for (int s = 0; s <= static_cast<int>(segmentRates.size()); ++s) {
        const double rate = s < static_cast<int>(segmentRates.size()) ? segmentRates[s] : 0;
        while (running > rate + tolerance) {
            auto &[begin, openRate] = open.back();
            const double closed = std::min(openRate, running - rate);
            edges.push_back({ endpoint, begin, first + s, closed });
            running -= closed;
            openRate -= closed;
            if (openRate <= tolerance)
                open.pop_back();
            if (open.empty())
                running = 0;
        }
        if (rate > running + tolerance) {
            open.emplace_back(first + s, rate - running);
            running = rate;
        }
    }
}

} // namespace

flow_split maximumFlow(const layer_graph &graph)
{
    flow_split split;
    split.shares.assign(graph.endpoints.size(), 0);
    std::vector<range_group> groups = groupByRange(graph);
    double total = 0;
    for (const range_group &group : groups)
        total += group.capacity;
    if (graph.layers <= 0 || total <= 0)
        return split;
    double rate = total / graph.layers;
    for (int step = 0; step < maxNewtonSteps && rate > 0; ++step) {
        const double feasible = feasibleRate(graph.boundaries, groups, rate);
        if (feasible >= rate)
            break;
        rate = feasible;
    }
    split.tokensPerSecond = rate;
    if (rate <= 0)
        return split;
    for (const range_group &group : groups) {
        for (const int member : group.members) {
            const graph_endpoint &endpoint = graph.endpoints[member];
            const double memberFraction
                    = group.capacity > 0 ? capacityOf(endpoint) / group.capacity : 0;
            std::vector<double> segmentRates;
            double layerTokens = 0;
            for (int s = group.first; s < group.last; ++s) {
                const double flow = group.segmentFlow[s - group.first] * memberFraction;
                segmentRates.push_back(flow / (graph.boundaries[s + 1] - graph.boundaries[s]));
                layerTokens += flow;
            }
            split.shares[member] = layerTokens / endpoint.layers.size() / rate;
            appendEdges(graph, member, segmentRates, rate * 1e-7, split.edges);
        }
    }
    return split;
}

} // namespace fescuedeck
