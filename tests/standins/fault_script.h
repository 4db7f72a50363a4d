// Scripted faults of a stand-in: which call meets which fault.
//
// A rule names a kind, a path prefix and the calls that it applies to (from the first-th matching
// call on, count of them). The HTTP layer asks match() once per call and applies what it returns.
// Thread-safe.
#ifndef FESCUEDECK_STANDINS_FAULT_SCRIPT_H
#define FESCUEDECK_STANDINS_FAULT_SCRIPT_H

#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/error.h"

namespace fescuedeck::standins {

enum class fault_kind {
    Crash,             // the process exits, before the effect or after it
    Freeze,            // the whole process answers nothing for delayMs, for good if that is 0
    SilentConnections, // connections that are open now never get an answer again
    Delay,             // the answer comes delayMs later
    LostAnswer,        // the effect happens, the connection closes without an answer
    CrossedAnswer,     // the answers of two matching calls are swapped
    StaleAnswer,       // the call gets the answer that the path gave last
    Refuse,            // rejected before the effect, with status and error
    Silence,           // the call never gets an answer and has no effect
    HostListLag,       // the platform's host list lags by delayMs from now on
    Slowdown,          // the engine's batches take factor times as long from now on
};

struct fault_rule
{
    fault_kind kind = fault_kind::Delay;
    std::string path; // prefix; empty matches every call
    int first = 1;
    int count = 1;      // 0 for all calls from the first on
    std::string marker; // the call's text must contain it
    bool afterEffect = false;
    int delayMs = 0;
    int status = 503;
    std::string error = "overloaded";
    double factor = 1;
    int matched = 0; // calls that matched path and marker so far
    int fired = 0;   // calls that the fault was applied to
};

// Fields: kind, path, first, count, marker, when (before|after), delay_ms, status, error, factor.
result<fault_rule> parseFaultRule(const nlohmann::json &json);

class fault_script
{
public:
    void add(fault_rule rule);
    void clear();
    // Rules that apply to this call, in the order in which they were added.
    std::vector<fault_rule> match(const std::string &path, const std::string &text);
    // [{kind, path, matched, fired}]
    nlohmann::json status() const;

private:
    mutable std::mutex m_mutex;
    std::vector<fault_rule> m_rules;
};

} // namespace fescuedeck::standins

#endif
