#include "fescuedeck/gateway/server_limits.h"

#include <algorithm>
#include <limits>

#include <sys/resource.h>
#include <unistd.h>

#include "fescuedeck/gateway/relay_protocol.h"

namespace fescuedeck {
namespace {

constexpr duration bodyTimeout = std::chrono::seconds(20);
// Callers use a connection until its idle time is over, and go by a new limit as soon as the
// operator has set it. A request that is on its way must not meet the close.
constexpr duration idleTimeoutMargin = std::chrono::seconds(3);
constexpr duration maxClientIdleAge = std::chrono::seconds(4);
constexpr duration relayIdleTimeout = 5 * maxClientIdleAge;

// The other half is for the process itself, connections, and memory that the allocator keeps.
constexpr std::size_t bodyMemoryDivisor = 2;
// Half of the descriptors is for callers, an eighth for relays. The rest is for connections to
// endpoints, of which a request may need two at a time, to the store and to peers.
constexpr std::size_t callerDescriptorsDivisor = 2;
constexpr std::size_t relayDescriptorsDivisor = 8;
constexpr std::size_t maxServerConnections = 4096;
constexpr int maxStatusConnections = 16;
constexpr std::size_t maxStatusBodyBytes = 4 * 1024;
// Of the memory for bodies, for answers whose length is not known before.
constexpr std::size_t unknownLengthDivisor = 4;

int connectionsOf(const host_limits &host, std::size_t divisor)
{
    return static_cast<int>(
            std::clamp<std::size_t>(host.fileDescriptors / divisor, 1, maxServerConnections));
}

// The limit of the process, or other if it has none.
std::size_t processLimit(int resource, std::size_t other)
{
    rlimit limit{};
    const bool isLimited = getrlimit(static_cast<__rlimit_resource>(resource), &limit) == 0
                           && limit.rlim_cur != RLIM_INFINITY;
    return isLimited ? std::min<std::size_t>(limit.rlim_cur, other) : other;
}

} // namespace

host_limits hostLimits(const gateway_settings &settings)
{
    const auto machineMemory = static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES))
                               * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    const std::size_t anyNumber = std::numeric_limits<int>::max();
    host_limits host{ settings.memoryBytes, settings.fileDescriptors };
    if (host.memoryBytes == 0)
        host.memoryBytes = processLimit(RLIMIT_AS, machineMemory);
    if (host.fileDescriptors == 0)
        host.fileDescriptors = processLimit(RLIMIT_NOFILE, anyNumber);
    return host;
}

std::size_t bodyMemoryOf(const host_limits &host)
{
    return host.memoryBytes / bodyMemoryDivisor;
}

int callerConnectionsOf(const host_limits &host)
{
    return connectionsOf(host, callerDescriptorsDivisor);
}

int relayConnectionsOf(const host_limits &host)
{
    return connectionsOf(host, relayDescriptorsDivisor);
}

http_server_limits callerServerLimits(const caller_limits &limits, const host_limits &host)
{
    http_server_limits server;
    server.maxConnections = callerConnectionsOf(host);
    server.closesWaitingForNew = true;
    server.maxHeaderBytes = limits.maxHeaderBytes;
    server.maxBodyBytes = limits.maxBodyBytes;
    server.headerTimeout = limits.headerTimeout;
    server.idleTimeout = limits.idleTimeout + idleTimeoutMargin;
    server.bodyTimeout = bodyTimeout;
    return server;
}

http_server_limits statusServerLimits()
{
    http_server_limits server;
    server.maxConnections = maxStatusConnections;
    server.closesWaitingForNew = true;
    server.maxBodyBytes = maxStatusBodyBytes;
    return server;
}

http_client_limits gatewayClientLimits(const host_limits &host)
{
    http_client_limits client;
    client.maxCollectedBytes
            = std::min(client.maxCollectedBytes, bodyMemoryOf(host) / unknownLengthDivisor);
    client.maxIdleAge = maxClientIdleAge;
    return client;
}

http_server_limits firstRelayServerLimits(const host_limits &host)
{
    http_server_limits server;
    server.maxConnections = relayConnectionsOf(host);
    server.idleTimeout = relayIdleTimeout;
    server.bodyTimeout = bodyTimeout;
    server.maxHeaderBytes += maxRelayHeaderBytes;
    return server;
}

http_server_limits nextRelayServerLimits(http_server_limits current, const caller_limits &limits)
{
    current.maxHeaderBytes
            = std::max(current.maxHeaderBytes, limits.maxHeaderBytes + maxRelayHeaderBytes);
    current.maxBodyBytes = std::max(current.maxBodyBytes, limits.maxBodyBytes);
    return current;
}

} // namespace fescuedeck
