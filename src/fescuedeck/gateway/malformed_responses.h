// Counts malformed responses by endpoint and reason, and logs when an address begins to send them.
#ifndef FESCUEDECK_GATEWAY_MALFORMED_RESPONSES_H
#define FESCUEDECK_GATEWAY_MALFORMED_RESPONSES_H

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "fescuedeck/base/time.h"
#include "fescuedeck/net/response_check.h"
#include "fescuedeck/telemetry/metrics.h"

namespace fescuedeck {

// Not thread-safe.
class malformed_responses
{
public:
    // The metrics must outlive this object.
    explicit malformed_responses(metrics &counters);

    // address is that of an endpoint, a peer or the store.
    void record(const std::string &address, response_fault fault, time_point now);

private:
    metrics &m_counters;
    // When each address last sent a malformed response for each reason.
    std::map<std::pair<std::string, response_fault>, time_point> m_last;
};

} // namespace fescuedeck

#endif
