#include "fescuedeck/router/caller_error.h"

#include "fescuedeck/base/hash.h"
#include "fescuedeck/base/name_table.h"

namespace fescuedeck {
namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr int defaultStatus = 500;
constexpr const char *retryAfterSeconds = "1";

constexpr std::array<std::pair<errc, int>, 19> statuses = { {
        { errc::InvalidRequest, 400 },   { errc::KeyExpired, 400 },
        { errc::Unauthenticated, 401 },  { errc::Forbidden, 403 },
        { errc::NotFound, 404 },         { errc::InProgress, 409 },
        { errc::TooLarge, 413 },         { errc::KeyReused, 422 },
        { errc::Quarantined, 422 },      { errc::Overloaded, 429 },
        { errc::OutcomeUnknown, 502 },   { errc::ConnectionFailed, 502 },
        { errc::ConnectionClosed, 502 }, { errc::EndpointRefused, 503 },
        { errc::NoRoute, 503 },          { errc::LogUnavailable, 503 },
        { errc::NotReady, 503 },         { errc::Timeout, 504 },
        { errc::InvalidMessage, 502 },
} };

bool mayRetryLater(const failure &error)
{
    return error.code == errc::Overloaded || error.code == errc::LogUnavailable
           || error.code == errc::NotReady || error.code == errc::NoRoute
           || error.code == errc::InProgress;
}

} // namespace

int statusOf(const failure &error)
{
    for (const auto &[kind, status] : statuses) {
        if (error.code == kind)
            return status;
    }
    return defaultStatus;
}

http_response callerError(const failure &error, std::string_view outcome)
{
    http_response response = errorResponse(statusOf(error), error, outcome);
    if (mayRetryLater(error))
        response.headers.push_back({ "Retry-After", retryAfterSeconds });
    return response;
}

result<const workspace_spec *> authenticate(const bundle_index &index, const http_request &request)
{
    const std::string *header = findHeader(request.headers, "Authorization");
    if (!header || header->compare(0, bearerPrefix.size(), bearerPrefix) != 0)
        return makeFailure(errc::Unauthenticated, "the request has no bearer token");
    const std::string token = header->substr(bearerPrefix.size());
    const workspace_spec *workspace = index.findWorkspaceByTokenHash(sha256Hex(token));
    if (!workspace)
        return makeFailure(errc::Unauthenticated, "the bearer token is unknown");
    return workspace;
}

} // namespace fescuedeck
