// Keeps the requests of all gateways to an endpoint within the limit that the endpoint states.
//
// An endpoint in need states in its responses how many requests per second it accepts from all
// gateways together. Each gateway uses a part of the limit, in proportion to how many requests it
// would send to the endpoint if there was no limit. Gateways tell each other this demand and the
// newest limit that they have seen, so that one that has seen none keeps to it as well.
//
// Endpoints are identified by incarnation name: a restarted endpoint has no limit until it states
// one.
#ifndef FESCUEDECK_GATEWAY_REQUEST_LIMITER_H
#define FESCUEDECK_GATEWAY_REQUEST_LIMITER_H

#include <map>
#include <optional>
#include <string>

#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/peer/request_limit_report.h"

namespace fescuedeck {

struct request_limiter_settings
{
    // Time over which the demand is averaged.
    duration demandWindow = std::chrono::seconds(4);
    // Requests that may be sent at once after a pause: one, and those of this time at the rate.
    duration burstWindow = std::chrono::milliseconds(500);
    // The end of a limit is told to peers for this long.
    duration endedLimitRetention = std::chrono::seconds(10);
    // An endpoint that was not used for this long is forgotten.
    duration idleExpiry = std::chrono::minutes(2);
};

// Not thread-safe.
class request_limiter
{
public:
    explicit request_limiter(random_fn random, request_limiter_settings settings = {});

    // Records the limit that the newest response of the endpoint states, if any. Returns whether it
    // has changed.
    bool observe(const std::string &incarnation, std::optional<double> perSecond, time_point now);
    // Records that a request would go to the endpoint. Call it once per attempt, also if the limit
    // does not allow the request.
    void recordDemand(const std::string &incarnation, time_point now);
    // Whether the limit allows a request now.
    bool allows(const std::string &incarnation, time_point now);
    // Counts a request that is sent to the endpoint.
    void take(const std::string &incarnation, time_point now);
    std::optional<double> limitOf(const std::string &incarnation) const;

    // What this gateway has observed, for its peers. Contains only endpoints with a limit, or whose
    // limit has ended lately.
    request_limit_reports reports(time_point now) const;
    // Adopts newer observations from a peer's report. Does not use its demand.
    void merge(const request_limit_reports &reports, time_point now);
    // Replaces the demand of all peers together, by incarnation name.
    void setPeerDemand(const std::map<std::string, double> &demand);
    void expire(time_point now);

private:
    struct endpoint_limit
    {
        std::optional<double> perSecond;
        time_point observedAt{}; // of the newest response that any gateway has told of
        time_point endedAt{};    // when the last limit ended
        double demand = 0;       // per second, at demandAt
        time_point demandAt{};
        double peerDemand = 0;
        double allowance = 0; // requests that may be sent, at allowanceAt
        time_point allowanceAt{};
        time_point usedAt{};
    };

    void setLimit(endpoint_limit &limit, std::optional<double> perSecond, time_point observedAt,
                  time_point now);
    double demandAt(const endpoint_limit &limit, time_point now) const;
    // Requests per second that this gateway could send since the last refill.
    double ownRate(const endpoint_limit &limit, time_point now) const;
    void refill(endpoint_limit &limit, time_point now) const;

    const random_fn m_random;
    const request_limiter_settings m_settings;
    std::map<std::string, endpoint_limit> m_limits; // by incarnation name
};

} // namespace fescuedeck

#endif
