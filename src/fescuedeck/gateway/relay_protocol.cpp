#include "fescuedeck/gateway/relay_protocol.h"

#include <array>
#include <charconv>
#include <string_view>

#include "fescuedeck/base/hash.h"

namespace fescuedeck {
namespace {

// Sets these HMACs apart from others made with the same secret, and one version from the next.
const std::string relayContext = "fescuedeck relay 1";
constexpr char separator = ';';

// The length in front keeps two fields from being read as one.
std::string withLength(const std::string &field)
{
    return std::to_string(field.size()) + ":" + field;
}

std::string proofOf(const std::string &secret, const relay_claim &claim,
                    const relay_subject &subject)
{
    std::string text = withLength(relayContext);
    text += withLength(claim.origin);
    text += withLength(std::to_string(claim.possibleRuns));
    text += withLength(claim.service);
    text += withLength(std::to_string(claim.sentAt.count()));
    text += withLength(subject.receiver);
    text += withLength(subject.id);
    text += withLength(subject.method);
    text += withLength(subject.target);
    return hmacSha256Hex(secret, text);
}

template <class Number>
bool readNumber(std::string_view text, Number &number)
{
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end && number >= 0;
}

struct signed_claim
{
    relay_claim claim;
    std::string proof;
};

std::optional<signed_claim> parseHeader(std::string_view text)
{
    std::array<std::string_view, 4> fields; // the service is last and may contain separators
    for (std::string_view &field : fields) {
        const std::size_t end = text.find(separator);
        if (end == std::string_view::npos)
            return std::nullopt;
        field = text.substr(0, end);
        text.remove_prefix(end + 1);
    }
    signed_claim parsed;
    parsed.proof = fields[0];
    std::int64_t sentAt = 0;
    if (!readNumber(fields[1], sentAt) || !readNumber(fields[2], parsed.claim.possibleRuns))
        return std::nullopt;
    parsed.claim.sentAt = unix_millis(sentAt);
    parsed.claim.origin = fields[3];
    parsed.claim.service = text;
    return parsed;
}

} // namespace

http_header makeRelayHeader(const std::string &secret, const relay_claim &claim,
                            const relay_subject &subject)
{
    std::string value = proofOf(secret, claim, subject);
    value += separator + std::to_string(claim.sentAt.count());
    value += separator + std::to_string(claim.possibleRuns);
    value += separator + claim.origin;
    value += separator + claim.service;
    return { relayHeader, std::move(value) };
}

result<relay_claim> checkRelayHeader(const std::string &secret, const http_request &request,
                                     const relay_subject &subject, unix_millis now)
{
    const std::string *value = findHeader(request.headers, relayHeader);
    if (value == nullptr || secret.empty())
        return makeFailure(errc::Unauthenticated, "request has no proof of a gateway");
    const auto parsed = parseHeader(*value);
    if (!parsed || !equalConstantTime(parsed->proof, proofOf(secret, parsed->claim, subject)))
        return makeFailure(errc::Unauthenticated, "request has a wrong proof of a gateway");
    const auto age = now - parsed->claim.sentAt;
    if (age > maxRelayClockSkew || age < -maxRelayClockSkew)
        return makeFailure(errc::Unauthenticated,
                           "proof of gateway " + parsed->claim.origin + " is out of date");
    return parsed->claim;
}

void markRelayRefusal(http_response &response, relay_outcome outcome, const std::string &id)
{
    std::string value(nameOf(relayOutcomeNames, outcome));
    response.headers.push_back({ relayRefusalHeader, value + separator + id });
}

std::optional<relay_outcome> readRelayRefusal(const http_response &response, const std::string &id)
{
    const std::string *value = findHeader(response.headers, relayRefusalHeader);
    if (value == nullptr)
        return std::nullopt;
    const std::size_t end = value->find(separator);
    if (end == std::string::npos || value->substr(end + 1) != id)
        return std::nullopt;
    return valueOf(relayOutcomeNames, value->substr(0, end));
}

} // namespace fescuedeck
