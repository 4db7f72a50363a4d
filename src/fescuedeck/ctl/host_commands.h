// The commands `host drain`, `host undrain` and `host status`.
#ifndef FESCUEDECK_CTL_HOST_COMMANDS_H
#define FESCUEDECK_CTL_HOST_COMMANDS_H

#include <string>

#include "fescuedeck/ctl/bundle_commands.h"
#include "fescuedeck/ctl/command_result.h"
#include "fescuedeck/ctl/ctl_hooks.h"

namespace fescuedeck {

// Appends a drain record. If the log does not answer, tells each router directly with POST /drain;
// that lasts only as long as the routers run, so the command is to be repeated later. The status is
// Unavailable unless the log or every router has taken the drain.
command_result drainHost(const ctl_hooks &hooks, const ctl_options &options,
                         const std::string &host);
command_result undrainHost(const ctl_hooks &hooks, const ctl_options &options,
                           const std::string &host);
// Shows the hosts of the bundle in force, which are drained, and how the routers see their
// endpoints.
command_result showHostStatus(const ctl_hooks &hooks, const ctl_options &options);

} // namespace fescuedeck

#endif
