// The settings of one gateway process.
#ifndef FESCUEDECK_GATEWAY_GATEWAY_SETTINGS_H
#define FESCUEDECK_GATEWAY_GATEWAY_SETTINGS_H

#include <cstddef>
#include <cstdint>
#include <string>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct gateway_settings
{
    std::string id; // name of the host
    std::string failureDomain;
    std::string callersAddress;
    std::string readinessAddress;
    std::string operatorsAddress; // serves metrics and status; not served if empty
    std::string peersAddress;     // for connections from other gateways; not served if empty
    std::string relayAddress;     // for requests that other gateways relay; not served if empty
    std::string storeAddress;
    // The time from SIGTERM until the platform kills the process.
    duration gracePeriod = std::chrono::seconds(8);
    // A draining endpoint gets no new request later than this after its announcement.
    duration drainLimit = std::chrono::seconds(2);
    // A configuration is in force on every gateway this long after the operator has written it.
    duration configApplyLimit = std::chrono::seconds(2);
    // The time after which an engine that waits for another engine gives up.
    duration stallLimit = std::chrono::milliseconds(2500);
    // The retry budget for each service, of all gateways together. In each retryWindow, the number
    // of retries may be up to retryShare of the requests plus minRetriesPerWindow.
    double retryShare = 0.2;
    double minRetriesPerWindow = 196;
    duration retryWindow = std::chrono::seconds(10);
    // Of the host; 0 if unknown.
    std::size_t memoryBytes = 0;
    std::size_t fileDescriptors = 0;
    // Of the host, in bytes per second; 0 if unknown.
    double linkRate = 0;
    // True if engines refuse an order whose fencing token is lower than one that they have seen.
    bool enginesCheckFencing = false;
    // While requests of several ranks wait, those below the most urgent one together get at least
    // this share of the admitted work; from 0 to 0.5.
    double lowerRankShare = 0.1;
    std::string logLevel = "info";
};

} // namespace fescuedeck

#endif
