// Set-up of log4cxx for the programs. Code that logs uses log4cxx's own macros with a logger named
// after its module, for example "fescuedeck.router".
#ifndef FESCUEDECK_TELEMETRY_LOG_SETUP_H
#define FESCUEDECK_TELEMETRY_LOG_SETUP_H

#include <string>

#include "fescuedeck/base/error.h"

namespace fescuedeck {

// Logs go to standard error, one line an event with time, level, logger and message. level is one
// of "error", "warn", "info" and "debug". Call once, before other threads start.
result<bool> setUpLogging(const std::string &level);

// Like setUpLogging, for a process whose lines are JSON objects: the messages alone go to standard
// output, without ever waiting for its reader.
result<bool> setUpEventLogging(const std::string &level);
// Hands to standard output what it did not take before. Call several times a second.
void flushEventLog();

// Lines for changes of state, with a logger named "fescuedeck.<module>". Thread-safe.
void logInfo(const char *module, const std::string &message);
void logWarning(const char *module, const std::string &message);
void logError(const char *module, const std::string &message);

} // namespace fescuedeck

#endif
