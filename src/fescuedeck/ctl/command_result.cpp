#include "fescuedeck/ctl/command_result.h"

namespace fescuedeck {
namespace {

// The remedies of the error kinds address callers of a router; these address an operator.
std::string remedyOf(exit_status status, const failure &error)
{
    if (status == exit_status::Usage)
        return "see `fescuedeckctl --help`";
    if (error.code == errc::LogUnavailable)
        return "repeat the command once the log answers";
    if (error.code == errc::InvalidRequest)
        return "correct the argument or the file and repeat the command";
    if (error.code == errc::NotFound)
        return "check the id and that --router names every router";
    return error.remedy();
}

} // namespace

command_result failedResult(exit_status status, const failure &error)
{
    const auto kind = static_cast<errc>(error.code.value());
    const std::string remedy = remedyOf(status, error);
    return {
        status,
        "error: " + error.detail + "; " + remedy + "\n",
        { { "error",
            { { "kind", errorName(kind) }, { "message", error.detail }, { "remedy", remedy } } } }
    };
}

command_result failedResult(const failure &error)
{
    if (error.code == errc::Superseded)
        return failedResult(exit_status::Superseded, error);
    const bool isUnavailable = error.code == errc::LogUnavailable || error.code == errc::Timeout
                               || error.code == errc::ConnectionFailed
                               || error.code == errc::ConnectionClosed;
    return failedResult(isUnavailable ? exit_status::Unavailable : exit_status::Refused, error);
}

std::string renderText(const command_result &result)
{
    return result.text;
}

std::string renderJson(const command_result &result)
{
    nlohmann::json document = result.document;
    document["status"] = static_cast<int>(result.status);
    return document.dump(2, ' ', true, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace fescuedeck
