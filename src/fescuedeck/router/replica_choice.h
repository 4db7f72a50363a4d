// Order in which the replicas of a plain service are tried for a workspace.
//
// All routers compute the same order, so reads and writes of one workspace meet at the same replica
// while it lives, and a read sees the writes before it.
#ifndef FESCUEDECK_ROUTER_REPLICA_CHOICE_H
#define FESCUEDECK_ROUTER_REPLICA_CHOICE_H

#include <string>
#include <vector>

#include "fescuedeck/bundle/bundle.h"
#include "fescuedeck/fleet/fleet_state.h"

namespace fescuedeck {

// Rendezvous hashing over the replicas that may get new work. Suspects come last; ejected replicas
// are left out as long as there is another one; leaving replicas are never used.
std::vector<const endpoint_spec *>
replicaOrder(const service_spec &service, const std::string &workspace, const fleet_view &view);

} // namespace fescuedeck

#endif
