// Counts, for each request, the endpoints that ended their connection while they ran it.
//
// A request that crashes every endpoint that runs it comes again from its caller, at any gateway.
// After a few crashes it is quarantined: nobody runs it any more for a while. A request is known
// by a fingerprint of its caller, method, path and body.
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
    duration countExpiry = std::chrono::seconds(60); // after the newest crash
    duration quarantineExpiry = std::chrono::seconds(120);
    std::size_t maxFingerprints = 4096; // the oldest are dropped
};

// Not thread-safe.
class crash_tracker
{
public:
    explicit crash_tracker(crash_tracker_settings settings = {});

    // True if this crash quarantines the request.
    bool recordCrash(const std::string &fingerprint, time_point now);
    // From a peer or the store.
    void quarantine(const std::string &fingerprint, time_point now);
    bool isQuarantined(const std::string &fingerprint, time_point now) const;
    int crashesOf(const std::string &fingerprint) const;
    std::vector<std::string> quarantined() const;
    // Drops what has expired. Call every few seconds.
    void expire(time_point now);

private:
    struct entry
    {
        int crashes = 0;
        bool isQuarantined = false;
        time_point lastChangedAt{};
    };

    void evictOldest();

    crash_tracker_settings m_settings;
    std::map<std::string, entry> m_entries; // by fingerprint
};

} // namespace fescuedeck

#endif
