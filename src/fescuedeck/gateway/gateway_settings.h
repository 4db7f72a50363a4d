// Settings of one gateway process.
#ifndef FESCUEDECK_GATEWAY_GATEWAY_SETTINGS_H
#define FESCUEDECK_GATEWAY_GATEWAY_SETTINGS_H

#include <cstdint>
#include <string>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct gateway_settings
{
    std::string id; // of the host
    std::string failureDomain;
    std::string callersAddress;
    std::string readinessAddress;
    std::string operatorsAddress; // metrics and status; empty: none
    std::string peersAddress;     // of the other gateways' connections; empty: none
    std::string storeAddress;
    // From SIGTERM until the process is killed.
    duration gracePeriod = std::chrono::seconds(8);
    // A draining endpoint gets no request later than this after its announcement.
    duration drainLimit = std::chrono::seconds(2);
    // An engine that waits for a dead one gives up after this time.
    duration stallLimit = std::chrono::milliseconds(2500);
    // Requests beyond the first sending, summed over all gateways: a share of all requests, and a
    // number in each window.
    double retryShare = 0.2;
    double minRetriesPerWindow = 196;
    duration retryWindow = std::chrono::seconds(10);
    // Engines refuse an order whose fencing token is lower than one that they have seen.
    bool enginesCheckFencing = false;
    std::string logLevel = "info";
};

} // namespace fescuedeck

#endif
