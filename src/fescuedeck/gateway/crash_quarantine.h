// Decides which requests no longer reach endpoints, because they crash them.
//
// A quarantine applies to one request, which crash_tracker counts, or to all requests whose prompt
// contains a segment, which crash_correlator finds. Gateways tell each other of both by a key, and
// of the crashes, because a request that returns may reach another gateway each time.
#ifndef FESCUEDECK_GATEWAY_CRASH_QUARANTINE_H
#define FESCUEDECK_GATEWAY_CRASH_QUARANTINE_H

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/crash_correlator.h"
#include "fescuedeck/gateway/crash_tracker.h"

namespace fescuedeck {

// Enough to tell requests apart. Logs and digests repeat fingerprints.
constexpr std::size_t fingerprintChars = 16;

// By what a request is recognized in a quarantine.
struct request_identity
{
    std::string fingerprint; // of the caller, method, path and body; fingerprintChars long
    // Segments of the prompt that it shares with other requests, in their order.
    std::vector<std::string> sharedSegments;
};

// Returns all segments but the last one, which belongs to the request itself.
std::vector<std::string> sharedSegmentsOf(const std::vector<std::string> &promptSegments);

// Not thread-safe.
class crash_quarantine
{
public:
    explicit crash_quarantine(crash_tracker_settings trackerSettings = {},
                              crash_correlator_settings correlatorSettings = {});

    // Called for each quarantine that this gateway finds, so that others learn of it. That of a
    // single request is not told at once, because its crashes may turn out to have another cause.
    std::function<void(const std::string &key, duration remaining)> onQuarantine;
    // Whether an engine is down, by its incarnation name.
    std::function<bool(const std::string &incarnation)> isDown;
    // When an endpoint last sent a part of any answer, by its incarnation name; the start of the
    // epoch if that is unknown.
    std::function<time_point(const std::string &incarnation)> lastProgress;

    bool isQuarantined(const request_identity &request, time_point now) const;
    // The endpoint closed the connection while it ran the request. Returns the number of times that
    // this has happened.
    int recordCrash(const request_identity &request, const std::string &incarnation,
                    time_point now);
    // The response ended before the answer had begun, perhaps because the engine has crashed.
    void recordEarlyEnd(const request_identity &request, const std::string &incarnation,
                        time_point now);
    void recordBegun(const request_identity &request, time_point now);
    // The gateway stopped waiting before the answer had begun, because the caller has left or the
    // time is over. The endpoint may crash from the request nevertheless. This counts as a crash
    // if the endpoint is found to be down before it shows progress again.
    void recordAbandoned(const request_identity &request, const std::string &incarnation,
                         time_point now);

    // The links of this gateway have failed, so that connections were closed without a crash.
    // Withdraws the crashes that were recorded at the given time or later, and the quarantines that
    // they caused.
    void withdrawCrashes(time_point since, time_point now);

    // Applies a quarantine that a peer or the store has told, for the remaining time.
    void apply(const std::string &toldKey, duration remaining, time_point now);
    // The remaining times of the quarantines to tell peers, by key.
    std::map<std::string, duration> toTell(time_point now) const;
    // Those of toTell() that are not among the keys in the store.
    std::map<std::string, duration> missingIn(const std::vector<std::string> &storedKeys,
                                              time_point now) const;
    crash_reports reports(time_point now) const { return m_correlator.reports(now); }
    void merge(const crash_reports &reports, time_point now);

    // Looks for segments and requests that are newly found to crash engines, and drops what has
    // expired. Call it whenever an engine was found to be down, and every few hundred milliseconds.
    void update(time_point now);

    // Calls cancel when the request becomes quarantined while it waits for its answer. Returns the
    // number for unwatch(). The request must stay valid until then.
    int watch(const request_identity &request, std::function<void()> cancel);
    void unwatch(int number) { m_watches.erase(number); }

private:
    struct watch_entry
    {
        const request_identity *request;
        std::function<void()> cancel;
    };

    struct abandoned_run
    {
        request_identity request;
        std::string incarnation; // of the endpoint
        time_point at{};         // when the gateway stopped waiting
    };

    void explainBy(const std::string &segment, time_point now);
    void checkAbandoned(time_point now);
    // Counts the crashes that this gateway and its peers have seen against single requests.
    void countUnexplained(time_point now);
    void explainByKnownSegments(const std::vector<std::string> &segments, time_point now);
    void cancelQuarantined(time_point now);
    void tellDue(time_point now);

    crash_tracker m_tracker;
    crash_correlator m_correlator;
    std::deque<abandoned_run> m_abandoned;      // the oldest first
    std::map<std::string, time_point> m_untold; // since when, by key
    std::map<int, watch_entry> m_watches;       // by number
    int m_lastWatch = 0;
};

// Watches a request while this object lives. Not thread-safe.
class quarantine_watch
{
public:
    quarantine_watch(crash_quarantine &quarantine, const request_identity &request,
                     std::function<void()> cancel);
    ~quarantine_watch();
    quarantine_watch(const quarantine_watch &) = delete;
    quarantine_watch &operator=(const quarantine_watch &) = delete;

private:
    crash_quarantine &m_quarantine;
    const int m_number;
};

} // namespace fescuedeck

#endif
