// The state that all parts of one gateway share.
//
// A gateway runs on one thread: its hosts give it a fraction of one core. So nothing here is
// locked, and nothing may be used from another thread.
#ifndef FESCUEDECK_GATEWAY_GATEWAY_CONTEXT_H
#define FESCUEDECK_GATEWAY_GATEWAY_CONTEXT_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "fescuedeck/base/random.h"
#include "fescuedeck/gateway/crash_tracker.h"
#include "fescuedeck/gateway/endpoint_registry.h"
#include "fescuedeck/gateway/gateway_config.h"
#include "fescuedeck/gateway/gateway_retry_budget.h"
#include "fescuedeck/gateway/gateway_settings.h"
#include "fescuedeck/gateway/platform_adapter.h"
#include "fescuedeck/net/http_client.h"
#include "fescuedeck/telemetry/metrics.h"

namespace fescuedeck {

// Why an engine is asked for a report.
enum class engine_suspicion {
    Stalled, // requests through it give no events
    Refused, // it refused its part of a chain
};

struct gateway_context
{
    gateway_context(gateway_settings gatewaySettings, platform_adapter platformAdapter,
                    boost::asio::io_context &ioContext, http_client &httpClient,
                    random_fn randomFn);

    gateway_settings settings; // some change when the settings file does
    const platform_adapter adapter;
    boost::asio::io_context &io;
    http_client &client;
    random_fn random;
    metrics counters;
    std::shared_ptr<const config_index> config; // null before the first one
    endpoint_registry endpoints;
    gateway_retry_budget retryBudget;
    std::map<std::string, int> reservedRetries; // set aside for running streams, by service
    crash_tracker crashes;
    // Tells the other gateways that a request has been quarantined.
    std::function<void(const std::string &fingerprint)> onQuarantine;
    // Asks an engine what it waits for. Set by the owner.
    std::function<void(const std::string &endpoint, engine_suspicion)> inspectEngine;
    std::function<void()> onEngineLost;
    bool hasEndpointList = false; // their list has been read once
    // From then on an endpoint that is not listed can be taken as gone.
    time_point endpointsCompleteAt{};
    bool isEndpointTableUnavailable = false; // the store cannot be read
    bool isStopping = false;
    time_point acceptsRequestsUntil = time_point::max(); // requests read later are refused
    // Until about when layers that are missing now are loaded.
    time_point layersExpectedAt{};
};

} // namespace fescuedeck

#endif
