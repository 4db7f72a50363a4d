// Evaluates what the result of a relayed request says about the request and the peer.
#ifndef FESCUEDECK_GATEWAY_RELAY_RESULT_H
#define FESCUEDECK_GATEWAY_RELAY_RESULT_H

#include <string>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/gateway/platform_adapter.h"
#include "fescuedeck/net/http_client.h"

namespace fescuedeck {

enum class relay_result {
    Response,    // a response of the endpoint; may still be unusable
    Unreached,   // the peer did not get the request
    Unavailable, // the peer accepts no relayed requests now, and has sent the request nowhere
    Refused,     // the request has certainly not run
    Lost,        // the request may have run
};

constexpr name_table<relay_result, 5> relayResultNames = { {
        { relay_result::Response, "response" },
        { relay_result::Unreached, "unreached" },
        { relay_result::Unavailable, "unavailable" },
        { relay_result::Refused, "refused" },
        { relay_result::Lost, "lost" },
} };

// id is that of the request.
relay_result evaluateRelay(const call_result &result, const std::string &id,
                           const platform_adapter &adapter);

// Whether the request has certainly not run.
constexpr bool isNotRun(relay_result result)
{
    return result == relay_result::Unreached || result == relay_result::Unavailable
           || result == relay_result::Refused;
}

} // namespace fescuedeck

#endif
