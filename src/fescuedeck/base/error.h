// Error kinds of the whole project and the result type that carries them.
//
// Use result<T> for every operation that can fail for a reason outside the program. The kind is a
// std::error_code; its message says what the reader should do about it. The detail says what
// happened, with names and values.
#ifndef FESCUEDECK_BASE_ERROR_H
#define FESCUEDECK_BASE_ERROR_H

#include <string>
#include <system_error>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

namespace fescuedeck {

enum class errc {
    InvalidSettings = 1,
    InvalidBundle,
    InvalidSignature,
    InvalidRequest,
    InvalidMessage,
    Unauthenticated,
    Forbidden,
    NotFound,
    TooLarge,
    Overloaded,
    Timeout,
    ConnectionFailed,
    ConnectionClosed,
    EndpointRefused,
    NoRoute,
    LogUnavailable,
    KeyExpired,
    KeyReused,
    InProgress,
    OutcomeUnknown,
    Quarantined,
    Superseded,
    NotReady,
    Internal,
};

// Name of the kind as callers and logs see it, for example "no_route".
std::string errorName(errc kind);

const std::error_category &errorCategory() noexcept;
std::error_code make_error_code(errc kind) noexcept;

struct failure
{
    std::error_code code;
    std::string detail;

    // "detail; remedy", for logs and command line output.
    std::string message() const;
    // Text of the remedy alone.
    std::string remedy() const { return code.message(); }
};

failure makeFailure(errc kind, std::string detail);

template <class T>
using result = boost::outcome_v2::basic_result<T, failure, boost::outcome_v2::policy::terminate>;

} // namespace fescuedeck

namespace std {
template <>
struct is_error_code_enum<fescuedeck::errc> : true_type
{
};
} // namespace std

#endif
