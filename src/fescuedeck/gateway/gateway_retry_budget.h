// The retries that this gateway may take out of the retry budget of the deployment. Each service
// has a budget of its own.
//
// In every window of time, a service may have as many retries as the sum of two parts: a share of
// its requests in the window, and a fixed number that all gateways share. Used retries are
// available again one window later. The budget therefore suffices if many streams lose their engine
// together, and also if more streams do so a window later.
#ifndef FESCUEDECK_GATEWAY_GATEWAY_RETRY_BUDGET_H
#define FESCUEDECK_GATEWAY_GATEWAY_RETRY_BUDGET_H

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct retry_budget_limits
{
    double share = 0.2;         // of the requests of the service in a window
    double sharedRetries = 196; // in each window, for all gateways together
    duration window = std::chrono::seconds(10);
};

// What one gateway knows about itself and the gateways that share the fixed retries with it.
struct retry_sharing_state
{
    double ownLoad = 0;  // in any unit, the same for all gateways
    double peerLoad = 0; // of all live peers together
    int livePeers = 0;
    int knownGateways = 1; // including this one and those that are unreachable
};

// Fraction of the fixed retries, from 0 to 1, that one gateway may use. Each known gateway has an
// equal part. Gateways that reach each other pool their parts and divide them by load, because each
// may have to move all of its streams at once. The parts of unreachable gateways stay unused,
// because those gateways may still run and use them.
double sharedBudgetFraction(const retry_sharing_state &sharing);

// Not thread-safe.
class gateway_retry_budget
{
public:
    // startedAt is the start of the process. The retries that an earlier process of this gateway
    // used are unknown, so only a small part of the fixed retries is available in the first window.
    gateway_retry_budget(retry_budget_limits limits, time_point startedAt);

    // Moves this gateway's fraction of the fixed retries towards the given one, which is from 0
    // to 1. sinceLast is the time since the last call. A change takes effect over about one window,
    // because other gateways may have used their parts within it. Before the first call the
    // fraction is 0, because the number of gateways is not known; the first call sets it at once.
    void adjustFraction(double fraction, duration sinceLast);
    // Fraction of the fixed retries that this gateway may use now. 0 before the first call of
    // adjustFraction().
    double fraction() const { return m_fraction.value_or(0); }
    void setLimits(retry_budget_limits limits) { m_limits = limits; }
    void recordRequest(const std::string &service, time_point now);
    // Takes one retry from the budget. Returns false if none is left; the request then ends with
    // its last failure.
    bool takeRetry(const std::string &service, time_point now);
    // Number of retries that are left now, with those that peers have lent. Negative if the budget
    // has shrunk since retries were taken.
    double available(const std::string &service, time_point now) const;
    // The same without what peers have lent.
    double ownAvailable(const std::string &service, time_point now) const;
    // Counts retries as used that a peer may use instead. Returns false, and counts none, if fewer
    // are left.
    bool lend(const std::string &service, int count, time_point now);
    // Adds retries that a peer has lent. They expire a fraction of a second after they were
    // requested, because the lender counts them in the window in which it has lent them.
    void addLoan(const std::string &service, int count, time_point requestedAt);
    // Names of the services with requests or retries so far.
    std::vector<std::string> services() const;

private:
    // Counts in one short interval of time.
    struct slice
    {
        time_point begin;
        int requests = 0;
        int retries = 0;
    };
    using slices = std::deque<slice>; // oldest first

    // Retries that a peer has lent.
    struct loan
    {
        time_point expiresAt;
        int retries = 0;
    };

    slice &currentSlice(const std::string &service, time_point now);

    retry_budget_limits m_limits;
    const time_point m_startedAt;
    std::optional<double> m_fraction;
    std::unordered_map<std::string, slices> m_services;
    std::unordered_map<std::string, std::deque<loan>> m_loans; // by service, oldest first
};

} // namespace fescuedeck

#endif
