#include "fescuedeck/gateway/relay_directory.h"

#include <algorithm>
#include <tuple>

#include "fescuedeck/base/hash.h"

namespace fescuedeck {

void relay_directory::setOffer(const std::string &peer, const relay_offer &offer,
                               time_point expires)
{
    peer_entry &entry = m_peers[peer];
    // Requests in flight keep the record of the earlier address.
    if (!entry.record || entry.record->entry.address != offer.address) {
        entry.record = std::make_shared<endpoint_record>();
        entry.record->entry.id = peer;
        entry.record->entry.address = offer.address;
        entry.record->entry.failureDomain = offer.failureDomain;
    }
    entry.offer = offer;
    entry.expires = expires;
}

void relay_directory::expire(time_point now)
{
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        const bool isUnused = peer->second.expires <= now && peer->second.record->inFlight == 0;
        peer = isUnused ? m_peers.erase(peer) : std::next(peer);
    }
}

void relay_directory::avoid(const std::string &peer, time_point now)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end())
        found->second.avoidUntil = now + relayAvoidanceTime;
}

bool relay_directory::vouches(const peer_entry &peer, time_point now)
{
    const bool isOffered = peer.offer.reachesEndpoints || peer.offer.isLastResort;
    return peer.expires > now && isOffered && !peer.offer.address.empty();
}

bool relay_directory::hasVouchingPeer(time_point now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [now](const auto &peer) { return vouches(peer.second, now); });
}

endpoint_ptr relay_directory::choose(const relay_choice &choice) const
{
    using rank = std::tuple<bool, int, bool, std::uint64_t>;
    endpoint_ptr best;
    rank bestRank;
    for (const auto &[host, peer] : m_peers) {
        const bool isUsable = vouches(peer, choice.now) && peer.avoidUntil <= choice.now
                              && choice.excluded.count(host) == 0;
        if (!isUsable)
            continue;
        const rank candidate{ peer.offer.isLastResort, peer.record->inFlight,
                              peer.offer.failureDomain != choice.failureDomain,
                              stableHash(host, choice.requestHash) };
        if (!best || candidate < bestRank) {
            best = peer.record;
            bestRank = candidate;
        }
    }
    return best;
}

} // namespace fescuedeck
