#include "fescuedeck/ctl/command_result.h"

namespace fescuedeck {

command_result failedResult(exit_status status, const failure &error)
{
    const auto kind = static_cast<errc>(error.code.value());
    return { status,
             "error: " + error.message() + "\n",
             { { "error",
                 { { "kind", errorName(kind) },
                   { "message", error.detail },
                   { "remedy", error.remedy() } } } } };
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
