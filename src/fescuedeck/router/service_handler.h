// Calls to plain services.
//
// Idempotent calls are retried on another replica. Calls that must not be repeated go through the
// claims of their Idempotency-Key; without a key they are sent once.
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

    // Answers the exchange. service is the one whose prefix covers the request's path.
    void handle(http_exchange &exchange, const std::shared_ptr<const bundle_index> &index,
                const service_spec &service, const trace_context &trace);

private:
    http_response callWithRetries(http_exchange &exchange, const service_spec &service,
                                  const std::string &workspace, const trace_context &trace);
    http_response callAtMostOnce(http_exchange &exchange, const service_spec &service,
                                 const std::string &workspace, const trace_context &trace);
    std::vector<const endpoint_spec *> replicasFor(const service_spec &service,
                                                   const std::string &workspace);

    router_context &m_context;
    keyed_calls &m_keyedCalls;
};

// The replica's answer with the outcome header, or the error that an answer without a response
// means to the caller.
http_response toCallerResponse(const service_answer &answer);

} // namespace fescuedeck

#endif
