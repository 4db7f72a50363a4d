// Sends one call to a replica of a plain service. Defines the headers of the forwarded request and
// determines from the result whether the replica has run the call.
#ifndef FESCUEDECK_ROUTER_SERVICE_CALL_H
#define FESCUEDECK_ROUTER_SERVICE_CALL_H

#include <string>

#include "fescuedeck/bundle/bundle.h"
#include "fescuedeck/net/http_client.h"
#include "fescuedeck/router/router_context.h"

namespace fescuedeck {

// What is known about whether the replica has run the call.
enum class execution_status {
    NotRun,  // no byte was sent, or the replica refused the call before it started
    Ran,     // the replica answered
    Unknown, // bytes may have been sent, but there was no answer
};

struct service_answer
{
    execution_status execution = execution_status::Unknown;
    // The replica's response, or the reason why there is none.
    result<http_response> response = makeFailure(errc::Internal, "no call was made");
    duration elapsed{};
};

// Returns a copy of the caller's request without its credentials and per-connection headers, and
// with the workspace and trace headers of the router.
http_request forwardedRequest(const http_request &caller, const std::string &workspace,
                              const trace_context &span);
// Returns the headers that may be forwarded, of a request as well as of a response. Headers that
// concern one connection, credentials and headers that the router sets itself are dropped.
std::vector<http_header> forwardedHeaders(const std::vector<http_header> &headers);

// Sends the request to the replica, records a trace span and reports the result to the fleet state.
service_answer callReplica(router_context &context, const endpoint_spec &replica,
                           const http_request &caller, const std::string &workspace,
                           const trace_context &trace, const call_options &options,
                           boost::asio::yield_context yield);

} // namespace fescuedeck

#endif
