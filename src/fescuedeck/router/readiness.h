// Decides whether the router may accept new requests.
//
// A router that reaches neither the log nor a peer cannot know which bundle is in force or which
// hosts are leaving, so it rejects new requests. There is one exception: if the last host list
// contains no other live router, the router keeps accepting requests, because no other router could
// have newer information.
#ifndef FESCUEDECK_ROUTER_READINESS_H
#define FESCUEDECK_ROUTER_READINESS_H

#include <string>

#include "fescuedeck/router/router_context.h"

namespace fescuedeck {

struct readiness
{
    // New requests are accepted. This stays true during the shutdown notice, in which the load
    // balancer still sends requests.
    bool mayServe = false;
    // /readyz responds with 200, so that the load balancer sends requests to this router.
    bool isReady = false;
    // Why the router is not ready; empty if it is ready.
    std::string reason;
};

// Thread-safe.
readiness evaluateReadiness(const router_context &context, time_point now);

} // namespace fescuedeck

#endif
