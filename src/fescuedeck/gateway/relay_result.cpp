#include "fescuedeck/gateway/relay_result.h"

#include "fescuedeck/gateway/relay_protocol.h"

namespace fescuedeck {
namespace {

relay_result resultOf(relay_outcome outcome)
{
    switch (outcome) {
    case relay_outcome::Unavailable:
        return relay_result::Unavailable;
    case relay_outcome::NotRun:
        return relay_result::Refused;
    case relay_outcome::MayHaveRun:
        break;
    }
    return relay_result::Lost;
}

} // namespace

relay_result evaluateRelay(const call_result &result, const std::string &id,
                           const platform_adapter &adapter)
{
    if (!result.response)
        return result.mayHaveBeenSent ? relay_result::Lost : relay_result::Unreached;
    const http_response &response = result.response.value();
    if (const auto refusal = readRelayRefusal(response, id))
        return resultOf(*refusal);
    if (adapter.readResponse(response).id == id)
        return relay_result::Response;
    // The HTTP server of the peer has rejected the request, or its handler has failed.
    const std::string *outcome = findHeader(response.headers, outcomeHeader);
    const bool isRefused = outcome != nullptr && *outcome == "not-run";
    return isRefused ? relay_result::Refused : relay_result::Lost;
}

} // namespace fescuedeck
