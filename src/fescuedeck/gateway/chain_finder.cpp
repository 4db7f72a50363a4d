#include "fescuedeck/gateway/chain_finder.h"

#include <algorithm>
#include <limits>

namespace fescuedeck {
namespace {

constexpr double unreachable = std::numeric_limits<double>::infinity();

// Last step of the cheapest path that runs all layers before one boundary and ends in one domain.
struct boundary_state
{
    double cost = unreachable;                // of the whole path
    const boundary_state *previous = nullptr; // null at the first layer
    const chain_stage *stage = nullptr; // runs the layers from the previous boundary to this one
    int layer = 0;                      // the boundary
};

// Returns the layers at which some stage begins or ends, in order. There is always a cheapest chain
// that changes engines only there.
std::vector<int> boundariesOf(const std::vector<chain_stage> &stages, int layers)
{
    std::vector<int> boundaries = { 0, layers };
    for (const chain_stage &stage : stages) {
        boundaries.push_back(stage.heldLayers.begin);
        boundaries.push_back(stage.heldLayers.end);
    }
    std::sort(boundaries.begin(), boundaries.end());
    boundaries.erase(std::unique(boundaries.begin(), boundaries.end()), boundaries.end());
    return boundaries;
}

std::vector<std::string> domainsOf(const std::vector<chain_stage> &stages)
{
    std::vector<std::string> domains;
    for (const chain_stage &stage : stages)
        domains.push_back(stage.failureDomain);
    std::sort(domains.begin(), domains.end());
    domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
    return domains;
}

// The cheapest paths to each boundary and domain.
class path_table
{
public:
    path_table(int layers, const std::vector<chain_stage> &stages, const chain_costs &costs)
        : m_partCost(costs.part)
        , m_domains(domainsOf(stages))
        , m_states((static_cast<std::size_t>(layers) + 1) * m_domains.size())
    {
        for (const std::string &from : m_domains) {
            for (const std::string &to : m_domains)
                m_changeCosts.push_back(from == to ? 0 : costs.domainChange(from, to));
        }
    }

    std::size_t domainOf(const chain_stage &stage) const
    {
        const auto found
                = std::lower_bound(m_domains.begin(), m_domains.end(), stage.failureDomain);
        return static_cast<std::size_t>(found - m_domains.begin());
    }

    // Starts a path with the stage, which is in the given domain.
    void begin(const chain_stage &stage, std::size_t domain, int to)
    {
        improve(stage, domain, to, partCost(stage, to), nullptr);
    }

    // Extends the paths that end at a boundary by a part of the stage that ends at another one.
    void extend(const chain_stage &stage, std::size_t domain, int from, int to)
    {
        const double cost = partCost(stage, to - from);
        for (std::size_t last = 0; last < m_domains.size(); ++last) {
            const boundary_state &before = state(from, last);
            if (before.cost == unreachable)
                continue;
            const double changeCost = m_changeCosts[last * m_domains.size() + domain];
            improve(stage, domain, to, before.cost + cost + changeCost, &before);
        }
    }

    const boundary_state &cheapestTo(int layer)
    {
        const boundary_state *best = &state(layer, 0);
        for (std::size_t domain = 1; domain < m_domains.size(); ++domain) {
            if (state(layer, domain).cost < best->cost)
                best = &state(layer, domain);
        }
        return *best;
    }

private:
    double partCost(const chain_stage &stage, int layers) const
    {
        return stage.costPerLayer * layers + stage.costPerUse + m_partCost;
    }

    boundary_state &state(int layer, std::size_t domain)
    {
        return m_states[static_cast<std::size_t>(layer) * m_domains.size() + domain];
    }

    void improve(const chain_stage &stage, std::size_t domain, int to, double cost,
                 const boundary_state *previous)
    {
        boundary_state &target = state(to, domain);
        if (cost < target.cost)
            target = { cost, previous, &stage, to };
    }

    const double m_partCost;
    const std::vector<std::string> m_domains; // sorted
    std::vector<double> m_changeCosts;        // by the domain before and after the change
    std::vector<boundary_state> m_states;     // by layer and domain
};

std::vector<chain_part> partsOf(const boundary_state &end)
{
    std::vector<chain_part> parts;
    for (const boundary_state *state = &end; state != nullptr; state = state->previous) {
        const int from = state->previous == nullptr ? 0 : state->previous->layer;
        parts.push_back({ state->stage->endpoint, state->stage->address, { from, state->layer } });
    }
    std::reverse(parts.begin(), parts.end());
    return parts;
}

// If the cheapest path uses an engine twice, that engine also runs the layers between its two
// parts. It holds them, because an engine holds one contiguous range.
void mergeRepeatedEngines(std::vector<chain_part> &parts)
{
    for (std::size_t first = 0; first < parts.size(); ++first) {
        std::size_t last = parts.size() - 1;
        while (parts[last].endpoint != parts[first].endpoint)
            --last;
        if (last == first)
            continue;
        parts[first].layers.end = parts[last].layers.end;
        parts.erase(parts.begin() + static_cast<std::ptrdiff_t>(first) + 1,
                    parts.begin() + static_cast<std::ptrdiff_t>(last) + 1);
    }
}

} // namespace

std::optional<layer_chain> findChain(const std::vector<chain_stage> &stages, int layers,
                                     const chain_costs &costs)
{
    if (layers <= 0 || stages.empty())
        return std::nullopt;
    const std::vector<int> boundaries = boundariesOf(stages, layers);
    path_table paths(std::max(layers, boundaries.back()), stages, costs);
    for (const int from : boundaries) {
        for (const chain_stage &stage : stages) {
            if (from < stage.heldLayers.begin || from >= stage.heldLayers.end)
                continue;
            const std::size_t domain = paths.domainOf(stage);
            for (const int to : boundaries) {
                if (to <= from || to > stage.heldLayers.end || to > layers)
                    continue;
                if (from == 0)
                    paths.begin(stage, domain, to);
                else
                    paths.extend(stage, domain, from, to);
            }
        }
    }
    const boundary_state &end = paths.cheapestTo(layers);
    if (end.cost == unreachable)
        return std::nullopt;
    layer_chain chain{ partsOf(end), end.cost };
    mergeRepeatedEngines(chain.parts);
    if (static_cast<int>(chain.parts.size()) > costs.maxParts)
        return std::nullopt;
    return chain;
}

} // namespace fescuedeck
