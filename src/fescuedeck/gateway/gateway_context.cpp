#include "fescuedeck/gateway/gateway_context.h"

#include "fescuedeck/gateway/store_call_counters.h"

namespace fescuedeck {
namespace {

platform_adapter withCountedCalls(platform_adapter adapter, metrics &counters)
{
    adapter.store = countStoreCalls(std::move(adapter.store), counters);
    return adapter;
}

} // namespace

gateway_context::gateway_context(gateway_settings gatewaySettings, platform_adapter platformAdapter,
                                 boost::asio::io_context &ioContext, http_client &httpClient,
                                 random_fn randomFn)
    : settings(std::move(gatewaySettings))
    , adapter(withCountedCalls(std::move(platformAdapter), counters))
    , io(ioContext)
    , client(httpClient)
    , random(std::move(randomFn))
    , retryBudget({ settings.retryShare, settings.minRetriesPerWindow, settings.retryWindow })
    , admission(settings, counters, random)
    , requestLimits(random)
{
    hasVouchingPeer
            = [this] { return !peerSecret.empty() && relays.hasVouchingPeer(inputHandledUntil()); };
    client.observeMalformedResponses([this](const std::string &address, response_fault fault) {
        malformedResponses.record(address, fault, steadyNow());
    });
    crashes.isDown = [this](const std::string &incarnation) {
        return endpoints.isDown(incarnation, steadyNow());
    };
    crashes.lastProgress = [this](const std::string &incarnation) {
        const endpoint_ptr endpoint = endpoints.findIncarnation(incarnation);
        return endpoint ? endpoint->lastProgressAt : time_point{};
    };
}

} // namespace fescuedeck
