// One call to a replica of a plain service: the request as the replica gets it and what its answer
// proves.
#ifndef FESCUEDECK_ROUTER_SERVICE_CALL_H
#define FESCUEDECK_ROUTER_SERVICE_CALL_H

#include <string>

#include "fescuedeck/bundle/bundle.h"
#include "fescuedeck/net/http_client.h"
#include "fescuedeck/router/router_context.h"

namespace fescuedeck {

enum class execution_status {
    NotRun,  // nothing was written, or the replica refused before the start
    Ran,     // the replica answered
    Unknown, // written, without an answer
};

struct service_answer
{
    execution_status execution = execution_status::Unknown;
    // The replica's answer, or why there is none.
    result<http_response> response = makeFailure(errc::Internal, "no call was made");
    duration elapsed{};
};

// Copies the caller's request without its credentials and with the workspace and trace headers.
http_request forwardedRequest(const http_request &caller, const std::string &workspace,
                              const trace_context &span);
// Response headers that may be passed on to the caller.
std::vector<http_header> forwardedHeaders(const std::vector<http_header> &headers);

// Sends the request, records its span and reports the result to the fleet's state.
service_answer callReplica(router_context &context, const endpoint_spec &replica,
                           const http_request &caller, const std::string &workspace,
                           const trace_context &trace, const call_options &options,
                           boost::asio::yield_context yield);

} // namespace fescuedeck

#endif
