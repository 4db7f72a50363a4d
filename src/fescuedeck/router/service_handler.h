// Handles callers' requests to plain services, in one of three ways:
// - An idempotent call is retried on another replica.
// - A non-idempotent call with an Idempotency-Key is run by keyed_calls. That part claims the key
//   in the log, so that the call runs at most once.
// - A non-idempotent call without a key is run at most once. It goes to another replica only if the
//   previous one has certainly not run it.
#ifndef FESCUEDECK_ROUTER_SERVICE_HANDLER_H
#define FESCUEDECK_ROUTER_SERVICE_HANDLER_H

#include <memory>
#include <string>

#include "fescuedeck/net/http_server.h"
#include "fescuedeck/router/keyed_calls.h"
#include "fescuedeck/router/router_context.h"
#include "fescuedeck/router/service_call.h"

namespace fescuedeck {

class service_handler
{
public:
    service_handler(router_context &context, keyed_calls &keyedCalls);

    // Authenticates the caller, runs the call and answers the exchange. service must be the one
    // whose path prefix matches the request.
    void handle(http_exchange &exchange, const std::shared_ptr<const bundle_index> &index,
                const service_spec &service, const trace_context &trace);

private:
    http_response callWithRetries(http_exchange &exchange, const service_spec &service,
                                  const std::string &workspace, const trace_context &trace);
    http_response callAtMostOnce(http_exchange &exchange, const service_spec &service,
                                 const std::string &workspace, const trace_context &trace);
    // Replicas that may be used now, in the order in which to try them.
    std::vector<const endpoint_spec *> replicasFor(const service_spec &service,
                                                   const std::string &workspace);

    router_context &m_context;
    keyed_calls &m_keyedCalls;
};

// Returns the replica's response with the outcome header, or the error response for the caller if
// there is no response or it is unknown whether the call has run.
http_response toCallerResponse(const service_answer &answer);

} // namespace fescuedeck

#endif
