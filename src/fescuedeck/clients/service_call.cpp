#include "fescuedeck/clients/service_call.h"

#include "fescuedeck/base/hash.h"

namespace fescuedeck::detail {
namespace {

constexpr int maxJsonDepth = 64;
constexpr std::size_t maxQuotedBytes = 200; // of an error answer in a message

bool isUnreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
           || std::string_view("-._~").find(c) != std::string_view::npos;
}

} // namespace

std::string escapePathSegment(std::string_view text)
{
    std::string escaped;
    for (const char c : text)
        escaped += isUnreserved(c) ? std::string(1, c) : "%" + toHex(std::string_view(&c, 1));
    return escaped;
}

result<nlohmann::json> parseJson(const std::string &text)
{
    bool isTooDeep = false;
    const auto limitDepth = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        isTooDeep = isTooDeep || depth > maxJsonDepth;
        return !isTooDeep;
    };
    auto json = nlohmann::json::parse(text, limitDepth, false);
    if (isTooDeep)
        return makeFailure(errc::InvalidMessage, "the JSON text is nested too deeply");
    if (json.is_discarded())
        return makeFailure(errc::InvalidMessage, "the text is not JSON");
    return json;
}

result<nlohmann::json> parseAnswer(const http_response &response, errc kind)
{
    if (response.status == 200)
        return parseJson(response.body);
    return makeFailure(kind, "status " + std::to_string(response.status) + ": "
                                     + response.body.substr(0, maxQuotedBytes));
}

} // namespace fescuedeck::detail
