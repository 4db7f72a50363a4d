#include "fescuedeck/orders/chain_capacity.h"

#include <algorithm>
#include <deque>
#include <limits>

namespace fescuedeck::detail {
namespace {

// A residual capacity up to this value is a rounding error of repeated subtraction.
constexpr double negligible = 1e-9;

using edge = std::pair<int, int>;

// Runs a breadth-first search from layer 0 and returns, for each layer boundary that it reached,
// the edge by which it got there. The result is empty if the last layer is not reachable.
std::map<int, edge> shortestPath(const range_capacities &residual, int layers)
{
    std::map<int, edge> reachedBy = { { 0, { 0, 0 } } };
    std::deque<int> open = { 0 };
    while (!open.empty() && reachedBy.count(layers) == 0) {
        const int from = open.front();
        open.pop_front();
        for (auto next = residual.lower_bound({ from, 0 });
             next != residual.end() && next->first.first == from; ++next) {
            if (next->second > negligible
                && reachedBy.emplace(next->first.second, next->first).second)
                open.push_back(next->first.second);
        }
    }
    return reachedBy.count(layers) == 0 ? std::map<int, edge>() : reachedBy;
}

} // namespace

double chainCapacity(range_capacities ranges, int layers)
{
    double total = 0;
    while (layers > 0) {
        const std::map<int, edge> reachedBy = shortestPath(ranges, layers);
        if (reachedBy.empty())
            break;
        double amount = std::numeric_limits<double>::infinity();
        for (int at = layers; at != 0; at = reachedBy.at(at).first)
            amount = std::min(amount, ranges.at(reachedBy.at(at)));
        for (int at = layers; at != 0; at = reachedBy.at(at).first) {
            const edge used = reachedBy.at(at);
            ranges[used] -= amount;
            ranges[{ used.second, used.first }] += amount;
        }
        total += amount;
    }
    return total;
}

} // namespace fescuedeck::detail
