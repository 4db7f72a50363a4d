// This gateway's part of the retries that a deployment allows to each service.
//
// The limit holds in every window: a share of the requests for the service, and a fixed number that
// all gateways share. What is used is free again one window later, so that a crowd of streams that
// lose their engine together can go on, and some seconds later the next one. Not thread-safe.
#ifndef FESCUEDECK_GATEWAY_RETRY_ALLOWANCE_H
#define FESCUEDECK_GATEWAY_RETRY_ALLOWANCE_H

#include <deque>
#include <string>
#include <unordered_map>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct retry_limits
{
    double share = 0.2;   // of the requests in a window
    double reserve = 196; // in each window, of all gateways together
    duration window = std::chrono::seconds(10);
};

class retry_allowance
{
public:
    // startedAt: of the process. What one before it used is not known, so that little of the
    // reserve may be used in the first window.
    retry_allowance(retry_limits limits, time_point startedAt);

    // Gateways that share the reserve, with this one.
    void setSharers(int count);
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

    const retry_limits m_limits;
    const time_point m_startedAt;
    int m_sharers;
    std::unordered_map<std::string, slices> m_services;
};

} // namespace fescuedeck

#endif
