// Outcome of one fescuedeckctl command: the exit status and what is printed.
#ifndef FESCUEDECK_CTL_COMMAND_RESULT_H
#define FESCUEDECK_CTL_COMMAND_RESULT_H

#include <string>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/error.h"

namespace fescuedeck {

enum class exit_status {
    Ok = 0,
    Refused = 1, // the command's input or its effect is refused, or the check it makes fails
    Usage = 2,
    Unavailable = 3, // the log or a router does not answer; the effect may be unknown
    Superseded = 4,  // another bundle came into force first
};

struct command_result
{
    exit_status status = exit_status::Ok;
    std::string text;        // for people, with a final newline
    nlohmann::json document; // for programs
};

// The document is {error:{kind, message, remedy}}.
command_result failedResult(exit_status status, const failure &error);
// Chooses the status by the kind of the error.
command_result failedResult(const failure &error);

// What --output=text or --output=json prints. JSON has the status in its field "status".
std::string renderText(const command_result &result);
std::string renderJson(const command_result &result);

} // namespace fescuedeck

#endif
