// Estimates the load of an endpoint now from the work of this gateway, which it knows exactly, and
// from the last reports of its peers, which are old.
//
// Loads are in any unit, the same for all figures of one endpoint. All functions are pure.
#ifndef FESCUEDECK_GATEWAY_LOAD_ESTIMATE_H
#define FESCUEDECK_GATEWAY_LOAD_ESTIMATE_H

#include <optional>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

// Where the figures about one endpoint that the peers report come from.
struct peer_figures
{
    // Mean time at which the reports in force arrived; empty if no peer reports, so that the own
    // work is all that there is.
    std::optional<time_point> at;
    double changePerSecond = 0; // of the peers' load, smoothed over the last reports
};

// Records that the reports in force, which arrived at the given mean time, have changed the load of
// the peers. If the time has not advanced, only a peer has left, which says nothing about the
// others.
void recordFigures(peer_figures &figures, double loadBefore, double load,
                   std::optional<time_point> at);

struct load_estimate
{
    double load = 0;
    duration age{}; // of the figures of the peers; zero if there are none
};

// Moves the load of the peers by the change that the last reports show. The older the reports, the
// less of the change counts, because work also ends. The load is at least the own work.
load_estimate estimateLoad(double ownLoad, double peerLoad, const peer_figures &figures,
                           time_point now);

// Returns how much work the peers have probably begun since they reported: of the work in flight,
// the part that is replaced within that time. holdTime is how long an endpoint has a request. At
// most all of the load; all of it if the hold time is not known.
double expectedArrivals(double peerLoad, duration age, duration holdTime);

} // namespace fescuedeck

#endif
