#include "fescuedeck/net/response_check.h"

#include <algorithm>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/error.hpp>

namespace fescuedeck {
namespace {

namespace http = boost::beast::http;

constexpr int http10 = 10;
constexpr int http11 = 11;
constexpr int statusSwitchingProtocols = 101;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

bool announcesBody(const http_response &head)
{
    const std::string *length = findHeader(head.headers, "Content-Length");
    return findHeader(head.headers, "Transfer-Encoding") != nullptr
           || (length != nullptr && *length != "0");
}

// The HTTP library ignores an encoding that does not end with "chunked", and leaves the others
// applied to the body.
bool hasUnknownEncoding(int version, const http_response &head)
{
    const auto isEncoding = [](const http_header &header) {
        return boost::algorithm::iequals(header.name, "Transfer-Encoding");
    };
    const auto count = std::count_if(head.headers.begin(), head.headers.end(), isEncoding);
    if (count == 0)
        return false;
    const std::string &encoding = *findHeader(head.headers, "Transfer-Encoding");
    // A server of version 1.0 may have passed on the header without knowing what it means.
    return version == http10 || count > 1 || !boost::algorithm::iequals(encoding, "chunked");
}

} // namespace

std::optional<response_fault> findFault(int version, const http_response &head)
{
    if (version != http10 && version != http11)
        return response_fault::UnsupportedVersion;
    if (head.status == statusSwitchingProtocols)
        return response_fault::UnaskedUpgrade;
    if (!isFinalStatus(head.status) && !isInterimStatus(head.status))
        return response_fault::InvalidStatus;
    if (!std::all_of(head.headers.begin(), head.headers.end(), isValidHeader))
        return response_fault::InvalidSyntax;
    if (isInterimStatus(head.status) && announcesBody(head))
        return response_fault::AmbiguousLength;
    if (hasUnknownEncoding(version, head))
        return response_fault::AmbiguousLength;
    return std::nullopt;
}

bool announcesForbiddenBody(const http_response &head)
{
    const bool allowsNone = head.status == statusNoContent || head.status == statusNotModified;
    return allowsNone && announcesBody(head);
}

std::optional<response_fault> faultOfParseError(const boost::system::error_code &error)
{
    if (error.category() != http::make_error_code(http::error::bad_target).category())
        return std::nullopt;
    switch (static_cast<http::error>(error.value())) {
    case http::error::end_of_stream:
    case http::error::partial_message:
    case http::error::body_limit:
    case http::error::header_limit:
    case http::error::buffer_overflow:
        return std::nullopt;
    case http::error::bad_status:
        return response_fault::InvalidStatus;
    case http::error::bad_version:
        return response_fault::UnsupportedVersion;
    case http::error::bad_content_length:
    case http::error::bad_transfer_encoding:
    case http::error::bad_chunk:
    case http::error::bad_chunk_extension:
        return response_fault::AmbiguousLength;
    default:
        return response_fault::InvalidSyntax;
    }
}

} // namespace fescuedeck
