// The state that all parts of one gateway share.
//
// A gateway runs on one thread, because its hosts give it only a fraction of one core. The state is
// not protected by locks and must not be used from another thread.
#ifndef FESCUEDECK_GATEWAY_GATEWAY_CONTEXT_H
#define FESCUEDECK_GATEWAY_GATEWAY_CONTEXT_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "fescuedeck/admission/answer_length.h"
#include "fescuedeck/base/random.h"
#include "fescuedeck/gateway/admission_control.h"
#include "fescuedeck/gateway/crash_quarantine.h"
#include "fescuedeck/gateway/endpoint_registry.h"
#include "fescuedeck/gateway/gateway_config.h"
#include "fescuedeck/gateway/gateway_retry_budget.h"
#include "fescuedeck/gateway/gateway_settings.h"
#include "fescuedeck/gateway/malformed_responses.h"
#include "fescuedeck/gateway/open_attempts.h"
#include "fescuedeck/gateway/platform_adapter.h"
#include "fescuedeck/gateway/relay_directory.h"
#include "fescuedeck/gateway/request_limiter.h"
#include "fescuedeck/net/http_client.h"
#include "fescuedeck/rerouting/running_streams.h"
#include "fescuedeck/telemetry/metrics.h"

namespace fescuedeck {

// Why an engine is suspected to be faulty and is asked for a report.
enum class engine_suspicion {
    Stalled, // requests or orders that were sent to it get no response
    Refused, // it refused to run its layers of a chain
};

struct gateway_context
{
    gateway_context(gateway_settings gatewaySettings, platform_adapter platformAdapter,
                    boost::asio::io_context &ioContext, http_client &httpClient,
                    random_fn randomFn);

    gateway_settings settings; // some change when the settings file is reloaded
    const platform_adapter adapter;
    boost::asio::io_context &io;
    http_client &client;
    random_fn random;
    metrics counters;
    malformed_responses malformedResponses{ counters };
    std::shared_ptr<const config_index> config; // null until the first one has arrived
    endpoint_registry endpoints;
    gateway_retry_budget retryBudget;
    // Retries that are reserved for streams in progress, by service.
    std::map<std::string, int> reservedRetries;
    admission_control admission;
    crash_quarantine crashes;
    request_limiter requestLimits;
    relay_directory relays;
    answer_length answerLengths;
    open_attempts openAttempts;
    running_streams runningStreams;
    // Shared by the gateways of the deployment. Empty until it has been read from the store.
    std::string peerSecret;
    // Set by the owner, like the hooks below. Records a crash against the request if the endpoint
    // of a plain service, which has just closed the connection, is down. Without it, each such end
    // counts as a crash.
    std::function<void(const request_identity &, const endpoint_ptr &)> checkCrash;
    // Asks an engine for a report on the engines that it
    // waits for.
    std::function<void(const std::string &endpoint, engine_suspicion)> inspectEngine;
    // Live gateways of the own failure domain, without this one.
    int domainPeers = 0;
    // Asks peers for retries of the service, of which this gateway has none left. Returns at once:
    // false if no loan may arrive, see retry_lending::borrow().
    std::function<bool(const std::string &service)> borrowRetries;
    // Called after an engine has been marked as lost.
    std::function<void()> onEngineLost;
    // Whether this gateway is among the first live gateways of its failure domain, in the order of
    // their hosts. Work that a few gateways can do for all is left to these. A gateway that reaches
    // no other one is always among them.
    std::function<bool(int count)> isAmongFirst = [](int) { return true; };
    // Input that arrived earlier has been handled. A conclusion from the silence of others must not
    // count the time after it. Set by the owner.
    std::function<time_point()> inputHandledUntil = [] { return steadyNow(); };
    // Whether this gateway reaches no endpoint, so that its own observations of endpoints say
    // nothing about them. Set by the owner.
    std::function<bool()> isIsolated = [] { return false; };
    // Whether some live peer reports that it reaches endpoints. Set by the owner.
    std::function<bool()> hasVouchingPeer = [] { return false; };
    // Whether a new connection to an endpoint has succeeded since the given time, and this gateway
    // was not isolated since. Has the links checked if needed, and waits for the outcome. Set by
    // the owner.
    std::function<bool(time_point since, boost::asio::yield_context)> hasReachedEndpoints
            = [](time_point, boost::asio::yield_context) { return true; };
    // After the links have returned, failures count as theirs until this time, because the calls
    // began before.
    time_point linksBlamedUntil{};
    // Whether failures of calls to endpoints are blamed on the links of this gateway. If no peer
    // reaches the endpoints either, the endpoints themselves are more likely to have failed.
    bool blamesLinks() const
    {
        return (isIsolated() || steadyNow() < linksBlamedUntil) && hasVouchingPeer();
    }
    bool hasEndpointList = false; // the endpoint table has been read at least once
    // After this time an endpoint that is not in the endpoint table has really gone. Before it, an
    // endpoint may be missing because its announcement expired during an outage of the store.
    time_point endpointsCompleteAt{};
    bool isEndpointTableUnavailable = false; // the store cannot be read
    bool isStopping = false;
    // Requests that are read later are refused; the second limit is for those that peers relay.
    time_point acceptsRequestsUntil = time_point::max();
    time_point acceptsRelaysUntil = time_point::max();
    // The process ends then, whatever requests are open. Set once it is stopping.
    time_point endsAt = time_point::max();
    // The estimated time at which layers that are missing now will have been loaded.
    time_point layersExpectedAt{};
};

} // namespace fescuedeck

#endif
