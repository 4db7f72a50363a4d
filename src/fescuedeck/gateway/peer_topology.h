// Chooses which gateways exchange state directly, so that the cost of a gateway does not grow with
// the number of failure domains times the gateways in each.
//
// The gateways of one failure domain are all connected to each other. Between two domains each
// gateway connects to a few gateways of the other one, chosen by rendezvous hashing, so that the
// links spread evenly and few of them change when a gateway joins or leaves.
#ifndef FESCUEDECK_GATEWAY_PEER_TOPOLOGY_H
#define FESCUEDECK_GATEWAY_PEER_TOPOLOGY_H

#include <map>
#include <string>
#include <vector>

namespace fescuedeck {

// Connections of one gateway to each other failure domain. The second one serves if the first
// fails.
constexpr std::size_t linksPerOtherDomain = 2;

struct gateway_location
{
    std::string address;       // ip:port for connections from other gateways
    std::string failureDomain; // empty if the gateway has not stated it
};

// The text form in the table of gateways: the address, and the domain after a space.
std::string toText(const gateway_location &location);
gateway_location parseLocation(const std::string &text);

using gateway_locations = std::map<std::string, gateway_location>; // by host

// Returns the addresses that a gateway connects to: all in its own domain or without a domain, and
// linksPerOtherDomain in each other one. host need not be in gateways.
std::vector<std::string> choosePeers(const std::string &host, const std::string &failureDomain,
                                     const gateway_locations &gateways);

} // namespace fescuedeck

#endif
