// Counts, for each request, how often an endpoint closed the connection while it ran the request.
//
// The caller of a request that crashes every endpoint repeats it, at any gateway. After a few
// crashes such a request is quarantined, which means that no gateway runs it for a while. A request
// is identified by a fingerprint of its caller, method, path and body.
#ifndef FESCUEDECK_GATEWAY_CRASH_TRACKER_H
#define FESCUEDECK_GATEWAY_CRASH_TRACKER_H

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct crash_tracker_settings
{
    int crashesToQuarantine = 3;
    duration countExpiry = std::chrono::seconds(60); // after the last crash
    // The first quarantine of a request. Each later one takes twice as long as the one before.
    duration minQuarantine = std::chrono::minutes(2);
    duration maxQuarantine = std::chrono::hours(1);
    // Two reports of the end of one quarantine differ by less, because clocks and delays differ.
    duration endTolerance = std::chrono::seconds(5);
    duration memory = std::chrono::hours(1); // of a quarantine that has ended
    std::size_t maxFingerprints = 4096;      // beyond this, the entry that expires first is dropped
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
    // Whether a crash of the incarnation counts against the request.
    bool hasCounted(const std::string &fingerprint, const std::string &incarnation) const;
    // The crash had another cause: no longer counts it, and ends the quarantines that it caused.
    void discountCrash(const std::string &incarnation, time_point now);
    // The connections were closed by the links of this gateway and not by endpoints: no longer
    // counts the crashes that were recorded at the given time or later, as discountCrash().
    void withdrawCrashes(time_point since, time_point now);
    // Quarantines a request, for longer if it was quarantined before. Returns the end.
    time_point quarantine(const std::string &fingerprint, time_point now);
    // Quarantines a request until a time that a peer or the store has told. A report of a
    // quarantine that is already known does not prolong it.
    void quarantineUntil(const std::string &fingerprint, time_point until, time_point now);
    bool isQuarantined(const std::string &fingerprint, time_point now) const;
    int crashesOf(const std::string &fingerprint) const;
    // Ends of the quarantines in force, by fingerprint.
    std::map<std::string, time_point> quarantined(time_point now) const;
    // Drops expired counts and quarantines. Call every few seconds.
    void expire(time_point now);

private:
    struct crash
    {
        std::string incarnation; // of the endpoint
        time_point at{};
    };
    struct entry
    {
        std::vector<crash> crashes;
        bool isCounted = false; // quarantined because of the crashes counted here
        int quarantines = 0;
        time_point quarantinedUntil{};
        time_point lastCrashAt{};

        bool isQuarantined(time_point now) const { return quarantinedUntil > now; }
    };

    void beginQuarantine(entry &crash, time_point now) const;
    time_point expiryOf(const entry &crash) const;
    bool hasTooManyCrashes(const entry &crash) const;
    void discount(const std::function<bool(const crash &)> &isDiscounted, time_point now);
    // Drops the entry that expires first if there are more than maxFingerprints.
    void evictFirst();

    const crash_tracker_settings m_settings;
    std::map<std::string, entry> m_entries; // by fingerprint
};

} // namespace fescuedeck

#endif
