// Chooses the destinations of one request, attempt after attempt.
#ifndef FESCUEDECK_GATEWAY_DESTINATION_CHOOSER_H
#define FESCUEDECK_GATEWAY_DESTINATION_CHOOSER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "fescuedeck/gateway/endpoint_choice.h"
#include "fescuedeck/gateway/gateway_context.h"

namespace fescuedeck {

// Not thread-safe. The context must outlive this object.
class destination_chooser
{
public:
    // engine describes the engines of the service; null for a plain service. It must outlive this
    // object. requestHash spreads requests over the links between failure domains.
    destination_chooser(gateway_context &context, std::string service, const engine_spec *engine,
                        std::uint64_t requestHash);

    // Returns the best destination that avoids the excluded endpoints and whose first endpoint
    // accepts a request within its request limit. Records the demand for each endpoint that it
    // considers, once per attempt.
    std::optional<destination> choose();
    // Returns the best peer for relaying the request, apart from the excluded ones.
    std::optional<destination> chooseRelay() const;
    // Whether a destination exists that shares no endpoint with the given one; for a relay, whether
    // another peer can relay the request.
    bool hasAlternativeTo(const destination &to) const;
    // Counts an attempt at the destination against its request limit.
    void beginAttempt(const destination &to);

    void exclude(const std::string &endpoint) { m_excluded.insert(endpoint); }
    void excludePeer(const std::string &peer) { m_excludedPeers.insert(peer); }
    void clearExcluded();
    std::size_t excludedCount() const { return m_excluded.size() + m_excludedPeers.size(); }
    // Whether choose() has passed over an endpoint because of its request limit.
    bool hasMetLimit() const { return m_hasMetLimit; }

private:
    std::optional<destination> chooseWithout(const std::set<std::string> &excluded) const;
    endpoint_ptr choosePeerWithout(const std::set<std::string> &excluded) const;

    gateway_context &m_context;
    const std::string m_service;
    const engine_spec *m_engine;
    const std::uint64_t m_requestHash;
    std::set<std::string> m_excluded;      // ids of endpoints that have failed the request
    std::set<std::string> m_excludedPeers; // hosts of peers that have failed or refused it
    // Incarnation names of the endpoints whose demand was recorded for the next attempt.
    std::set<std::string> m_demanded;
    bool m_hasMetLimit = false;
};

} // namespace fescuedeck

#endif
