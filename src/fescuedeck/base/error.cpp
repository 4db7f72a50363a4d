#include "fescuedeck/base/error.h"

#include "fescuedeck/base/name_table.h"

namespace fescuedeck {
namespace {

constexpr name_table<errc, 24> names = { {
        { errc::InvalidSettings, "invalid_settings" },
        { errc::InvalidBundle, "invalid_bundle" },
        { errc::InvalidSignature, "invalid_signature" },
        { errc::InvalidRequest, "invalid_request" },
        { errc::InvalidMessage, "invalid_message" },
        { errc::Unauthenticated, "unauthenticated" },
        { errc::Forbidden, "forbidden" },
        { errc::NotFound, "not_found" },
        { errc::TooLarge, "too_large" },
        { errc::Overloaded, "overloaded" },
        { errc::Timeout, "timeout" },
        { errc::ConnectionFailed, "connection_failed" },
        { errc::ConnectionClosed, "connection_closed" },
        { errc::EndpointRefused, "endpoint_refused" },
        { errc::NoRoute, "no_route" },
        { errc::LogUnavailable, "log_unavailable" },
        { errc::KeyExpired, "key_expired" },
        { errc::KeyReused, "key_reused" },
        { errc::InProgress, "in_progress" },
        { errc::OutcomeUnknown, "outcome_unknown" },
        { errc::Quarantined, "quarantined" },
        { errc::Superseded, "superseded" },
        { errc::NotReady, "not_ready" },
        { errc::Internal, "internal" },
} };

constexpr name_table<errc, 24> remedies = { {
        { errc::InvalidSettings, "correct the named field of the settings file" },
        { errc::InvalidBundle, "correct the named field of the bundle and check it again" },
        { errc::InvalidSignature, "sign the bundle with the key of a current approver" },
        { errc::InvalidRequest, "correct the request and send it again" },
        { errc::InvalidMessage, "check that both ends run compatible versions" },
        { errc::Unauthenticated, "send a bearer token that the bundle lists for a workspace" },
        { errc::Forbidden, "ask the operator to add the resource to the workspace" },
        { errc::NotFound, "use a model, service or path that the bundle lists" },
        { errc::TooLarge, "send a smaller request" },
        { errc::Overloaded, "retry after the time in Retry-After" },
        { errc::Timeout, "retry, or raise the deadline in the bundle" },
        { errc::ConnectionFailed, "check the address and that the process listens on it" },
        { errc::ConnectionClosed, "retry on a new connection" },
        { errc::EndpointRefused, "retry on another endpoint" },
        { errc::NoRoute, "start endpoints that cover every layer, or roll a bundle that does" },
        { errc::LogUnavailable, "retry after the time in Retry-After with the same key" },
        { errc::KeyExpired, "create a new key after checking whether the first call took effect" },
        { errc::KeyReused, "use a new Idempotency-Key for a different request" },
        { errc::InProgress, "repeat the request with the same key to get its answer" },
        { errc::OutcomeUnknown, "look the record up before sending the request with a new key" },
        { errc::Quarantined, "change the request; this one has crashed endpoints" },
        { errc::Superseded, "rebase the bundle on the version in force and sign it again" },
        { errc::NotReady, "send the request to another router" },
        { errc::Internal, "report the message and the trace id to the developers" },
} };

class category : public std::error_category
{
public:
    const char *name() const noexcept override { return "fescuedeck"; }
    std::string message(int value) const override
    {
        return std::string(nameOf(remedies, static_cast<errc>(value)));
    }
};

} // namespace

std::string errorName(errc kind)
{
    return std::string(nameOf(names, kind));
}

const std::error_category &errorCategory() noexcept
{
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc kind) noexcept
{
    return { static_cast<int>(kind), errorCategory() };
}

std::string failure::message() const
{
    return detail.empty() ? remedy() : detail + "; " + remedy();
}

failure makeFailure(errc kind, std::string detail)
{
    return { make_error_code(kind), std::move(detail) };
}

} // namespace fescuedeck
