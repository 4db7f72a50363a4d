// The gateway process routes callers' requests to endpoints on a platform that provides the store,
// the load balancer and the inference engines.
#ifndef FESCUEDECK_GATEWAY_GATEWAY_H
#define FESCUEDECK_GATEWAY_GATEWAY_H

#include <functional>

#include <boost/asio/io_context.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/gateway/gateway_settings.h"
#include "fescuedeck/gateway/platform_adapter.h"
#include "fescuedeck/net/http_client.h"

namespace fescuedeck {

// Makes the adapter of the platform. The adapter calls the platform's store through the client,
// which outlives it.
using make_adapter_fn = std::function<platform_adapter(http_client &client)>;

// Reads the settings file again. The gateway calls it on SIGHUP and every few seconds.
using read_settings_fn = std::function<result<gateway_settings>()>;

// Runs the gateway until SIGTERM or SIGINT, and then until the requests in flight have ended or the
// grace period is almost over. Returns the exit status of the process: 0 after a graceful shutdown,
// 1 if the gateway cannot listen on one of its addresses.
int runGateway(const gateway_settings &settings, const make_adapter_fn &makeAdapter,
               const read_settings_fn &readSettings);

} // namespace fescuedeck

#endif
