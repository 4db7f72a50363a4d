// This gateway's part of the retries that a deployment allows to each service.
//
// The limit holds in every window: a share of the requests for the service, and a fixed number that
// all gateways share. What is used is free again one window later, so that a crowd of streams that
// lose their engine together can go on, and some seconds later the next one. Not thread-safe.
#ifndef FESCUEDECK_GATEWAY_GATEWAY_RETRY_BUDGET_H
#define FESCUEDECK_GATEWAY_GATEWAY_RETRY_BUDGET_H

#include <deque>
#include <string>
#include <unordered_map>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct retry_budget_limits
{
    double share = 0.2;         // of the requests in a window
    double sharedRetries = 196; // in each window, of all gateways together
    duration window = std::chrono::seconds(10);
};

// What one gateway knows of those that share the reserve with it.
struct retry_sharing_state
{
    double ownLoad = 0;  // any unit, the same for all gateways
    double peerLoad = 0; // of all live peers together
    int livePeers = 0;
    int knownGateways = 1; // with this one and those that are away
};

// Gateways that hear each other share their equal parts by load, as each may have to move all of
// its streams at once. The parts of those that are away stay unused: they may only be cut off.
double sharedBudgetFraction(const retry_sharing_state &sharing);

class gateway_retry_budget
{
public:
    // startedAt: of the process. What one before it used is not known, so that little of the
    // reserve may be used in the first window.
    gateway_retry_budget(retry_budget_limits limits, time_point startedAt);

    // This gateway's part of the reserve, from 0 to 1. Changes take effect over about a window, as
    // others may have used theirs within it.
    void adjustFraction(double fraction, duration sinceLast);
    void setLimits(retry_budget_limits limits) { m_limits = limits; }
    void recordRequest(const std::string &service, time_point now);
    // Returns false if no retry is left; the caller then answers with the last failure.
    bool takeRetry(const std::string &service, time_point now);
    double available(const std::string &service, time_point now) const;

private:
    // Counts of one slice of time.
    struct slice
    {
        time_point begin;
        int requests = 0;
        int retries = 0;
    };
    using slices = std::deque<slice>; // oldest first

    slice &currentSlice(const std::string &service, time_point now);

    retry_budget_limits m_limits;
    const time_point m_startedAt;
    double m_fraction;
    std::unordered_map<std::string, slices> m_services;
};

} // namespace fescuedeck

#endif
