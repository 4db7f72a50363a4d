// The limits of the servers for callers, for relayed requests and for questions about the status,
// and of the client that uses the relay servers of peers.
#ifndef FESCUEDECK_GATEWAY_SERVER_LIMITS_H
#define FESCUEDECK_GATEWAY_SERVER_LIMITS_H

#include "fescuedeck/gateway/gateway_config.h"
#include "fescuedeck/gateway/gateway_settings.h"
#include "fescuedeck/net/http_client.h"
#include "fescuedeck/net/http_server.h"

namespace fescuedeck {

// What the host allows the process.
struct host_limits
{
    std::size_t memoryBytes = 0;
    std::size_t fileDescriptors = 0;
};

// The limits that the settings state. Those that they do not state are the limits of the process,
// or the memory of the machine.
host_limits hostLimits(const gateway_settings &settings);

// The part of the memory, in bytes, that message bodies may use.
std::size_t bodyMemoryOf(const host_limits &host);
// The number of connections that the server for callers may have.
int callerConnectionsOf(const host_limits &host);
int relayConnectionsOf(const host_limits &host);

// Idle connections stay open for a little longer than callers may keep them.
http_server_limits callerServerLimits(const caller_limits &limits, const host_limits &host);

// The limits of the servers for the load balancer and for operators. Their requests are few and
// small.
http_server_limits statusServerLimits();

http_client_limits gatewayClientLimits(const host_limits &host);

// The limits of the relay server before the first configuration. Idle connections stay open for
// longer than the client of a peer keeps them.
http_server_limits firstRelayServerLimits(const host_limits &host);
// The limits of the relay server after a configuration. A peer relays what its own configuration
// allows, which may be an earlier one. Sizes therefore only grow, and times do not depend on the
// limits of callers.
http_server_limits nextRelayServerLimits(http_server_limits current, const caller_limits &limits);

} // namespace fescuedeck

#endif
