// Simple route policies, for comparison with chooseRoute. Each chooses, from the first layer on,
// one of the usable endpoints that hold the next layer, and runs it to the end of its range. They
// know neither rates nor links.
#ifndef FESCUEDECK_ROUTING_BASELINE_POLICIES_H
#define FESCUEDECK_ROUTING_BASELINE_POLICIES_H

#include "fescuedeck/routing/route_planner.h"

namespace fescuedeck {

route_policy randomPolicy();
// Each policy object has its own counters, one per layer boundary.
route_policy roundRobinPolicy();
// By the view's in-flight count; ties at random.
route_policy fewestInFlightPolicy();

} // namespace fescuedeck

#endif
