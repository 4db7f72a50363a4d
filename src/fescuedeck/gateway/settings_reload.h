// Applies a changed settings file to a running gateway.
#ifndef FESCUEDECK_GATEWAY_SETTINGS_RELOAD_H
#define FESCUEDECK_GATEWAY_SETTINGS_RELOAD_H

#include <string>

#include "fescuedeck/gateway/gateway_settings.h"

namespace fescuedeck {

// Names of the settings that have changed, separated by commas.
struct settings_change
{
    std::string applied;     // take effect now
    std::string needRestart; // take effect only after a restart
};

// Copies into current those settings that a running process can change: the retry budget, the time
// limits and whether engines check fencing tokens. Addresses, the names of the host and of its
// failure domain, and the log level are not copied, because they are used only at the start.
settings_change applySettings(gateway_settings &current, const gateway_settings &fresh);

} // namespace fescuedeck

#endif
