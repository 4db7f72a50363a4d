// Records of a partition of the claims log and their JSON form (section 5 of the design page).
//
// A router appends what toJson returns, and reads the records back with parseClaimRecord when it
// replays the partition. The functions are thread-safe.
#ifndef FESCUEDECK_CLAIMS_CLAIM_RECORD_H
#define FESCUEDECK_CLAIMS_CLAIM_RECORD_H

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include <nlohmann/json_fwd.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/log_record.h"
#include "fescuedeck/base/time.h"

namespace fescuedeck {

// Largest body in bytes that is stored with an answer. Larger bodies are left out.
constexpr std::size_t maxStoredBody = 2048;

// The answer of a service to a call, as it is kept for copies of the call.
struct stored_answer
{
    int status = 0; // HTTP status code
    std::string contentType;
    std::optional<std::string> body; // empty if it was too large to store
};
bool operator==(const stored_answer &a, const stored_answer &b);

// Claims a key for one attempt. The first claim of a key in the log wins; see claim_table.
struct claim_made
{
    std::string key;           // scoped key, see scopedKey
    std::string attempt;       // unique ID of the attempt
    std::string router;        // ID of the claiming router, including its incarnation
    std::string fingerprint;   // of the request
    unix_millis accepted{ 0 }; // when the router accepted the request from its caller
};
// The attempt has sent nothing to the service and never will.
struct claim_released
{
    std::string key, attempt;
};
// The service has answered the attempt.
struct claim_completed
{
    std::string key, attempt;
    stored_answer answer;
};
// The state of a claim_table, from which a table that starts late can take over older keys.
struct claim_checkpoint
{
    std::int64_t covers = 0; // the state includes all records before this offset
    std::string state;       // see claim_table::checkpoint
};
using claim_event = std::variant<claim_made, claim_released, claim_completed, claim_checkpoint>;

std::string toJson(const claim_made &claim);
std::string toJson(const claim_released &released);
std::string toJson(const claim_completed &completed);
std::string toJson(const claim_checkpoint &checkpoint);
// Fails with InvalidMessage if the body is not a record of one of these types.
result<claim_event> parseClaimRecord(const std::string &body);

// Convert an answer that is part of another JSON document. answerToJson leaves out a body larger
// than maxStoredBody. answerFromJson throws nlohmann::json::exception if a field is missing or
// malformed.
nlohmann::json answerToJson(const stored_answer &answer);
stored_answer answerFromJson(const nlohmann::json &json);

// Returns the caller's Idempotency-Key prefixed with its workspace, so that equal keys of different
// workspaces stay separate.
std::string scopedKey(const std::string &workspace, const std::string &key);
// Returns the creation time of the caller's key within a scoped key, empty if that key is not a
// UUIDv7.
std::optional<unix_millis> keyTime(const std::string &scoped);
// Returns the partition of the claims log, from 0 to partitions - 1, that has the records of a
// scoped key.
int partitionOf(const std::string &scoped, int partitions);

} // namespace fescuedeck

#endif
