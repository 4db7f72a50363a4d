// Known state of one endpoint, by incarnation.
//
// The aggregate applies the rules that concern a single endpoint: leaving is final within an
// incarnation, failures make it a suspect, return after an ejection is gradual and backs off.
// Rules that need the other endpoints (ejection cap, comparison within the cohort) are in
// fleet_state. Not thread-safe; time is an argument.
#ifndef FESCUEDECK_FLEET_ENDPOINT_STATE_H
#define FESCUEDECK_FLEET_ENDPOINT_STATE_H

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "fescuedeck/base/layer_range.h"
#include "fescuedeck/base/name_table.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/fleet/service_time.h"

namespace fescuedeck {

enum class endpoint_phase {
    Joining, // no evidence yet that it serves
    Serving,
    Suspect, // recent failures; used only where the alternatives are worse
    Ejected, // not used until a probe after the backoff succeeds
    Leaving, // final within the incarnation
};

constexpr name_table<endpoint_phase, 5> endpointPhaseNames = { {
        { endpoint_phase::Joining, "joining" },
        { endpoint_phase::Serving, "serving" },
        { endpoint_phase::Suspect, "suspect" },
        { endpoint_phase::Ejected, "ejected" },
        { endpoint_phase::Leaving, "leaving" },
} };

// Desired endpoint, from the bundle. tokensPerSecond is its rate for its whole layer range at its
// best batch size.
struct wanted_endpoint
{
    std::string id;
    std::string host;
    std::string failureDomain;
    std::string accelerator;
    std::string model;
    std::string version;
    layer_range layers;
    double tokensPerSecond = 0;
};

// Load as the endpoint reports it. It describes the past: time is when it was received.
struct endpoint_report
{
    std::string incarnation;
    bool leaving = false;
    int running = 0;
    int waiting = 0;
    duration step{ 0 }; // duration of one batch iteration; 0 if unknown
};

// Measured time of one hop.
struct hop_timing
{
    layer_range layers;
    int tokens = 1; // input positions: 1 for a step, the context for a prefill
    duration elapsed{ 0 };
};

struct endpoint_settings
{
    int failuresToEject = 3; // consecutive
    // Too slow: step time over its own history and over the median of its cohort.
    double slowFactor = 6.0;
    int slowSamples = 8; // consecutive
    duration slowStart = std::chrono::seconds(5);
    double firstWeight = 0.1; // share of the normal load at the start of a return
    duration firstBackoff = std::chrono::seconds(1);
    duration longestBackoff = std::chrono::seconds(60);
    // Serving for this long without an ejection resets the backoff.
    duration stableTime = std::chrono::seconds(60);
    duration probeInterval = std::chrono::milliseconds(500);
    // Deadline of a hop: a multiple of the learned quantile, with floors for a step and a prefill.
    double timeoutFactor = 3.0;
    duration minStepTimeout = std::chrono::milliseconds(50);
    // A prefill waits behind other prefills, and to start it again costs as much as it did: its
    // floor is high, and failing steps show a dead endpoint sooner.
    duration minPrefillTimeout = std::chrono::seconds(10);
    // A peer's digest older than this says nothing about its load.
    duration peerExpiry = std::chrono::seconds(3);
};

class endpoint_state
{
public:
    explicit endpoint_state(wanted_endpoint wanted, endpoint_settings settings = {});

    const wanted_endpoint &wanted() const { return m_wanted; }
    void updateWanted(wanted_endpoint wanted) { m_wanted = std::move(wanted); }
    const std::string &incarnation() const { return m_incarnation; }
    endpoint_phase phase() const { return m_phase; }
    bool isUsable() const;

    // Events. An empty incarnation stands for the current one; an earlier one is ignored. A new
    // incarnation starts as joining.
    void recordReport(const endpoint_report &report, time_point now);
    void recordSuccess(const std::string &incarnation, const hop_timing &timing, time_point now);
    void recordFailure(time_point now);
    // A missed deadline: a failure whose time also counts for the learned quantile. Otherwise only
    // the fast answers would be learned, and the deadline would stay too short under load.
    void recordTimeout(const hop_timing &timing, time_point now);
    void markLeaving(const std::string &incarnation);
    void requestProbe(); // a peer's suspicion: asks for a probe and changes nothing else
    void recordProbe(bool alive, const std::string &incarnation, time_point now);
    // Returns true once for each probe that is due.
    bool takeProbe(time_point now);

    bool shouldEject(double cohortStepTime) const;
    void eject(time_point now);
    // Back in use without a probe, because no other endpoint covers its layers.
    void revertEjection();

    // In-flight work in units of the whole layer range: a stream that uses half of the range counts
    // one half.
    void assign(const layer_range &layers);
    void release(const layer_range &layers);
    void setPeerInFlight(const std::string &peer, double inFlight, time_point now);
    double ownInFlight() const { return m_ownInFlight; }
    double inFlight(time_point now) const;
    // Reserved for a single request; see route_request::alone.
    void setExclusive(bool exclusive) { m_exclusive = exclusive; }
    bool isExclusive() const { return m_exclusive; }

    // Share of its normal load that it should get now, in (0, 1].
    double weight(time_point now) const;
    // Seconds of one step with the queue at the endpoint, for each layer that the endpoint holds.
    // An iteration of its batch passes all of them, so a hop over a part of them takes as long.
    const service_time &stepTime() const { return m_stepTime; }
    // Same for each token of a prefill.
    const service_time &prefillTime() const { return m_prefillTime; }
    // Time after which a hop counts as failed; the elapsed field is not used.
    duration hopTimeout(const hop_timing &hop) const;
    // Long-term mean of stepTime().
    double longTermStepTime() const { return m_longTermStepTime.mean(); }
    // Reported duration of one iteration, moving mean in seconds; 0 if unknown.
    double iterationTime() const { return m_iterationTime.mean(); }
    // Step time over its own long-term level; 1 where either is unknown.
    double slowdown() const;

private:
    bool acceptIncarnation(const std::string &incarnation);
    void startServing(time_point now);
    double fractionOf(const layer_range &layers) const;

    wanted_endpoint m_wanted;
    endpoint_settings m_settings;
    std::string m_incarnation;
    std::deque<std::string> m_pastIncarnations; // newest last
    endpoint_phase m_phase = endpoint_phase::Joining;
    int m_failures = 0;
    int m_slowSamples = 0;
    bool m_probeRequested = true;
    time_point m_nextProbe{};
    time_point m_servingSince{};
    bool m_hasServed = false;
    duration m_backoff{ 0 };
    time_point m_ejectedAt{};
    service_time m_stepTime{ 0.1 };
    service_time m_longTermStepTime{ 0.002 };
    service_time m_prefillTime{ 0.1 };
    service_time m_iterationTime{ 0.2 };
    double m_ownInFlight = 0;
    double m_assignedSinceReport = 0;
    double m_reportedLoad = 0;
    bool m_exclusive = false;
    struct peer_load
    {
        double inFlight;
        time_point received;
    };
    std::map<std::string, peer_load> m_peers;
};

} // namespace fescuedeck

#endif
