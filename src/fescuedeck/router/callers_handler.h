// The handler of all HTTP requests from callers: passes each request to the handler for its path.
#ifndef FESCUEDECK_ROUTER_CALLERS_HANDLER_H
#define FESCUEDECK_ROUTER_CALLERS_HANDLER_H

#include "fescuedeck/net/http_server.h"
#include "fescuedeck/router/completions_handler.h"
#include "fescuedeck/router/router_context.h"
#include "fescuedeck/router/service_handler.h"

namespace fescuedeck {

class callers_handler
{
public:
    callers_handler(router_context &context, completions_handler &completions,
                    service_handler &services);

    // Sends the response to one request and records its trace span. Thread-safe.
    void handle(http_exchange &exchange);

private:
    void dispatch(http_exchange &exchange, const trace_context &trace);

    router_context &m_context;
    completions_handler &m_completions;
    service_handler &m_services;
};

} // namespace fescuedeck

#endif
