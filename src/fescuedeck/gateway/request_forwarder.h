// Entry point for requests of callers, and for those that other gateways relay: checks each one and
// forwards it to endpoints.
#ifndef FESCUEDECK_GATEWAY_REQUEST_FORWARDER_H
#define FESCUEDECK_GATEWAY_REQUEST_FORWARDER_H

#include <optional>
#include <string>

#include "fescuedeck/gateway/gateway_context.h"
#include "fescuedeck/gateway/relay_protocol.h"
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
    // The same for a request that another gateway relays. A refusal by this gateway tells the other
    // one whether the request may have run.
    void handleRelayed(http_exchange &exchange);

private:
    void forward(http_exchange &exchange, const std::optional<relay_claim> &relayed);
    void refuse(http_exchange &exchange, refusal_reason reason,
                const std::optional<relay_claim> &relayed);
    void rejectRelay(http_exchange &exchange, const failure &error);

    gateway_context &m_context;
};

} // namespace fescuedeck

#endif
