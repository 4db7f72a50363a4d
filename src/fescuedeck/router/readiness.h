// Whether the router may take new work.
//
// A router that reaches neither the log nor a peer cannot know which bundle is in force or which
// hosts are leaving, so it stops taking work, unless the last host list names no other live router:
// then nobody else could have learned more.
#ifndef FESCUEDECK_ROUTER_READINESS_H
#define FESCUEDECK_ROUTER_READINESS_H

#include <string>

#include "fescuedeck/router/router_context.h"

namespace fescuedeck {

struct readiness
{
    // New requests are accepted; also true during the notice time of a shutdown.
    bool mayServe = false;
    // /readyz answers 200, so the balancer sends requests.
    bool isReady = false;
    std::string reason; // why not; empty if ready
};

readiness evaluateReadiness(const router_context &context, time_point now);

} // namespace fescuedeck

#endif
