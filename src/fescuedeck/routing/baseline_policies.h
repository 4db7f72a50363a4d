// Simple route policies, for comparison with chooseRoute.
//
// Each policy builds a route from the first layer on: it selects one of the usable endpoints that
// hold the next layer, and uses that endpoint for all layers up to the end of its range. The
// policies take neither token rates nor link latencies into account.
#ifndef FESCUEDECK_ROUTING_BASELINE_POLICIES_H
#define FESCUEDECK_ROUTING_BASELINE_POLICIES_H

#include "fescuedeck/routing/route_planner.h"

namespace fescuedeck {

// Selects an endpoint at random, with equal probabilities. Thread-safe.
route_policy randomPolicy();
// Selects the endpoints in turn. The turn is counted separately for each layer at which a stage
// begins. Copies of the returned policy share the counters, which are not thread-safe.
route_policy roundRobinPolicy();
// Selects the endpoint with the fewest requests in flight; ties are broken at random. Thread-safe.
route_policy fewestInFlightPolicy();

} // namespace fescuedeck

#endif
