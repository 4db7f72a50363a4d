// Errors in the form that callers get, and the checks that every caller's request passes.
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

// HTTP status of an error kind.
int statusOf(const failure &error);
// Error body, Fescuedeck-Outcome and, where a retry makes sense, Retry-After.
http_response callerError(const failure &error, std::string_view outcome);

// The workspace of the request's bearer token, or Unauthenticated.
result<const workspace_spec *> authenticate(const bundle_index &index, const http_request &request);

} // namespace fescuedeck

#endif
