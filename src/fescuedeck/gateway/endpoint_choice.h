// Chooses where a request goes: an endpoint of a plain service, or a chain of engines.
#ifndef FESCUEDECK_GATEWAY_ENDPOINT_CHOICE_H
#define FESCUEDECK_GATEWAY_ENDPOINT_CHOICE_H

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/chain_finder.h"
#include "fescuedeck/gateway/endpoint_registry.h"
#include "fescuedeck/gateway/gateway_config.h"

namespace fescuedeck {

struct choice_request
{
    std::string failureDomain;      // of the gateway
    std::set<std::string> excluded; // endpoints that have failed this request
    time_point now{};
};

// Where one attempt goes.
struct destination
{
    endpoint_ptr first;               // gets the request
    std::vector<chain_part> chain;    // empty for a plain service
    std::vector<endpoint_ptr> stages; // of the chain, or the endpoint alone
    // Of the fullest cache of the chain; beyond 1 engines preempt requests.
    double fill = 0;
};

// The endpoint with the most free room; one of the own domain unless it is much busier than one
// of another domain. Empty if none is usable.
std::optional<destination> chooseEndpoint(const std::vector<endpoint_ptr> &endpoints,
                                          const choice_request &request);

// The cheapest chain inside one failure domain, or, if no domain holds all layers, inside the group
// of domains that were planned together. The own domain goes first while it has room. Empty if
// there is none.
std::optional<destination> chooseChain(const engine_spec &spec,
                                       const std::vector<endpoint_ptr> &endpoints,
                                       const choice_request &request);

} // namespace fescuedeck

#endif
