// The error responses that callers get, and the authentication of callers. Callers are the clients
// that send requests to the router.
#ifndef FESCUEDECK_ROUTER_CALLER_ERROR_H
#define FESCUEDECK_ROUTER_CALLER_ERROR_H

#include <string>
#include <string_view>

#include "fescuedeck/base/error.h"
#include "fescuedeck/bundle/bundle_index.h"
#include "fescuedeck/net/http_message.h"

namespace fescuedeck {

// Values of the Fescuedeck-Outcome header.
constexpr std::string_view outcomeRan = "ran";
constexpr std::string_view outcomeNotRun = "not-run";
constexpr std::string_view outcomeUnknown = "unknown";

// Returns the HTTP status for an error; 500 if its kind has no status of its own.
int statusOf(const failure &error);
// Returns the response to a request that failed: the status, the error in the body, the
// Fescuedeck-Outcome header and, for errors after which a retry may succeed, the Retry-After
// header.
http_response callerError(const failure &error, std::string_view outcome);

// Returns the workspace to which the request's bearer token belongs; it points into the index.
// Fails with Unauthenticated if the request has no bearer token or the token is unknown.
result<const workspace_spec *> authenticate(const bundle_index &index, const http_request &request);

} // namespace fescuedeck

#endif
