#include "fescuedeck/claims/claim_record.h"

#include <tuple>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/hash.h"
#include "fescuedeck/base/ids.h"

namespace fescuedeck {
namespace {

using nlohmann::json;

claim_event eventFromJson(const json &record)
{
    const std::string type = record.at("type");
    if (type == "checkpoint")
        return claim_checkpoint{ record.at("covers"), record.at("state") };
    const std::string key = record.at("key");
    const std::string attempt = record.at("attempt");
    if (type == "claim")
        return claim_made{ key, attempt, record.at("router"), record.at("fingerprint"),
                           unix_millis(record.at("accepted_ms").get<std::int64_t>()) };
    if (type == "released")
        return claim_released{ key, attempt };
    if (type == "completed")
        return claim_completed{ key, attempt, answerFromJson(record) };
    throw json::other_error::create(501, "unknown record type " + type, &record);
}

// The JSON library throws type_error when it serializes text that is not UTF-8.
bool isUtf8(const std::string &text)
{
    try {
        return !json(text).dump().empty();
    } catch (const json::type_error &) {
        return false;
    }
}

// Replaces bytes that are not valid UTF-8, which can occur, for example, in the content type of a
// service's answer.
std::string serialize(const json &record)
{
    return record.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

bool operator==(const stored_answer &a, const stored_answer &b)
{
    return std::tie(a.status, a.contentType, a.body) == std::tie(b.status, b.contentType, b.body);
}

std::string toJson(const claim_made &claim)
{
    return serialize(json{ { "type", "claim" },
                           { "key", claim.key },
                           { "attempt", claim.attempt },
                           { "router", claim.router },
                           { "fingerprint", claim.fingerprint },
                           { "accepted_ms", claim.accepted.count() } });
}

std::string toJson(const claim_released &released)
{
    return serialize(json{
            { "type", "released" }, { "key", released.key }, { "attempt", released.attempt } });
}

std::string toJson(const claim_completed &completed)
{
    json record = answerToJson(completed.answer);
    record["type"] = "completed";
    record["key"] = completed.key;
    record["attempt"] = completed.attempt;
    return serialize(record);
}

std::string toJson(const claim_checkpoint &checkpoint)
{
    return serialize(json{ { "type", "checkpoint" },
                           { "covers", checkpoint.covers },
                           { "state", checkpoint.state } });
}

result<claim_event> parseClaimRecord(const std::string &body)
{
    try {
        return eventFromJson(json::parse(body));
    } catch (const json::exception &error) {
        return makeFailure(errc::InvalidMessage,
                           std::string("invalid claims record: ") + error.what());
    }
}

json answerToJson(const stored_answer &answer)
{
    json record{ { "status", answer.status }, { "content_type", answer.contentType } };
    if (!answer.body || answer.body->size() > maxStoredBody)
        return record;
    if (isUtf8(*answer.body))
        record["body"] = *answer.body;
    else
        record["body_hex"] = toHex(*answer.body);
    return record;
}

stored_answer answerFromJson(const json &record)
{
    stored_answer answer{ record.at("status"), record.at("content_type"), std::nullopt };
    if (record.contains("body"))
        answer.body = record.at("body").get<std::string>();
    if (record.contains("body_hex")) {
        const auto bytes = fromHex(record.at("body_hex").get<std::string>());
        if (!bytes)
            throw json::other_error::create(501, "body_hex is not hexadecimal", &record);
        answer.body = bytes.value();
    }
    return answer;
}

std::string scopedKey(const std::string &workspace, const std::string &key)
{
    return workspace + "/" + key;
}

std::optional<unix_millis> keyTime(const std::string &scoped)
{
    const std::size_t slash = scoped.rfind('/');
    return uuidV7Time(slash == std::string::npos ? scoped : scoped.substr(slash + 1));
}

int partitionOf(const std::string &scoped, int partitions)
{
    return static_cast<int>(stableHash(scoped) % static_cast<std::uint64_t>(partitions));
}

} // namespace fescuedeck
