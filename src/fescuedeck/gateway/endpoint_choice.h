// Chooses the destination of a request: an endpoint of a plain service, or a chain of engines.
#ifndef FESCUEDECK_GATEWAY_ENDPOINT_CHOICE_H
#define FESCUEDECK_GATEWAY_ENDPOINT_CHOICE_H

#include <cstdint>
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
    std::string failureDomain;      // failure domain of this gateway
    std::set<std::string> excluded; // ids of endpoints that must not be used
    time_point now{};
    // Spreads requests over the links between failure domains, and over endpoints while the figures
    // of the peers are old.
    std::uint64_t requestHash = 0;
    int domainPeers = 0; // other live gateways of the failure domain
};

// Destination of one attempt.
struct destination
{
    endpoint_ptr first;               // endpoint that the gateway sends the request to
    std::vector<chain_part> chain;    // empty for a plain service
    std::vector<endpoint_ptr> stages; // engines of the chain, or the single endpoint
    // Used share of the usable cache of the fullest engine in the chain. Above 1, engines may
    // preempt requests. Always 0 for a plain service.
    double fill = 0;
    // Whether first stands for a peer that passes the request on. chain is empty then.
    bool isRelay = false;
};

// Returns the used share of the usable cache of an engine for requests that run all layers it
// holds, by what this gateway and its peers have in flight there. May exceed 1; 0 if it holds no
// layers.
double cacheFill(const engine_spec &spec, const endpoint_record &endpoint);

// Returns how many tokens of requests fit into the usable caches of the engines, up to the given
// fill, if they are spread well. An engine counts by its share of the model's layers.
double freeTokens(const engine_spec &spec, const std::vector<endpoint_ptr> &endpoints,
                  double maxFill, time_point now);

// Returns the endpoint with the least load. Prefers endpoints in the failure domain of the gateway
// unless they are much busier than those in other domains. If there are other gateways, whose
// requests to plain services are not reported, requests spread over those endpoints of the chosen
// domain whose loads differ by less than one request. Empty if no endpoint is usable.
std::optional<destination> chooseEndpoint(const std::vector<endpoint_ptr> &endpoints,
                                          const choice_request &request);

// Returns the cheapest chain of the least crowded failure domain. Prefers the domain of the gateway
// while it has capacity. If no domain holds all layers, returns the cheapest chain across domains,
// which changes domains as rarely as possible. The older the figures of the peers, the more
// requests spread over engines with the same layers, in proportion to their free caches. Empty if
// there is no complete chain.
std::optional<destination> chooseChain(const engine_spec &spec,
                                       const std::vector<endpoint_ptr> &endpoints,
                                       const choice_request &request);

// The engines of all failure domains that may be part of a chain, and what chains cost.
struct chain_candidates
{
    std::vector<chain_stage> stages;
    chain_costs costs;
};

chain_candidates chainCandidates(const engine_spec &spec,
                                 const std::vector<endpoint_ptr> &endpoints,
                                 const choice_request &request);

} // namespace fescuedeck

#endif
