#include "fescuedeck/gateway/gateway_context.h"

namespace fescuedeck {
gateway_context::gateway_context(gateway_settings gatewaySettings, gateway_wire gatewayWire,
                                 boost::asio::io_context &ioContext, http_client &httpClient,
                                 random_fn randomFn)
    : settings(std::move(gatewaySettings))
    , wire(std::move(gatewayWire))
    , io(ioContext)
    , client(httpClient)
    , random(std::move(randomFn))
    , retries({ settings.retryShare, settings.retryReserve, settings.retryWindow }, steadyNow())
{
}

} // namespace fescuedeck
