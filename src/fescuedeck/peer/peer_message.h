// Messages between routers and their CBOR form. Use them wherever a module speaks to peers; the
// transport is net/peer_network.
#ifndef FESCUEDECK_PEER_PEER_MESSAGE_H
#define FESCUEDECK_PEER_PEER_MESSAGE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/name_table.h"
#include "fescuedeck/peer/crash_report.h"
#include "fescuedeck/peer/request_limit_report.h"
#include "fescuedeck/peer/table_records.h"
#include "fescuedeck/stream/crash_suspects.h"

namespace fescuedeck {

// First message of each side of a connection.
struct peer_hello
{
    std::string deployment; // routers of different deployments do not talk to each other
    std::string cell;
    std::string router;
    std::string incarnation; // new for each start of the process
    std::string nonce;       // new for each connection
};

struct peer_proof
{
    std::string hmac; // hex, see peer_handshake.h
};

// Predicted work in tokens of requests that wait for capacity, by service and rank.
using waiting_work = std::map<std::pair<std::string, int>, double>;

// What a router knows and does; sent on change and at least each second.
struct peer_digest
{
    std::int64_t version = 0; // of the bundle in force, with its hash
    std::string hash;
    std::int64_t offset = 0; // next offset of the control stream
    std::map<std::string, double>
            inFlight;                  // streams by endpoint, in units of its whole layer range
    std::set<std::string> suspects;    // endpoints
    std::set<std::string> leaving;     // endpoint@incarnation
    std::set<std::string> drained;     // hosts whose drain is not in the log yet
    std::set<std::string> quarantined; // keys: fingerprints, or names of prompt segments
    // Remaining times of the quarantines of a gateway, by key. Empty if the sender tells none.
    std::map<std::string, duration> quarantines;
    crash_reports crashes;        // empty if the sender reports none
    request_limit_reports limits; // empty if the sender reports none
    // ip:port at which the sender, a gateway, accepts relayed requests; empty if it accepts none.
    std::string relayAddress;
    // Whether the sender can send requests to endpoints now and goes on doing so.
    bool reachesEndpoints = false;
    // Whether the sender can do so for a while, although it is stopping.
    bool isLastResort = false;
    // Retries that the sender, a gateway, would lend, by service. Empty if it offers none.
    std::map<std::string, int> retryOffers;
    waiting_work waiting; // empty if the sender reports none
    // Set by gateways that understand table_records. Others close the connection on that message.
    std::optional<table_report> tables;
};

// Asks for the state of the control stream of a peer whose bundle has this or a greater version.
struct bundle_request
{
    std::int64_t version = 0;
};

struct bundle_state
{
    std::string checkpoint; // of the control state
};

// Asks a peer that has offered retries of the service for some of them.
struct retry_request
{
    std::string service;
    int count = 0;
    std::int64_t requestedAt = 0; // microseconds of a clock that only the sender reads
};

// The receiver may use these retries in place of the sender, for a fraction of a second after it
// has requested them.
struct retry_loan
{
    std::string service;
    int count = 0;
    std::int64_t requestedAt = 0; // as in the request
};

// Asks whether the peer holds the answer of a non-idempotent call.
struct outcome_request
{
    std::string key;
};

enum class outcome_status {
    Unknown, // the peer knows nothing about the key
    InProgress,
    Completed,
};

inline constexpr name_table<outcome_status, 3> outcomeStatusNames = { {
        { outcome_status::Unknown, "unknown" },
        { outcome_status::InProgress, "in_progress" },
        { outcome_status::Completed, "completed" },
} };

struct outcome_answer
{
    int status = 0; // of HTTP
    std::string contentType;
    std::string body;
};

struct outcome_reply
{
    std::string key;
    outcome_status status = outcome_status::Unknown;
    std::optional<outcome_answer> answer;
};

// The messages about requests that crash endpoints are defined with their rules in
// stream/crash_suspects.h. The peer of an exclusive_run_reply is the receiver and is not sent.
using peer_message
        = std::variant<peer_hello, peer_proof, peer_digest, bundle_request, bundle_state,
                       outcome_request, outcome_reply, announce_evidence, request_exclusive_run,
                       exclusive_run_reply, announce_exclusive_run, release_exclusive_run,
                       retry_request, retry_loan, table_records>;

// A bundle of the planned size (2,000 endpoints, 4,300 workspaces) is below 2 MiB.
constexpr std::size_t maxPeerFrameBytes = 4 * 1024 * 1024;
// Limit for hello and proof, which come from unauthenticated connections.
constexpr std::size_t maxHandshakeFrameBytes = 4 * 1024;

std::string toCbor(const peer_message &message);

// InvalidMessage if the frame is oversized, damaged, nested too deeply, of an unknown type, or has
// fields that are missing or out of range. Unknown fields are ignored.
result<peer_message> parsePeerMessage(std::string_view frame,
                                      std::size_t maxBytes = maxPeerFrameBytes);

} // namespace fescuedeck

#endif
