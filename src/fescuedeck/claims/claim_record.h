// Records of a claims partition and their JSON form (section 5 of the design page).
//
// Use toJson for appends and parseClaimRecord in the fold.
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

// Answers with larger bodies are stored without the body.
constexpr std::size_t maxStoredBody = 2048;

struct stored_answer
{
    int status = 0;
    std::string contentType;
    std::optional<std::string> body;
};
bool operator==(const stored_answer &a, const stored_answer &b);

// Reserves a key for one attempt.
struct claim_made
{
    std::string key; // see scopedKey
    std::string attempt;
    std::string router;        // with its incarnation
    std::string fingerprint;   // of the request
    unix_millis accepted{ 0 }; // when the router accepted the request from its caller
};
// The attempt has sent nothing and never will.
struct claim_released
{
    std::string key, attempt;
};
struct claim_completed
{
    std::string key, attempt;
    stored_answer answer;
};
struct claim_checkpoint
{
    std::int64_t covers = 0; // state before this offset
    std::string state;       // see claim_table::checkpoint
};
using claim_event = std::variant<claim_made, claim_released, claim_completed, claim_checkpoint>;

std::string toJson(const claim_made &claim);
std::string toJson(const claim_released &released);
std::string toJson(const claim_completed &completed);
std::string toJson(const claim_checkpoint &checkpoint);
result<claim_event> parseClaimRecord(const std::string &body);

// For parts of other documents.
nlohmann::json answerToJson(const stored_answer &answer);
stored_answer answerFromJson(const nlohmann::json &json);

// Keys of different workspaces do not meet. The key is the caller's Idempotency-Key.
std::string scopedKey(const std::string &workspace, const std::string &key);
// Creation time of the caller's key within a scoped key; empty if it is not a UUIDv7.
std::optional<unix_millis> keyTime(const std::string &scoped);
int partitionOf(const std::string &scoped, int partitions);

} // namespace fescuedeck

#endif
