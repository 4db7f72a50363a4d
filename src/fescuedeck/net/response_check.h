// Decides whether a response of a server can be used. Apply it to each head that the HTTP library
// has parsed: the library accepts responses that no caller could use or whose end is ambiguous.
//
// Reason phrases are not checked, because they are dropped.
#ifndef FESCUEDECK_NET_RESPONSE_CHECK_H
#define FESCUEDECK_NET_RESPONSE_CHECK_H

#include <optional>

#include <boost/system/error_code.hpp>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/net/http_message.h"

namespace fescuedeck {

// Why a response is malformed. The request may have run, whatever the status says.
enum class response_fault {
    InvalidStatus,      // neither interim nor from 200 to 599
    UnaskedUpgrade,     // 101; the client asks for no other protocol
    UnsupportedVersion, // neither 1.0 nor 1.1
    AmbiguousLength,    // it is unclear where the response ends
    InvalidSyntax,
    TooManyResponses, // interim ones, or ones to other requests, before the expected one
};

constexpr name_table<response_fault, 6> responseFaultNames = { {
        { response_fault::InvalidStatus, "invalid_status" },
        { response_fault::UnaskedUpgrade, "unasked_upgrade" },
        { response_fault::UnsupportedVersion, "unsupported_version" },
        { response_fault::AmbiguousLength, "ambiguous_length" },
        { response_fault::InvalidSyntax, "invalid_syntax" },
        { response_fault::TooManyResponses, "too_many_responses" },
} };

constexpr bool isFinalStatus(int status)
{
    return status >= 200 && status <= 599;
}

constexpr bool isInterimStatus(int status)
{
    return status >= 100 && status <= 199 && status != 101;
}

// version is 10 for HTTP/1.0 and 11 for HTTP/1.1.
std::optional<response_fault> findFault(int version, const http_response &head);

// Whether the head announces a body although its status allows none. Such a response is used
// without the body, but some servers send it, so the connection is not used again.
bool announcesForbiddenBody(const http_response &head);

// The fault of a response that the HTTP library could not parse; nothing for errors of the
// connection and for exceeded limits.
std::optional<response_fault> faultOfParseError(const boost::system::error_code &error);

} // namespace fescuedeck

#endif
