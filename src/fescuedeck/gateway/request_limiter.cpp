#include "fescuedeck/gateway/request_limiter.h"

#include <algorithm>
#include <cmath>

namespace fescuedeck {
namespace {

double secondsOf(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

request_limiter::request_limiter(random_fn random, request_limiter_settings settings)
    : m_random(std::move(random))
    , m_settings(settings)
{
}

bool request_limiter::observe(const std::string &incarnation, std::optional<double> perSecond,
                              time_point now)
{
    endpoint_limit &limit = m_limits[incarnation];
    const bool isChanged = limit.perSecond != perSecond;
    setLimit(limit, perSecond, now, now);
    limit.usedAt = now;
    return isChanged;
}

void request_limiter::setLimit(endpoint_limit &limit, std::optional<double> perSecond,
                               time_point observedAt, time_point now)
{
    // Many gateways with small parts of the limit must not all begin with a request, nor all wait
    // until they have gained one.
    if (perSecond && !limit.perSecond) {
        limit.allowance = uniformReal(m_random);
        limit.allowanceAt = now;
    }
    if (!perSecond && limit.perSecond)
        limit.endedAt = now;
    limit.observedAt = observedAt;
    limit.perSecond = perSecond;
}

void request_limiter::recordDemand(const std::string &incarnation, time_point now)
{
    endpoint_limit &limit = m_limits[incarnation];
    if (limit.perSecond)
        refill(limit, now);
    limit.demand = demandAt(limit, now) + 1 / secondsOf(m_settings.demandWindow);
    limit.demandAt = now;
    limit.usedAt = now;
}

double request_limiter::demandAt(const endpoint_limit &limit, time_point now) const
{
    const double age
            = std::max(0.0, secondsOf(now - limit.demandAt)) / secondsOf(m_settings.demandWindow);
    return limit.demand * std::exp(-age);
}

double request_limiter::ownRate(const endpoint_limit &limit, time_point now) const
{
    // The mean over the time since the last refill, in which the demand has decayed.
    const double window = secondsOf(m_settings.demandWindow);
    const double time = std::max(secondsOf(now - limit.allowanceAt), 1e-3);
    const double decayed = (1 - std::exp(-time / window)) * window / time;
    const double own = demandAt(limit, limit.allowanceAt) * decayed;
    const double all = own + limit.peerDemand;
    return all > 0 ? *limit.perSecond * own / all : 0;
}

void request_limiter::refill(endpoint_limit &limit, time_point now) const
{
    const double rate = ownRate(limit, now);
    const double most = 1 + rate * secondsOf(m_settings.burstWindow);
    const double gained = rate * secondsOf(now - limit.allowanceAt);
    limit.allowance = std::min(most, limit.allowance + gained);
    limit.allowanceAt = now;
}

bool request_limiter::allows(const std::string &incarnation, time_point now)
{
    const auto found = m_limits.find(incarnation);
    if (found == m_limits.end() || !found->second.perSecond)
        return true;
    refill(found->second, now);
    return found->second.allowance >= 1;
}

void request_limiter::take(const std::string &incarnation, time_point now)
{
    endpoint_limit &limit = m_limits[incarnation];
    limit.usedAt = now;
    if (!limit.perSecond)
        return;
    refill(limit, now);
    limit.allowance -= 1;
}

std::optional<double> request_limiter::limitOf(const std::string &incarnation) const
{
    const auto found = m_limits.find(incarnation);
    return found == m_limits.end() ? std::nullopt : found->second.perSecond;
}

request_limit_reports request_limiter::reports(time_point now) const
{
    request_limit_reports all;
    for (const auto &[incarnation, limit] : m_limits) {
        const bool hasEnded = limit.endedAt != time_point{}
                              && now - limit.endedAt < m_settings.endedLimitRetention;
        if (limit.perSecond || hasEnded)
            all[incarnation] = { limit.perSecond, now - limit.observedAt, demandAt(limit, now) };
    }
    return all;
}

void request_limiter::merge(const request_limit_reports &reports, time_point now)
{
    for (const auto &[incarnation, report] : reports) {
        const time_point observedAt = now - report.age;
        endpoint_limit &limit = m_limits[incarnation];
        if (observedAt <= limit.observedAt)
            continue;
        setLimit(limit, report.perSecond, observedAt, now);
        limit.usedAt = now;
    }
}

void request_limiter::setPeerDemand(const std::map<std::string, double> &demand)
{
    for (auto &[incarnation, limit] : m_limits) {
        const auto found = demand.find(incarnation);
        limit.peerDemand = found == demand.end() ? 0 : found->second;
    }
}

void request_limiter::expire(time_point now)
{
    for (auto it = m_limits.begin(); it != m_limits.end();) {
        const bool isIdle = now - it->second.usedAt >= m_settings.idleExpiry;
        it = isIdle ? m_limits.erase(it) : std::next(it);
    }
}

} // namespace fescuedeck
