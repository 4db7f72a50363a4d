// Access to the accepted sockets of this process by the address of their peer. Stand-ins use it for
// faults that the HTTP server has no call for.
#ifndef FESCUEDECK_STANDINS_OWN_SOCKETS_H
#define FESCUEDECK_STANDINS_OWN_SOCKETS_H

#include <cstdint>
#include <set>
#include <string>

namespace fescuedeck::standins {

// Peers ("127.0.0.1:port") of the connections that are open on the listening port.
std::set<std::string> connectedPeers(std::uint16_t listeningPort);
// Shuts the connection with the peer down, so that the peer sees it close.
void shutDownConnection(std::uint16_t listeningPort, const std::string &peer);

} // namespace fescuedeck::standins

#endif
