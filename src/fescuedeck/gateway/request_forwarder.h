// Answers callers' requests by passing them on to endpoints.
#ifndef FESCUEDECK_GATEWAY_REQUEST_FORWARDER_H
#define FESCUEDECK_GATEWAY_REQUEST_FORWARDER_H

#include <string>

#include "fescuedeck/gateway/gateway_context.h"
#include "fescuedeck/net/http_server.h"

namespace fescuedeck {

class request_forwarder
{
public:
    explicit request_forwarder(gateway_context &context);

    void handle(http_exchange &exchange);

private:
    gateway_context &m_context;
};

} // namespace fescuedeck

#endif
