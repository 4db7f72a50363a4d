// What each peer last said, merged. Use it for in-flight hints, news about endpoints and to learn
// who has a newer bundle. Everything in it is a hint: it lags and it expires.
#ifndef FESCUEDECK_PEER_PEER_DIRECTORY_H
#define FESCUEDECK_PEER_PEER_DIRECTORY_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fescuedeck/base/time.h"
#include "fescuedeck/peer/peer_message.h"

namespace fescuedeck {

// Union of the digests in force.
struct peer_view
{
    std::map<std::string, double> inFlight; // sum over the peers, by endpoint
    // Sum of the work in flight, each part times the seconds since it was reported, by endpoint.
    std::map<std::string, double> workSeconds;
    int digests = 0;          // in force
    double digestSeconds = 0; // sum of their ages
    // Sum over the peers of the demand for endpoints that limit their requests, by incarnation
    // name.
    std::map<std::string, double> limitedDemand;
    waiting_work waiting; // sum over the peers
    std::set<std::string> suspects;
    std::set<std::string> leaving;
    std::set<std::string> drained;
    std::set<std::string> quarantined;
};

// Returns how long ago the work in flight on the endpoint was reported, as a mean over that work.
// An endpoint without work has the mean age of all digests. Empty if no digest is in force.
std::optional<duration> ageOfFigures(const peer_view &view, const std::string &endpoint);
// Adds the loads that another view states, and the ages of its figures, to a view.
void addLoads(peer_view &view, const peer_view &other);

// Not thread-safe.
class peer_directory
{
public:
    // A digest is in force for its lifetime, counted from its arrival.
    explicit peer_directory(duration digestLifetime);

    void onDigest(const std::string &router, peer_digest digest, time_point now);
    // Drops what the router said, for example when it has restarted. A router whose connection is
    // lost is left to expire, since its calls may still be running.
    void forget(const std::string &router);
    // Releases the memory of expired digests.
    void expire(time_point now);

    peer_view merged(time_point now) const;
    // The same for peers that each report the sum of one group of routers: of their reports for an
    // endpoint the greatest counts.
    peer_view mergedSummaries(time_point now) const;
    // Calls that peers have in flight on one endpoint.
    double inFlight(const std::string &endpoint, time_point now) const;
    // Adds the incarnations that are leaving according to peers that have read beyond the offset.
    void addLeavingBeyond(std::int64_t offset, time_point now,
                          std::set<std::string> &leaving) const;
    // Greatest offset that a peer has read up to; 0 if no digest is in force.
    std::int64_t greatestOffset(time_point now) const;
    // Peers whose digest is in force, in order of their ids.
    std::vector<std::string> livePeers(time_point now) const;
    std::optional<peer_digest> digestOf(const std::string &router, time_point now) const;
    // Calls visit with each digest in force, in order of the routers' ids.
    void forEachLive(
            time_point now,
            const std::function<void(const std::string &router, const peer_digest &)> &visit) const;

private:
    struct entry
    {
        peer_digest digest;
        time_point arrived;
        time_point expires;
    };

    peer_view merge(time_point now,
                    const std::function<double(double, double)> &combineLoads) const;

    const duration m_digestLifetime;
    std::map<std::string, entry> m_entries;
};

} // namespace fescuedeck

#endif
