// The router process: creates all components from the settings, runs them on a pool of worker
// threads and shuts them down gracefully.
#ifndef FESCUEDECK_ROUTER_ROUTER_H
#define FESCUEDECK_ROUTER_ROUTER_H

#include "fescuedeck/settings/router_settings.h"

namespace fescuedeck {

// Runs until the process receives SIGTERM or SIGINT, and returns the exit status, which is not 0 if
// the router cannot listen on one of its addresses. Once the router listens on an address, it
// prints one line to standard output: "callers IP:PORT", "operators IP:PORT" or, if the settings
// have an address for peers, "peers IP:PORT".
int runRouter(const router_settings &settings);

} // namespace fescuedeck

#endif
