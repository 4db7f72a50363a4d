// Requests and a handler that the tests of the HTTP server share.
#ifndef FESCUEDECK_NET_ECHO_HANDLER_H
#define FESCUEDECK_NET_ECHO_HANDLER_H

#include <stdexcept>
#include <string>

#include "fescuedeck/net/http_server.h"

namespace fescuedeck {

inline std::string get(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: test\r\n\r\n";
}

inline http_response text(const std::string &body)
{
    http_response response;
    response.body = body;
    return response;
}

// Echoes the target; "/throw" throws.
inline void echo(http_exchange &exchange)
{
    if (exchange.request().target == "/throw")
        throw std::runtime_error("fault in a handler");
    exchange.respond(text("echo " + exchange.request().target + exchange.request().body));
}

} // namespace fescuedeck

#endif
