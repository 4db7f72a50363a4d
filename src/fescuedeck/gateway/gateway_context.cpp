#include "fescuedeck/gateway/gateway_context.h"

namespace fescuedeck {
namespace {

// Gateways that share the deployment's reserve of retries.
constexpr double gatewaysSharingReserve = 6;
// The share that one gateway uses stays below the deployment's, as requests are counted late.
constexpr double retryShareMargin = 0.75;

retry_budget_settings budgetOf(const gateway_settings &settings)
{
    retry_budget_settings budget;
    budget.share = settings.retryShare * retryShareMargin;
    budget.largestReserve = settings.retryReserve / gatewaysSharingReserve;
    budget.firstReserve = budget.largestReserve;
    return budget;
}

} // namespace

gateway_context::gateway_context(gateway_settings gatewaySettings, gateway_wire gatewayWire,
                                 boost::asio::io_context &ioContext, http_client &httpClient,
                                 random_fn randomFn)
    : settings(std::move(gatewaySettings))
    , wire(std::move(gatewayWire))
    , io(ioContext)
    , client(httpClient)
    , random(std::move(randomFn))
    , retries(budgetOf(settings))
{
}

} // namespace fescuedeck
