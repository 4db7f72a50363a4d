// Reads an endpoint's own statements about itself: the load report of an engine and the health of a
// plain service.
#ifndef FESCUEDECK_ROUTER_ENGINE_CLIENT_H
#define FESCUEDECK_ROUTER_ENGINE_CLIENT_H

#include <string>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/fleet/endpoint_state.h"
#include "fescuedeck/net/http_client.h"
#include "fescuedeck/orders/engine_order.h"

namespace fescuedeck {

// GET /v1/report. The errors are the transport's, EndpointRefused for another status than 200, and
// InvalidMessage for a malformed body.
result<endpoint_report> fetchReport(http_client &client, const std::string &address,
                                    duration timeout, boost::asio::yield_context yield);
// The same call for the layer ranges that the engine holds.
result<load_report> fetchLoadReport(http_client &client, const std::string &address,
                                    duration timeout, boost::asio::yield_context yield);
// GET /healthz of a plain service: 200 while it serves, 503 with "leaving" while it drains. The
// incarnation is taken from the body if it states one.
result<endpoint_report> fetchHealth(http_client &client, const std::string &address,
                                    duration timeout, boost::asio::yield_context yield);

namespace detail {
result<endpoint_report> decodeReport(const std::string &body);
} // namespace detail

} // namespace fescuedeck

#endif
