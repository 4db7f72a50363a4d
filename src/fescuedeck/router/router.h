// One router: builds all parts from the settings, runs them on a pool of worker threads, and shuts
// down gracefully.
#ifndef FESCUEDECK_ROUTER_ROUTER_H
#define FESCUEDECK_ROUTER_ROUTER_H

#include "fescuedeck/settings/router_settings.h"

namespace fescuedeck {

// Runs until SIGTERM or SIGINT and returns the exit status. When it listens, it prints the lines
// "callers IP:PORT", "operators IP:PORT" and, with peers, "peers IP:PORT" to standard output.
int runRouter(const router_settings &settings);

} // namespace fescuedeck

#endif
