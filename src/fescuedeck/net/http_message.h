// Plain HTTP/1.1 messages, shared by the server and the client. Use these types in all other
// modules; the HTTP library's own types stay inside this module.
#ifndef FESCUEDECK_NET_HTTP_MESSAGE_H
#define FESCUEDECK_NET_HTTP_MESSAGE_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "fescuedeck/base/error.h"

namespace fescuedeck {

struct http_header
{
    std::string name;
    std::string value;
};

// The server and the client set Content-Length, Transfer-Encoding and Connection themselves and
// ignore these headers in messages to be sent, so that a message can be passed on as received.
struct http_request
{
    std::string method;
    std::string target;
    std::vector<http_header> headers;
    std::string body;
};

struct http_response
{
    int status = 200;
    std::vector<http_header> headers;
    std::string body;
};

// Value of the first header with this name, compared without case; null if there is none. Valid as
// long as headers is unchanged.
const std::string *findHeader(const std::vector<http_header> &headers, std::string_view name);

// Whether the name and value can be sent without changing the framing of the message.
bool isValidHeader(const http_header &header);

// Says in a response of this program's own whether the request has run.
constexpr const char *outcomeHeader = "Fescuedeck-Outcome";

// Error in the form callers get: {error:{kind, message, remedy}, outcome} with the outcome repeated
// in Fescuedeck-Outcome. outcome is "ran", "not-run" or "unknown".
http_response errorResponse(int status, const failure &error, std::string_view outcome);

namespace detail {
// Capacity of the buffers from which messages are parsed, in bytes. Beast throws on a header or
// trailer field of 64 KiB, in a handler where nothing can catch it. It parses a field only once the
// buffer holds it whole, so a larger one fails to fit before.
constexpr std::size_t parseBufferBytes = 64 * 1024 - 4;
// Content-Length, Transfer-Encoding and Connection.
bool isFramingHeader(std::string_view name);
} // namespace detail

} // namespace fescuedeck

#endif
