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
#include <string>
#include <unordered_map>
#include <vector>

#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/windowed_minimum.h"

namespace fescuedeck {

struct retry_budget_limits
{
    double share = 0.2;         // of the requests of the service in a window
    double sharedRetries = 196; // in each window, for all gateways together
    duration window = std::chrono::seconds(10);
};

// Fraction of the fixed retries, from 0 to 1, that one gateway may use. Each gateway in the table
// of gateways has an equal part, whether or not it runs. A gateway that is not in the table has
// none, because the others do not count it yet. Gateways that need more borrow from others
// (retry_lending.h).
double fixedRetriesFraction(bool isInTable, int gatewaysInTable);

// Not thread-safe.
class gateway_retry_budget
{
public:
    explicit gateway_retry_budget(retry_budget_limits limits);

    // Sets the fraction of the fixed retries, from 0 to 1, that is due to this gateway by what it
    // knows now; 0 before the first call. now must not decrease.
    //
    // The gateway uses the smallest fraction that was due to it within the last window and some
    // time more: a smaller one at once, a larger one only when no window contains retries that
    // other gateways, or an earlier process of this one, have used of the same part.
    //
    // If the fractions that are due to all gateways add up to at most 1 whenever all have read the
    // table of gateways equally far, the retries that they use add up to at most the fixed retries
    // in every window. This holds as long as no gateway reads a record of the table more than 2 s
    // after another one does.
    void setDueFraction(double fraction, time_point now);
    // Fraction of the fixed retries that this gateway may use now.
    double fraction(time_point now) const;
    void setLimits(retry_budget_limits limits);
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
    windowed_minimum m_fraction;
    std::unordered_map<std::string, slices> m_services;
    std::unordered_map<std::string, std::deque<loan>> m_loans; // by service, oldest first
};

} // namespace fescuedeck

#endif
