#include "fescuedeck/router/replica_choice.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>

#include "fescuedeck/base/hash.h"

namespace fescuedeck {
namespace {

// Replicas with a lower rank are tried first. Rank 2 stands for an unusable replica.
int phaseRank(const endpoint_view &endpoint)
{
    if (!endpoint.usable)
        return 2;
    return endpoint.phase == endpoint_phase::Suspect ? 1 : 0;
}

} // namespace

std::vector<const endpoint_spec *>
replicaOrder(const service_spec &service, const std::string &workspace, const fleet_view &view)
{
    std::unordered_map<std::string, const endpoint_view *> states;
    for (const endpoint_view &endpoint : view.endpoints)
        states.emplace(endpoint.id, &endpoint);
    using ranked = std::tuple<int, std::uint64_t, const endpoint_spec *>;
    std::vector<ranked> candidates;
    bool hasUsable = false;
    for (const endpoint_spec &replica : service.replicas) {
        const auto state = states.find(replica.id);
        if (state == states.end() || state->second->phase == endpoint_phase::Leaving)
            continue;
        hasUsable = hasUsable || state->second->usable;
        candidates.emplace_back(phaseRank(*state->second),
                                stableHash(workspace + '\n' + replica.id), &replica);
    }
    std::sort(candidates.begin(), candidates.end());
    std::vector<const endpoint_spec *> order;
    for (const auto &[rank, hash, replica] : candidates) {
        if (rank < 2 || !hasUsable)
            order.push_back(replica);
    }
    return order;
}

} // namespace fescuedeck
