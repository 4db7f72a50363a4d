// Result of a load run: latency quantiles, errors by kind and outcome, and token differences.
#ifndef FESCUEDECK_LOAD_LOAD_REPORT_H
#define FESCUEDECK_LOAD_LOAD_REPORT_H

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/time.h"
#include "fescuedeck/load/load_plan.h"
#include "fescuedeck/load/token_check.h"

namespace fescuedeck {

struct load_record
{
    load_kind kind = load_kind::Draft;
    std::string workspace;
    std::string error;   // kind of the error; empty on success
    std::string outcome; // as stated by the router, or "unknown"
    duration whole{ 0 };
    std::vector<duration> tokenTimes; // since the request was sent, one for each token
    token_difference tokens;
};

// Not thread-safe.
class load_report
{
public:
    void add(const load_record &record);
    // An arrival that was not sent because too many requests were in flight.
    void addUnsent() { ++m_unsent; }
    void setElapsed(duration elapsed) { m_elapsed = elapsed; }

    int completed() const { return m_completed; }
    int failed() const { return m_failed; }
    int duplicateTokens() const { return m_duplicate; }
    int missingTokens() const { return m_missing; }

    // {elapsed_s, completed, failed, unsent, tokens, duplicate_tokens, missing_tokens,
    // requests_per_s, tokens_per_s, errors:{"kind outcome": n}, completed_by_workspace:{name: n},
    // latency_ms:{first_token|between_tokens|draft|write|read: {count, p50, p95, p99, max}}}
    nlohmann::json toJson() const;
    std::string toText() const;

private:
    std::map<std::string, std::vector<duration>> m_latencies;
    std::map<std::string, int> m_errors;
    std::map<std::string, int> m_completedByWorkspace;
    duration m_elapsed{ 0 };
    int m_completed = 0;
    int m_failed = 0;
    int m_unsent = 0;
    int m_tokens = 0;
    int m_duplicate = 0;
    int m_missing = 0;
};

} // namespace fescuedeck

#endif
