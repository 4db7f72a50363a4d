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
    // Whether a destination exists that shares no endpoint with the given one.
    bool hasAlternativeTo(const destination &to) const;
    // Counts an attempt at the destination against its request limit.
    void beginAttempt(const destination &to);

    void exclude(const std::string &endpoint) { m_excluded.insert(endpoint); }
    void clearExcluded() { m_excluded.clear(); }
    std::size_t excludedCount() const { return m_excluded.size(); }
    // Whether choose() has passed over an endpoint because of its request limit.
    bool hasMetLimit() const { return m_hasMetLimit; }

private:
    std::optional<destination> chooseWithout(const std::set<std::string> &excluded) const;

    gateway_context &m_context;
    const std::string m_service;
    const engine_spec *m_engine;
    const std::uint64_t m_requestHash;
    std::set<std::string> m_excluded; // ids of endpoints that have failed the request
    // Incarnation names of the endpoints whose demand was recorded for the next attempt.
    std::set<std::string> m_demanded;
    bool m_hasMetLimit = false;
};

} // namespace fescuedeck

#endif
