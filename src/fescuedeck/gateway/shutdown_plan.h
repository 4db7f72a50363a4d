// When a gateway that was told to stop closes its listener, refuses requests and ends.
#ifndef FESCUEDECK_GATEWAY_SHUTDOWN_PLAN_H
#define FESCUEDECK_GATEWAY_SHUTDOWN_PLAN_H

#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct shutdown_plan
{
    // New connections are accepted until then, because the load balancer sees only after some time
    // that the gateway is not ready any more.
    time_point closesListenerAt{};
    // Later requests are refused as not run. The process may end before they do.
    time_point acceptsRequestsUntil{};
    // Requests that a peer relays are accepted until then, because that peer may find no other one.
    // Those that may run only once must end by endsAt; the peer resumes others.
    time_point acceptsRelaysUntil{};
    // The process ends then, before it would be killed.
    time_point endsAt{};
};

// A signal waits while the event loop is busy. Up to this delay the plan keeps the limits that
// count from the arrival of the signal.
constexpr duration maxSignalDelay = std::chrono::milliseconds(300);

// gracePeriod is the time from the signal until the process is killed.
shutdown_plan planShutdown(time_point signalHandledAt, duration gracePeriod);

} // namespace fescuedeck

#endif
