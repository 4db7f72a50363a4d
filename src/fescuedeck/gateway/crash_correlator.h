// Finds the prompt segment that crashes engines, from what several crashes have in common.
//
// Some prompts crash each engine that begins to answer them. If the cause is a segment that many
// prompts contain, the requests differ, and a count for each request finds nothing. When an engine
// crashes, the segments of the requests whose answers had not begun there are suspects. A segment
// is a cause if it is a suspect of more crashes than any other one and no single request was
// waiting at all of these crashes. A segment is no suspect of a crash if an answer to a prompt with
// it has begun since.
//
// A closed connection does not prove a crash, so crashes count only once the engine is known to be
// down. Crashes at the same moment count once, because they have a cause outside of the requests.
#ifndef FESCUEDECK_GATEWAY_CRASH_CORRELATOR_H
#define FESCUEDECK_GATEWAY_CRASH_CORRELATOR_H

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fescuedeck/base/time.h"
#include "fescuedeck/peer/crash_report.h"

namespace fescuedeck {

struct crash_correlator_settings
{
    // A cause exceeds all other suspects by at least one crash. It has at least minCrashes, or
    // establishedMinCrashes if an answer to a prompt with it has begun before.
    int minCrashes = 2;
    int establishedMinCrashes = 4;
    // If suspects coincide with the same crashes, the deepest one is the cause after so many.
    int tiedMinCrashes = 4;
    std::size_t minRequests = 2; // that brought the segment
    duration simultaneity = std::chrono::milliseconds(50);
    duration crashExpiry = std::chrono::seconds(60);
    std::size_t maxCrashes = 64;    // beyond this, the oldest is dropped
    std::size_t maxSuspects = 64;   // of one crash; further ones are ignored
    std::size_t maxRequests = 64;   // of one crash; further ones are ignored
    std::size_t maxSegments = 8192; // whose answers are known to have begun
    // Peers are told the newest crashes only, for a short time, because each digest repeats them.
    std::size_t maxReportedCrashes = 8;
    duration reportTime = std::chrono::seconds(5);
};

// Not thread-safe.
class crash_correlator
{
public:
    explicit crash_correlator(crash_correlator_settings settings = {});

    // An answer to a prompt with these segments has begun.
    void recordBegun(const std::vector<std::string> &segments, time_point now);
    // The connection to the engine ended before the answer to the request had begun. segments are
    // those that the request shares with others, in the order of the prompt.
    void recordCrash(const std::string &incarnation, const std::string &fingerprint,
                     const std::vector<std::string> &segments, time_point now);
    // Adds what a peer has observed.
    void merge(const crash_reports &reports, time_point now);
    // What this gateway and its peers have observed lately, for other gateways.
    crash_reports reports(time_point now) const;

    // Returns a segment that is the cause of crashes which are not explained, if there is one.
    // isDown tells whether an engine is down by its incarnation name.
    std::optional<std::string> findCause(const std::function<bool(const std::string &)> &isDown);
    // Explains all crashes of which the segment is a suspect. They are no evidence against others.
    // Returns the incarnation names of those that had not been explained before.
    std::vector<std::string> explainBy(const std::string &segment);
    bool isExplained(const std::string &incarnation) const;
    // Fingerprints of the requests that may have caused a crash which no segment explains, by the
    // incarnation name of the engine. Only crashes of engines that findCause() has seen to be down.
    std::map<std::string, std::set<std::string>> requestsOfUnexplained() const;
    // Forgets the crashes that were recorded at the given time or later. Peers that have observed
    // one of them tell it again.
    void withdrawCrashes(time_point since);
    void expire(time_point now);

private:
    struct crash
    {
        time_point at{};
        bool isDown = false; // the engine was seen to be down
        bool isExplained = false;
        std::map<std::string, crash_suspect> suspects; // by segment
        std::set<std::string> requests;                // fingerprints
    };
    // The crashes of which one segment is a suspect.
    struct segment_crashes
    {
        std::vector<time_point> times;
        crash_suspect all;                    // of all the crashes
        std::set<std::string> commonRequests; // that were waiting at each crash
    };
    // What a segment has in common with the crashes.
    struct correlation
    {
        std::string segment;
        int crashes = 0;
        int surplus = 0; // crashes beyond those that it needs to be a cause
        int depth = 0;
        std::size_t requests = 0;
        // A request that was waiting at each of the crashes explains them as well as the segment.
        bool hasCommonRequest = false;
    };

    crash &crashOf(const std::string &incarnation, time_point at);
    void addSuspect(crash &of, const std::string &segment, const crash_suspect &suspect);
    void addRequest(crash &of, const std::string &fingerprint) const;
    void setBegun(const std::string &segment, time_point at);
    std::optional<time_point> begunAt(const std::string &segment) const;
    std::map<std::string, segment_crashes> crashesBySegment() const;
    std::vector<correlation> correlate() const;
    std::optional<std::string> bestCandidate() const;
    // Whether the other segment is a suspect of one of the segment's crashes.
    bool shareCrash(const std::string &segment, const std::string &other) const;
    void evictOldest();

    crash_correlator_settings m_settings;
    std::map<std::string, crash> m_crashes; // by incarnation name
    // When an answer last began, by segment. Once the first map is half full, it replaces the
    // second one, so that the oldest entries are dropped.
    std::unordered_map<std::string, time_point> m_begun;
    std::unordered_map<std::string, time_point> m_begunEarlier;
};

} // namespace fescuedeck

#endif
