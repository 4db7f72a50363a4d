// Reads what an endpoint reports about itself: the load report of an engine, or the health of a
// plain service, which is an HTTP service that is not an engine.
#ifndef FESCUEDECK_ROUTER_ENGINE_CLIENT_H
#define FESCUEDECK_ROUTER_ENGINE_CLIENT_H

#include <string>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/fleet/endpoint_state.h"
#include "fescuedeck/net/http_client.h"
#include "fescuedeck/orders/engine_order.h"

namespace fescuedeck {

// Calls GET /v1/report and returns the engine's state. Fails with
// - the error of http_client if no response was received;
// - EndpointRefused if the status is not 200;
// - InvalidMessage if the body is malformed.
result<endpoint_report> fetchReport(http_client &client, const std::string &address,
                                    duration timeout, boost::asio::yield_context yield);
// Makes the same call with the same errors, but returns the layer ranges that the engine holds.
result<load_report> fetchLoadReport(http_client &client, const std::string &address,
                                    duration timeout, boost::asio::yield_context yield);
// Calls GET /healthz of a plain service, which responds with 200 while it serves and with 503 and
// "leaving" in the body while it drains. The incarnation is empty if the body has none. Fails with
// the error of http_client if no response was received, and with EndpointRefused for any other
// response.
result<endpoint_report> fetchHealth(http_client &client, const std::string &address,
                                    duration timeout, boost::asio::yield_context yield);

namespace detail {
// Fails with InvalidMessage if the body is malformed.
result<endpoint_report> decodeReport(const std::string &body);
} // namespace detail

} // namespace fescuedeck

#endif
