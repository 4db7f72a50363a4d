#include "fescuedeck/peer/peer_directory.h"

#include <algorithm>

namespace fescuedeck {
namespace {

double secondsOf(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

std::optional<duration> ageOfFigures(const peer_view &view, const std::string &endpoint)
{
    if (view.digests == 0)
        return std::nullopt;
    const auto work = view.inFlight.find(endpoint);
    const auto workSeconds = view.workSeconds.find(endpoint);
    const bool hasWork = work != view.inFlight.end() && work->second > 0
                         && workSeconds != view.workSeconds.end();
    const double seconds
            = hasWork ? workSeconds->second / work->second : view.digestSeconds / view.digests;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

void addLoads(peer_view &view, const peer_view &other)
{
    for (const auto &[endpoint, load] : other.inFlight)
        view.inFlight[endpoint] += load;
    for (const auto &[endpoint, seconds] : other.workSeconds)
        view.workSeconds[endpoint] += seconds;
    view.digests += other.digests;
    view.digestSeconds += other.digestSeconds;
}

peer_directory::peer_directory(duration digestLifetime)
    : m_digestLifetime(digestLifetime)
{
}

void peer_directory::onDigest(const std::string &router, peer_digest digest, time_point now)
{
    m_entries[router] = { std::move(digest), now, now + m_digestLifetime };
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
        const double age = secondsOf(std::max(duration::zero(), now - entry.arrived));
        ++view.digests;
        view.digestSeconds += age;
        for (const auto &[endpoint, count] : digest.inFlight) {
            double &load = view.inFlight[endpoint];
            const double combined = combineLoads(load, count);
            view.workSeconds[endpoint] += (combined - load) * age;
            load = combined;
        }
        for (const auto &[incarnation, report] : digest.limits) {
            double &demand = view.limitedDemand[incarnation];
            demand = combineLoads(demand, report.demand);
        }
        for (const auto &[key, work] : digest.waiting) {
            double &sum = view.waiting[key];
            sum = combineLoads(sum, work);
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

void peer_directory::addLeavingBeyond(std::int64_t offset, time_point now,
                                      std::set<std::string> &leaving) const
{
    for (const auto &[router, entry] : m_entries) {
        if (entry.expires > now && entry.digest.offset > offset)
            leaving.insert(entry.digest.leaving.begin(), entry.digest.leaving.end());
    }
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
