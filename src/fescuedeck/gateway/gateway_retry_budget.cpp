#include "fescuedeck/gateway/gateway_retry_budget.h"

#include <algorithm>

namespace fescuedeck {
namespace {

// Retries arrive at endpoints a little later than they are counted here, and the windows in which
// others count them begin at any time. These two margins cover the difference.
constexpr double usableFraction = 0.9;
constexpr duration windowMargin = std::chrono::seconds(1);
constexpr duration sliceLength = std::chrono::milliseconds(250);
// Longest time from when one gateway reads a record of the table of gateways until all others have.
constexpr duration tableLag = std::chrono::seconds(2);
// A loan must be used well within windowMargin, in which the lender still counts it.
constexpr duration loanLifetime = std::chrono::milliseconds(400);

// How long a retry that any gateway has taken may count against the same part.
duration fractionPeriod(const retry_budget_limits &limits)
{
    return limits.window + windowMargin + tableLag;
}

} // namespace

double fixedRetriesFraction(bool isInTable, int gatewaysInTable)
{
    return isInTable ? 1.0 / std::max(1, gatewaysInTable) : 0;
}

gateway_retry_budget::gateway_retry_budget(retry_budget_limits limits)
    : m_limits(limits)
    , m_fraction(0, fractionPeriod(limits))
{
}

void gateway_retry_budget::setDueFraction(double fraction, time_point now)
{
    m_fraction.set(fraction, now);
}

double gateway_retry_budget::fraction(time_point now) const
{
    return m_fraction.at(now);
}

void gateway_retry_budget::setLimits(retry_budget_limits limits)
{
    m_limits = limits;
    m_fraction.setPeriod(fractionPeriod(limits));
}

gateway_retry_budget::slice &gateway_retry_budget::currentSlice(const std::string &service,
                                                                time_point now)
{
    slices &all = m_services[service];
    while (!all.empty() && now - all.front().begin > m_limits.window + windowMargin)
        all.pop_front();
    if (all.empty() || now - all.back().begin >= sliceLength)
        all.push_back({ now });
    return all.back();
}

void gateway_retry_budget::recordRequest(const std::string &service, time_point now)
{
    ++currentSlice(service, now).requests;
}

bool gateway_retry_budget::takeRetry(const std::string &service, time_point now)
{
    std::deque<loan> &loans = m_loans[service];
    while (!loans.empty() && (loans.front().expiresAt <= now || loans.front().retries == 0))
        loans.pop_front();
    if (!loans.empty()) {
        --loans.front().retries;
        return true;
    }
    return lend(service, 1, now);
}

bool gateway_retry_budget::lend(const std::string &service, int count, time_point now)
{
    if (ownAvailable(service, now) < count)
        return false;
    currentSlice(service, now).retries += count;
    return true;
}

void gateway_retry_budget::addLoan(const std::string &service, int count, time_point requestedAt)
{
    m_loans[service].push_back({ requestedAt + loanLifetime, count });
}

std::vector<std::string> gateway_retry_budget::services() const
{
    std::vector<std::string> names;
    for (const auto &[name, counts] : m_services)
        names.push_back(name);
    return names;
}

double gateway_retry_budget::available(const std::string &service, time_point now) const
{
    double lent = 0;
    if (const auto found = m_loans.find(service); found != m_loans.end()) {
        for (const loan &each : found->second)
            lent += each.expiresAt > now ? each.retries : 0;
    }
    const double own = ownAvailable(service, now);
    return lent > 0 ? lent + std::max(0.0, own) : own;
}

double gateway_retry_budget::ownAvailable(const std::string &service, time_point now) const
{
    double requests = 0;
    double retries = 0;
    if (const auto found = m_services.find(service); found != m_services.end()) {
        for (const slice &each : found->second) {
            const duration age = now - each.begin;
            requests += age <= m_limits.window - sliceLength ? each.requests : 0;
            retries += age <= m_limits.window + windowMargin ? each.retries : 0;
        }
    }
    const double sharedRetries = m_limits.sharedRetries * fraction(now);
    return (m_limits.share * requests + sharedRetries) * usableFraction - retries;
}

} // namespace fescuedeck
