// What gateways add to a request that one of them relays to another, and to a refusal of it.
//
// A relayed request is the caller's request with one more header, which names the relaying gateway
// and proves that it knows the gateways' shared secret. The response is that of the endpoint. If
// the receiving gateway refuses the request itself, a header of the response says so.
//
// The proof covers the header, the request's id, its method and target, and the receiving gateway.
// It does not protect against a party that can read or change the connections between gateways.
#ifndef FESCUEDECK_GATEWAY_RELAY_PROTOCOL_H
#define FESCUEDECK_GATEWAY_RELAY_PROTOCOL_H

#include <optional>
#include <string>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/name_table.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/net/http_message.h"

namespace fescuedeck {

constexpr const char *relayHeader = "Fescuedeck-Relay";
constexpr const char *relayRefusalHeader = "Fescuedeck-Relay-Refusal";
// Largest size of the relay header with its name. A relay server accepts heads that are larger by
// this much than those of callers.
constexpr std::size_t maxRelayHeaderBytes = 1024;
// Accepted difference between the clocks of two gateways, network delay included.
constexpr duration maxRelayClockSkew = std::chrono::seconds(30);

// What the relaying gateway states about a request.
struct relay_claim
{
    std::string origin;   // host of the relaying gateway
    int possibleRuns = 0; // attempts in which the request may have run already
    std::string service;  // drawn from the shares of the route
    unix_millis sentAt{}; // by the clock of the relaying gateway
};

// What the proof covers besides the claim.
struct relay_subject
{
    std::string receiver; // host of the receiving gateway
    std::string id;       // of the request
    std::string method;
    std::string target;
};

// Returns the relay header. The secret must not be empty.
http_header makeRelayHeader(const std::string &secret, const relay_claim &claim,
                            const relay_subject &subject);
// Returns the claim of a relayed request. Fails with Unauthenticated if the header is missing or
// its proof is wrong or too old, and always if the secret is empty.
result<relay_claim> checkRelayHeader(const std::string &secret, const http_request &request,
                                     const relay_subject &subject, unix_millis now);

// What a refusal by the receiving gateway says.
enum class relay_outcome {
    Unavailable, // it accepts no relayed requests now, and has sent the request nowhere
    NotRun,      // the request has certainly not run
    MayHaveRun,
};

constexpr name_table<relay_outcome, 3> relayOutcomeNames = { {
        { relay_outcome::Unavailable, "unavailable" },
        { relay_outcome::NotRun, "not-run" },
        { relay_outcome::MayHaveRun, "unknown" },
} };

void markRelayRefusal(http_response &response, relay_outcome outcome, const std::string &id);
// Empty if the response is not a gateway's refusal of the request with the id.
std::optional<relay_outcome> readRelayRefusal(const http_response &response, const std::string &id);

} // namespace fescuedeck

#endif
