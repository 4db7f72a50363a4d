// fescuedeck_router: one router process.
//
// Exit status: 0 after a graceful shutdown, 1 if an address cannot be used, 2 for wrong settings or
// flags.
#include <cstdio>
#include <string>

#include <gflags/gflags.h>

#include "fescuedeck/router/router.h"
#include "fescuedeck/settings/router_settings.h"
#include "fescuedeck/telemetry/log_setup.h"

DEFINE_string(settings, "", "YAML settings file of the router");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace {

constexpr int exitInvalidSettings = 2;

int fail(const fescuedeck::failure &error)
{
    std::fprintf(stderr, "%s\n", error.message().c_str());
    return exitInvalidSettings;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("fescuedeck_router --settings FILE [--check_settings]");
    gflags::SetVersionString(FESCUEDECK_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty())
        return fail(fescuedeck::makeFailure(fescuedeck::errc::InvalidSettings,
                                            "--settings names no file"));
    const auto settings = fescuedeck::loadRouterSettings(FLAGS_settings);
    if (!settings)
        return fail(settings.error());
    const auto logging = fescuedeck::setUpLogging(settings.value().logLevel);
    if (!logging)
        return fail(logging.error());
    if (FLAGS_check_settings) {
        std::puts("settings are valid");
        return 0;
    }
    return fescuedeck::runRouter(settings.value());
}
