// The command `request explain`: the history of one request from the logs of several gateways.
#ifndef FESCUEDECK_CTL_EXPLAIN_COMMAND_H
#define FESCUEDECK_CTL_EXPLAIN_COMMAND_H

#include <string>
#include <vector>

#include "fescuedeck/ctl/command_result.h"

namespace fescuedeck {

// Reads standard input if there is no file. NotFound if no log names the request.
command_result explainRequest(const std::string &requestId, const std::vector<std::string> &files);

} // namespace fescuedeck

#endif
