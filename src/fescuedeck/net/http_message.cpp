#include "fescuedeck/net/http_message.h"

#include <algorithm>
#include <array>

#include <boost/algorithm/string/predicate.hpp>
#include <nlohmann/json.hpp>

namespace fescuedeck {
namespace {

// RFC 9110, section 5.6.2.
bool isTokenCharacter(char c)
{
    const bool isAlphanumeric
            = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    return isAlphanumeric || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isValueCharacter(char c)
{
    const auto code = static_cast<unsigned char>(c);
    return c == '\t' || (code >= 0x20U && code != 0x7fU);
}

std::string kindOf(const std::error_code &code)
{
    const bool isOwn = code.category() == errorCategory();
    return errorName(isOwn ? static_cast<errc>(code.value()) : errc::Internal);
}

} // namespace

const std::string *findHeader(const std::vector<http_header> &headers, std::string_view name)
{
    for (const http_header &header : headers) {
        if (boost::algorithm::iequals(header.name, name))
            return &header.value;
    }
    return nullptr;
}

bool isValidHeader(const http_header &header)
{
    return !header.name.empty()
           && std::all_of(header.name.begin(), header.name.end(), isTokenCharacter)
           && std::all_of(header.value.begin(), header.value.end(), isValueCharacter);
}

http_response errorResponse(int status, const failure &error, std::string_view outcome)
{
    nlohmann::json body;
    body["error"]["kind"] = kindOf(error.code);
    body["error"]["message"] = error.detail;
    body["error"]["remedy"] = error.remedy();
    body["outcome"] = std::string(outcome);

    http_response response;
    response.status = status;
    response.headers
            = { { "Content-Type", "application/json" }, { outcomeHeader, std::string(outcome) } };
    // The detail may quote bytes of the caller that are not UTF-8.
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

namespace detail {

bool isFramingHeader(std::string_view name)
{
    constexpr std::array<std::string_view, 3> names
            = { "Content-Length", "Transfer-Encoding", "Connection" };
    return std::any_of(names.begin(), names.end(), [name](std::string_view framing) {
        return boost::algorithm::iequals(framing, name);
    });
}

} // namespace detail
} // namespace fescuedeck
