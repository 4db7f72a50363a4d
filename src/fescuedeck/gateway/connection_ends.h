// Counts the ends of connections by their reason, and logs those by which a request may be lost.
#ifndef FESCUEDECK_GATEWAY_CONNECTION_ENDS_H
#define FESCUEDECK_GATEWAY_CONNECTION_ENDS_H

#include <functional>
#include <string>

#include "fescuedeck/net/connection_end.h"
#include "fescuedeck/telemetry/metrics.h"

namespace fescuedeck {

// Returns a hook for http_server::onConnectionEnd(). server is "callers" or "relays" and labels the
// metrics; idOf reads the id of a request. The metrics must outlive the hook.
std::function<void(const connection_end &)>
connectionEndHook(metrics &counters, const std::string &server,
                  std::function<std::string(const http_request &)> idOf);

} // namespace fescuedeck

#endif
