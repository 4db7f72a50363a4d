// Open-loop load generator: sends requests at planned times whether or not earlier ones have been
// answered, so that a slow system does not lower its own load.
#ifndef FESCUEDECK_LOAD_LOAD_GENERATOR_H
#define FESCUEDECK_LOAD_LOAD_GENERATOR_H

#include "fescuedeck/load/load_plan.h"
#include "fescuedeck/load/load_report.h"

namespace fescuedeck {

// Runs the plan of the options on the calling thread. Returns when each request sent has ended,
// which takes at most time + requestTimeout.
load_report runLoad(const load_options &options);

} // namespace fescuedeck

#endif
