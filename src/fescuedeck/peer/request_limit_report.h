// What gateways tell each other about the request limit of an endpoint, so that together they stay
// within it.
#ifndef FESCUEDECK_PEER_REQUEST_LIMIT_REPORT_H
#define FESCUEDECK_PEER_REQUEST_LIMIT_REPORT_H

#include <map>
#include <optional>
#include <string>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct request_limit_report
{
    std::optional<double> perSecond; // empty if the endpoint states no limit any more
    duration age{};                  // time since the response that stated so
    // Requests per second that the sender would send to the endpoint if it had no limit.
    double demand = 0;
};

using request_limit_reports = std::map<std::string, request_limit_report>; // by incarnation name

} // namespace fescuedeck

#endif
