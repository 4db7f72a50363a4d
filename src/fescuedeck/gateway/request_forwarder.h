// Entry point for the requests of callers: checks each one and forwards it to endpoints.
#ifndef FESCUEDECK_GATEWAY_REQUEST_FORWARDER_H
#define FESCUEDECK_GATEWAY_REQUEST_FORWARDER_H

#include <string>

#include "fescuedeck/gateway/gateway_context.h"
#include "fescuedeck/net/http_server.h"

namespace fescuedeck {

// Not thread-safe. The context must outlive this object.
class request_forwarder
{
public:
    explicit request_forwarder(gateway_context &context);

    // Answers the request of the exchange: refuses it, or forwards it and relays the answer.
    // Suspends the coroutine of the exchange until then.
    void handle(http_exchange &exchange);

private:
    gateway_context &m_context;
};

} // namespace fescuedeck

#endif
