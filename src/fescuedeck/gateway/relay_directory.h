// The peers through which this gateway can relay requests while it does not reach the endpoints.
#ifndef FESCUEDECK_GATEWAY_RELAY_DIRECTORY_H
#define FESCUEDECK_GATEWAY_RELAY_DIRECTORY_H

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/endpoint_registry.h"

namespace fescuedeck {

// How long all requests avoid a peer that has failed one or accepts none.
constexpr duration relayAvoidanceTime = std::chrono::seconds(1);

// What a peer says about itself.
struct relay_offer
{
    std::string address; // ip:port of its relay server; empty if it has none
    std::string failureDomain;
    bool reachesEndpoints = false;
    // The peer is stopping, and relays for those that find no other peer.
    bool isLastResort = false;
};

struct relay_choice
{
    std::string failureDomain;      // of this gateway
    std::set<std::string> excluded; // hosts of peers that must not be used
    time_point now{};
    std::uint64_t requestHash = 0; // spreads requests over peers of equal load
};

// Not thread-safe. Each peer is represented by an endpoint record, which counts the requests in
// flight there. The record's id is the host of the peer, and its address that of the relay server.
class relay_directory
{
public:
    // Replaces what the peer said before. The offer is in force until it expires.
    void setOffer(const std::string &peer, const relay_offer &offer, time_point expires);
    // Releases the memory of offers that have expired.
    void expire(time_point now);
    // Makes all requests avoid the peer for relayAvoidanceTime.
    void avoid(const std::string &peer, time_point now);

    // Whether a peer states that it reaches the endpoints, as a last resort at least.
    bool hasVouchingPeer(time_point now) const;
    // Returns the peer with the fewest requests of this gateway in flight; among equals, one in the
    // failure domain of this gateway. A last resort is returned if there is no other. Null if no
    // peer can be used.
    endpoint_ptr choose(const relay_choice &choice) const;

private:
    struct peer_entry
    {
        relay_offer offer;
        time_point expires{};
        time_point avoidUntil{};
        endpoint_ptr record;
    };

    static bool vouches(const peer_entry &peer, time_point now);

    std::map<std::string, peer_entry> m_peers; // by host
};

} // namespace fescuedeck

#endif
