// Applies a settings file that has changed to a running gateway.
#ifndef FESCUEDECK_GATEWAY_SETTINGS_RELOAD_H
#define FESCUEDECK_GATEWAY_SETTINGS_RELOAD_H

#include <string>

#include "fescuedeck/gateway/gateway_settings.h"

namespace fescuedeck {

// Names of settings, separated by commas.
struct settings_change
{
    std::string applied;
    std::string needRestart; // changed, but used only at the start
};

// Takes over what a running process can change: limits of retries, times and whether engines check
// fencing tokens. The addresses and the names of the host stay as they are.
settings_change applySettings(gateway_settings &current, const gateway_settings &fresh);

} // namespace fescuedeck

#endif
