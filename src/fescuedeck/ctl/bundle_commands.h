// The commands `bundle publish` and `bundle status`.
#ifndef FESCUEDECK_CTL_BUNDLE_COMMANDS_H
#define FESCUEDECK_CTL_BUNDLE_COMMANDS_H

#include <string>
#include <vector>

#include "fescuedeck/bundle/bundle.h"
#include "fescuedeck/ctl/bundle_files.h"
#include "fescuedeck/ctl/command_result.h"
#include "fescuedeck/ctl/ctl_hooks.h"

namespace fescuedeck {

struct ctl_options
{
    std::vector<std::string> routers;
    std::vector<approver_spec> approvers; // of the first bundle, as in the routers' settings
    duration timeout = std::chrono::seconds(30);
    bool wait = false;
};

// "KEY_ID:PUBLIC_KEY", separated by commas. The error is InvalidRequest.
result<std::vector<approver_spec>> parseApprovers(const std::string &list);

// Appends the bundle and its sign-off, and reads the log until it shows which bundle came into
// force. With options.wait, waits until every router states this version or a later one.
command_result publishBundle(const ctl_hooks &hooks, const ctl_options &options,
                             const bundle_file &file, const bundle_signature &signature);

// Shows the bundle in force by the log and that of each router. The status is Refused if a router
// has another bundle, and Unavailable if the log or a router does not answer.
command_result showBundleStatus(const ctl_hooks &hooks, const ctl_options &options);

} // namespace fescuedeck

#endif
