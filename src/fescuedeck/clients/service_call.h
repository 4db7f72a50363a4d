// Parts of a call to an outside service with a JSON answer, shared by the clients of this module.
#ifndef FESCUEDECK_CLIENTS_SERVICE_CALL_H
#define FESCUEDECK_CLIENTS_SERVICE_CALL_H

#include <string>
#include <string_view>

#include <boost/asio/spawn.hpp>
#include <nlohmann/json.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/net/http_client.h"

namespace fescuedeck::detail {

// Escapes all but the unreserved characters of RFC 3986, so that a name stays one path segment.
std::string escapePathSegment(std::string_view text);

// InvalidMessage if the text is not JSON or is nested too deeply for the recursive functions of the
// JSON library.
result<nlohmann::json> parseJson(const std::string &text);

// The answer of status 200, parsed; for any other status a failure of the given kind.
result<nlohmann::json> parseAnswer(const http_response &response, errc kind);

} // namespace fescuedeck::detail

#endif
