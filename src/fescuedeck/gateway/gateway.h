// The gateway process: routes callers' requests on a platform that has its own store, balancer and
// engines.
#ifndef FESCUEDECK_GATEWAY_GATEWAY_H
#define FESCUEDECK_GATEWAY_GATEWAY_H

#include <functional>

#include <boost/asio/io_context.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/gateway/gateway_settings.h"
#include "fescuedeck/gateway/platform_adapter.h"
#include "fescuedeck/net/http_client.h"

namespace fescuedeck {

// Makes the adapter of the platform, whose store is reached through the client.
using make_adapter_fn = std::function<platform_adapter(http_client &client)>;

// Reads the settings file again. Called on SIGHUP and from time to time.
using read_settings_fn = std::function<result<gateway_settings>()>;

// Runs until SIGTERM and the end of the requests in flight. Returns the exit status: 0 after a
// graceful end, 1 if an address cannot be used.
int runGateway(const gateway_settings &settings, const make_adapter_fn &makeAdapter,
               const read_settings_fn &readSettings);

} // namespace fescuedeck

#endif
