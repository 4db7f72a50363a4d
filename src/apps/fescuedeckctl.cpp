// The operator's command. See `fescuedeckctl --help`.
#include <cstdio>
#include <map>

#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>

#include "fescuedeck/bundle/check_bundle.h"
#include "fescuedeck/ctl/bundle_commands.h"
#include "fescuedeck/ctl/command_line.h"
#include "fescuedeck/ctl/explain_command.h"
#include "fescuedeck/ctl/host_commands.h"
#include "fescuedeck/ctl/network_hooks.h"
#include "fescuedeck/ctl/router_status.h"
#include "fescuedeck/ctl/trace_command.h"

DECLARE_bool(help);
DEFINE_string(output, "text", "text or json");
DEFINE_string(platform, "", "address of the platform's log, ip:port");
DEFINE_string(router, "", "operators' addresses of routers, ip:port, separated by commas");
DEFINE_string(approvers, "",
              "KEY_ID:PUBLIC_KEY of the routers' settings, separated by commas; needed while the "
              "log still holds the first bundle");
DEFINE_string(key_id, "operator", "name of the key in bundles");
DEFINE_string(key_file, "", "file with an approver's private key");
DEFINE_string(signature_file, "", "output of `bundle sign`, instead of --key_file");
DEFINE_bool(wait, false, "wait until every --router states the version");
DEFINE_int32(timeout_ms, 30000, "longest time of the command, in milliseconds");

namespace fescuedeck {
namespace {

using network_command = std::function<command_result(const ctl_hooks &, const ctl_options &)>;

flag_registry gflagsRegistry()
{
    flag_registry flags;
    flags.typeOf = [](const std::string &name) {
        gflags::CommandLineFlagInfo info;
        return gflags::GetCommandLineFlagInfo(name.c_str(), &info) ? info.type : std::string();
    };
    flags.descriptionOf = [](const std::string &name) {
        const auto info = gflags::GetCommandLineFlagInfoOrDie(name.c_str());
        return info.description
               + (info.default_value.empty() ? "" : " (default " + info.default_value + ")");
    };
    flags.set = [](const std::string &name, const std::string &value) {
        return !gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty();
    };
    return flags;
}

failure usageFailure(const std::string &problem)
{
    return makeFailure(errc::InvalidRequest, problem);
}

result<ctl_options> optionsFromFlags()
{
    ctl_options options;
    options.routers = splitAddresses(FLAGS_router);
    for (const std::string &address : options.routers) {
        if (!detail::isAddress(address))
            return usageFailure("--router: \"" + address + "\" is not ip:port");
    }
    const auto approvers = parseApprovers(FLAGS_approvers);
    if (!approvers)
        return approvers.error();
    options.approvers = approvers.value();
    if (FLAGS_timeout_ms <= 0)
        return usageFailure("--timeout_ms must be above 0");
    options.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    options.wait = FLAGS_wait;
    return options;
}

command_result runOnNetwork(const ctl_options &options, const network_command &command)
{
    boost::asio::io_context ioContext;
    http_client_limits limits;
    limits.maxResponseBytes = 256U << 20U; // pages may hold several bundles and checkpoints
    http_client client(ioContext, limits);
    command_result outcome;
    boost::asio::spawn(ioContext, [&](const boost::asio::yield_context &yield) {
        outcome = command(makeNetworkHooks(ioContext, client, FLAGS_platform, yield), options);
        ioContext.stop();
    });
    ioContext.run();
    return outcome;
}

command_result publish(const ctl_options &options, const std::string &path)
{
    const auto file = loadBundleFile(path);
    if (!file)
        return failedResult(file.error());
    const auto signature = [&]() -> result<bundle_signature> {
        if (!FLAGS_signature_file.empty())
            return loadSignatureFile(FLAGS_signature_file);
        const auto key = loadKeyFile(FLAGS_key_file);
        if (!key)
            return key.error();
        return signBundle(file.value(), key.value());
    }();
    if (!signature)
        return failedResult(signature.error());
    return runOnNetwork(options, [&](const ctl_hooks &hooks, const ctl_options &given) {
        return publishBundle(hooks, given, file.value(), signature.value());
    });
}

using command_table
        = std::map<std::string,
                   std::function<command_result(const ctl_options &, const std::string &)>>;

command_result onNetwork(command_result (*command)(const ctl_hooks &, const ctl_options &,
                                                   const std::string &),
                         const ctl_options &options, const std::string &argument)
{
    return runOnNetwork(options, [&](const ctl_hooks &hooks, const ctl_options &given) {
        return command(hooks, given, argument);
    });
}

const command_table &handlers()
{
    static const command_table table = {
        { "key generate",
          [](const auto &, const auto &) { return generateKey(FLAGS_key_id, FLAGS_key_file); } },
        { "bundle check", [](const auto &, const auto &path) { return checkBundleFile(path); } },
        { "bundle sign",
          [](const auto &, const auto &path) { return signBundleFile(path, FLAGS_key_file); } },
        { "bundle publish", publish },
        { "bundle status", [](const auto &options,
                              const auto &) { return runOnNetwork(options, showBundleStatus); } },
        { "host drain", [](const auto &options,
                           const auto &host) { return onNetwork(drainHost, options, host); } },
        { "host undrain", [](const auto &options,
                             const auto &host) { return onNetwork(undrainHost, options, host); } },
        { "host status",
          [](const auto &options, const auto &) { return runOnNetwork(options, showHostStatus); } },
        { "trace show",
          [](const auto &options, const auto &id) { return onNetwork(showTrace, options, id); } },
    };
    return table;
}

result<void> checkValues(const command_line &line)
{
    const auto &flags = line.command->flags;
    const bool usesLog = std::find(flags.begin(), flags.end(), "platform") != flags.end();
    if (usesLog && !detail::isAddress(FLAGS_platform))
        return usageFailure("--platform: \"" + FLAGS_platform + "\" is not ip:port");
    if (line.command->name == "trace show" && !isTraceId(line.argument))
        return usageFailure("a trace id is 32 lower-case hexadecimal digits");
    return boost::outcome_v2::success();
}

command_result run(const command_line &line)
{
    // Needs no network and none of its flags.
    if (line.command->name == "request explain")
        return explainRequest(line.argument, line.files);
    const auto options = optionsFromFlags();
    if (!options)
        return failedResult(exit_status::Usage, options.error());
    if (const auto checked = checkValues(line); !checked)
        return failedResult(exit_status::Usage, checked.error());
    return handlers().at(line.command->name)(options.value(), line.argument);
}

int print(const command_result &outcome)
{
    const bool isJson = FLAGS_output == "json";
    const std::string text = isJson ? renderJson(outcome) : renderText(outcome);
    const bool isError = outcome.document.contains("error");
    std::fputs(text.c_str(), !isJson && isError ? stderr : stdout);
    return static_cast<int>(outcome.status);
}

int runCommand(const std::vector<std::string> &args)
{
    const flag_registry flags = gflagsRegistry();
    const auto line = parseCommandLine(args, flags);
    if (!line)
        return print(failedResult(exit_status::Usage, line.error()));
    if (line.value().wantsHelp) {
        std::fputs(helpText(line.value().command, flags).c_str(), stdout);
        return 0;
    }
    if (FLAGS_output != "text" && FLAGS_output != "json")
        return print(failedResult(exit_status::Usage,
                                  usageFailure("--output is neither text nor json")));
    return print(run(line.value()));
}

} // namespace
} // namespace fescuedeck

int main(int argc, char **argv)
{
    return fescuedeck::runCommand(std::vector<std::string>(argv + 1, argv + argc));
}
