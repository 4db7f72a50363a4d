// Tells an endpoint that has crashed from one that lost an answer.
//
// Both close the connection of a request. Only a crash counts against the request, because a
// request that is taken for the cause of crashes is refused by all gateways for minutes.
#ifndef FESCUEDECK_GATEWAY_CRASH_CHECK_H
#define FESCUEDECK_GATEWAY_CRASH_CHECK_H

#include "fescuedeck/gateway/gateway_context.h"

namespace fescuedeck {

// Opens a connection to the endpoint, which has just closed that of the request, and records a
// crash if it accepts none. Returns at once. The endpoint must be that of a plain service: a chain
// of engines also breaks if a later engine crashes. The context must outlive the run of its
// io_context.
void recordCrashIfDown(gateway_context &context, const request_identity &request,
                       const endpoint_ptr &endpoint);

} // namespace fescuedeck

#endif
