// What gateways tell each other about crashes of engines, so that each can infer the cause.
#ifndef FESCUEDECK_PEER_CRASH_REPORT_H
#define FESCUEDECK_PEER_CRASH_REPORT_H

#include <map>
#include <set>
#include <string>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

// A prompt segment that may have caused a crash: a request with it was waiting for the first events
// of its answer when the engine crashed.
struct crash_suspect
{
    int depth = 0;                  // position of the segment in the prompt, from 0
    std::set<std::string> requests; // fingerprints of the requests
};

// One crash of an engine.
struct crash_report
{
    duration age{};                                // time since the crash
    std::map<std::string, crash_suspect> suspects; // by segment
    // Fingerprints of the requests whose answers had not begun, with or without segments.
    std::set<std::string> requests;
};

// All recent crashes that have not been explained. Ages are used instead of times because clocks
// differ between hosts.
struct crash_reports
{
    std::map<std::string, crash_report> crashes; // by incarnation name of the engine
    // Time since an answer to a prompt with the segment last began. Only for segments that are
    // suspects of a crash.
    std::map<std::string, duration> begun;
};

} // namespace fescuedeck

#endif
