// Counts, for each request, how often an endpoint closed the connection while it ran the request.
//
// The caller of a request that crashes every endpoint repeats it, at any gateway. After a few
// crashes such a request is quarantined, which means that no gateway runs it for a while. A request
// is identified by a fingerprint of its caller, method, path and body.
#ifndef FESCUEDECK_GATEWAY_CRASH_TRACKER_H
#define FESCUEDECK_GATEWAY_CRASH_TRACKER_H

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct crash_tracker_settings
{
    int crashesToQuarantine = 3;
    duration countExpiry = std::chrono::seconds(60); // after the last crash
    duration quarantineExpiry = std::chrono::seconds(120);
    std::size_t maxFingerprints = 4096; // beyond this, the oldest entry is dropped
};

// Not thread-safe.
class crash_tracker
{
public:
    explicit crash_tracker(crash_tracker_settings settings = {});

    // Counts a crash of the endpoint with this incarnation name while it ran the request. Returns
    // true if this crash causes the quarantine of the request.
    bool recordCrash(const std::string &fingerprint, const std::string &incarnation,
                     time_point now);
    // The crash had another cause: no longer counts it, and ends the quarantines that it caused.
    void discountCrash(const std::string &incarnation);
    // Quarantines a request because a peer or the store says so. A quarantine that has already
    // begun is not prolonged.
    void quarantine(const std::string &fingerprint, time_point now);
    bool isQuarantined(const std::string &fingerprint, time_point now) const;
    int crashesOf(const std::string &fingerprint) const;
    // Fingerprints of the quarantined requests, including those that expire() has yet to drop.
    std::vector<std::string> quarantined() const;
    // Drops expired counts and quarantines. Call every few seconds.
    void expire(time_point now);

private:
    struct entry
    {
        std::vector<std::string> crashes; // incarnation names of the endpoints
        bool isQuarantined = false;
        bool isCounted = false;     // quarantined because of the crashes counted here
        time_point lastChangedAt{}; // last crash before the quarantine, or start of the quarantine
    };

    bool hasTooManyCrashes(const entry &crash) const;
    // Drops the oldest entry if there are more than maxFingerprints.
    void evictOldest();

    crash_tracker_settings m_settings;
    std::map<std::string, entry> m_entries; // by fingerprint
};

} // namespace fescuedeck

#endif
