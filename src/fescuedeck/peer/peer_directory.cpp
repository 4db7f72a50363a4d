#include "fescuedeck/peer/peer_directory.h"

#include <algorithm>
#include <tuple>

namespace fescuedeck {
peer_directory::peer_directory(duration digestLifetime)
    : m_digestLifetime(digestLifetime)
{
}

void peer_directory::onDigest(const std::string &router, peer_digest digest, time_point now)
{
    m_entries[router] = { std::move(digest), now + m_digestLifetime };
}

void peer_directory::forget(const std::string &router)
{
    m_entries.erase(router);
}

void peer_directory::expire(time_point now)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();)
        entry = entry->second.expires <= now ? m_entries.erase(entry) : std::next(entry);
}

peer_view peer_directory::merged(time_point now) const
{
    return merge(now, [](double a, double b) { return a + b; });
}

peer_view peer_directory::mergedSummaries(time_point now) const
{
    return merge(now, [](double a, double b) { return std::max(a, b); });
}

peer_view peer_directory::merge(time_point now,
                                const std::function<double(double, double)> &combineLoads) const
{
    peer_view view;
    for (const auto &[router, entry] : m_entries) {
        if (entry.expires <= now)
            continue;
        const peer_digest &digest = entry.digest;
        for (const auto &[endpoint, count] : digest.inFlight) {
            double &load = view.inFlight[endpoint];
            load = combineLoads(load, count);
        }
        for (const auto &[incarnation, report] : digest.limits) {
            double &demand = view.limitedDemand[incarnation];
            demand = combineLoads(demand, report.demand);
        }
        view.suspects.insert(digest.suspects.begin(), digest.suspects.end());
        view.leaving.insert(digest.leaving.begin(), digest.leaving.end());
        view.drained.insert(digest.drained.begin(), digest.drained.end());
        view.quarantined.insert(digest.quarantined.begin(), digest.quarantined.end());
    }
    return view;
}

double peer_directory::inFlight(const std::string &endpoint, time_point now) const
{
    double total = 0;
    for (const auto &[router, entry] : m_entries) {
        const auto found = entry.digest.inFlight.find(endpoint);
        if (entry.expires > now && found != entry.digest.inFlight.end())
            total += found->second;
    }
    return total;
}

std::optional<newer_bundle> peer_directory::newerBundle(std::int64_t version, time_point now) const
{
    std::optional<newer_bundle> newest;
    for (const auto &[router, entry] : m_entries) {
        const peer_digest &digest = entry.digest;
        if (entry.expires <= now || digest.version <= version)
            continue;
        const bool isNewer = !newest
                             || std::tie(digest.version, digest.offset)
                                        > std::tie(newest->version, newest->offset);
        if (isNewer)
            newest = newer_bundle{ router, digest.version, digest.hash, digest.offset };
    }
    return newest;
}

std::int64_t peer_directory::greatestOffset(time_point now) const
{
    std::int64_t greatest = 0;
    for (const auto &[router, entry] : m_entries) {
        if (entry.expires > now)
            greatest = std::max(greatest, entry.digest.offset);
    }
    return greatest;
}

std::vector<std::string> peer_directory::livePeers(time_point now) const
{
    std::vector<std::string> routers;
    for (const auto &[router, entry] : m_entries) {
        if (entry.expires > now)
            routers.push_back(router);
    }
    return routers;
}

void peer_directory::forEachLive(
        time_point now,
        const std::function<void(const std::string &, const peer_digest &)> &visit) const
{
    for (const auto &[router, entry] : m_entries) {
        if (entry.expires > now)
            visit(router, entry.digest);
    }
}

std::optional<peer_digest> peer_directory::digestOf(const std::string &router, time_point now) const
{
    const auto found = m_entries.find(router);
    if (found == m_entries.end() || found->second.expires <= now)
        return std::nullopt;
    return found->second.digest;
}

} // namespace fescuedeck
