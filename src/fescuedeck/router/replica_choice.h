// The order in which a router tries the replicas of a plain service for the calls of a workspace. A
// plain service is an HTTP service that is not an engine.
//
// All routers whose views agree compute the same order. The reads and writes of a workspace
// therefore go to the same replica as long as it is usable, and a read returns what was written
// before it.
#ifndef FESCUEDECK_ROUTER_REPLICA_CHOICE_H
#define FESCUEDECK_ROUTER_REPLICA_CHOICE_H

#include <string>
#include <vector>

#include "fescuedeck/bundle/bundle.h"
#include "fescuedeck/fleet/fleet_state.h"

namespace fescuedeck {

// Orders the replicas by rendezvous hashing of the workspace and the replica's id, except that
// - suspect replicas come after the others;
// - unusable replicas, such as ejected ones, are included only if no replica is usable;
// - replicas that are leaving, or that the view does not contain, are never included.
// The result points into the service.
std::vector<const endpoint_spec *>
replicaOrder(const service_spec &service, const std::string &workspace, const fleet_view &view);

} // namespace fescuedeck

#endif
