// The state of one endpoint as this router knows it.
//
// An incarnation is one lifetime of an endpoint's process; a restart starts a new one. The class
// applies the rules that concern a single endpoint:
// - An endpoint that is leaving stays so until a new incarnation appears.
// - A failure makes the endpoint a suspect; a success or a successful probe clears the suspicion.
// - An ejected endpoint is probed after a backoff, which doubles with each ejection. When it
//   returns, its share of the load grows gradually.
// Rules that involve other endpoints are in fleet_state: an endpoint is not ejected if no other one
// covers its layers, and its step time is compared with that of its cohort.
//
// The class is not thread-safe. It reads no clock: callers pass the current time.
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
    Joining, // nothing has shown yet that the endpoint serves requests
    Serving,
    Suspect, // failed recently; used only where the alternatives are worse
    Ejected, // not used until a probe succeeds after the backoff
    Leaving, // shutting down; final within the incarnation
};

constexpr name_table<endpoint_phase, 5> endpointPhaseNames = { {
        { endpoint_phase::Joining, "joining" },
        { endpoint_phase::Serving, "serving" },
        { endpoint_phase::Suspect, "suspect" },
        { endpoint_phase::Ejected, "ejected" },
        { endpoint_phase::Leaving, "leaving" },
} };

// An endpoint that should exist according to the bundle, the signed configuration of the fleet.
struct wanted_endpoint
{
    std::string id;
    std::string host;
    std::string failureDomain;
    std::string accelerator;
    std::string model;
    std::string version;
    layer_range layers;
    double tokensPerSecond = 0; // rate for the whole layer range at the best batch size
};

// The load that an endpoint reports about itself. It may be out of date when it arrives. The time
// that is passed with a report is the time of its receipt.
struct endpoint_report
{
    std::string incarnation;
    bool leaving = false;
    int running = 0;    // requests in the current batch
    int waiting = 0;    // requests in the queue
    duration step{ 0 }; // duration of one batch iteration; 0 if unknown
};

// The measured time of one hop, which is a call to one endpoint for some of its layers.
struct hop_timing
{
    layer_range layers;
    // Number of input positions: 1 for a decoding step, the length of the context for a prefill.
    int tokens = 1;
    duration elapsed{ 0 };
};

struct endpoint_settings
{
    // This many consecutive failures eject the endpoint.
    int failuresToEject = 3;
    // A step is slow if the recent mean step time, which includes it, exceeds this factor times the
    // long-term mean. The endpoint is ejected after slowSamples consecutive slow steps if its
    // recent mean also exceeds this factor times the median of its cohort (see fleet_state.h).
    double slowFactor = 6.0;
    int slowSamples = 8;
    // After an ejection, the endpoint's share of its normal load grows from firstWeight to 1 over
    // the time slowStart.
    duration slowStart = std::chrono::seconds(5);
    double firstWeight = 0.1;
    // Time between an ejection and the first probe. It starts at firstBackoff and doubles with each
    // further ejection up to longestBackoff.
    duration firstBackoff = std::chrono::seconds(1);
    duration longestBackoff = std::chrono::seconds(60);
    // If an endpoint has served for longer than this, its next ejection starts again with
    // firstBackoff.
    duration stableTime = std::chrono::seconds(60);
    // Least time between two probes of the endpoint.
    duration probeInterval = std::chrono::milliseconds(500);
    // The timeout of a hop is this multiple of the learned quantile, but at least minStepTimeout
    // for a decoding step and minPrefillTimeout for a prefill.
    double timeoutFactor = 3.0;
    duration minStepTimeout = std::chrono::milliseconds(50);
    // This minimum is high because a prefill may wait behind other prefills and because repeating
    // it costs the whole work again. Steps that fail reveal a dead endpoint sooner.
    duration minPrefillTimeout = std::chrono::seconds(10);
    // How long the in-flight work in a peer's digest (its periodic summary) counts. An older digest
    // says nothing about the peer's present load.
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
    // Returns true in the phases Serving and Suspect.
    bool isUsable() const;

    // The following functions record events. An empty incarnation stands for the current one.
    // Events of an earlier incarnation are ignored. A new incarnation means that the endpoint has
    // restarted: its phase becomes Joining, and its failures, its learned times and its reported
    // load are discarded. The backoff and the in-flight work of all routers are kept.
    void recordReport(const endpoint_report &report, time_point now);
    // Learns the time of the hop and clears a suspicion, but does not end an ejection.
    void recordSuccess(const std::string &incarnation, const hop_timing &timing, time_point now);
    // Makes a serving or joining endpoint a suspect and requests a probe.
    void recordFailure(time_point now);
    // Records a hop that exceeded its timeout: a failure whose elapsed time is also a sample of the
    // service time. Without it, only fast answers would be learned and the timeout would stay too
    // short under load.
    void recordTimeout(const hop_timing &timing, time_point now);
    void markLeaving(const std::string &incarnation);
    // Requests a probe and changes nothing else, because the suspicion of a peer is no proof. Has
    // no effect in the phases Leaving and Ejected.
    void requestProbe();
    // Records the result of a probe. A failed probe counts as a failure; a successful one returns a
    // suspect or ejected endpoint to service.
    void recordProbe(bool alive, const std::string &incarnation, time_point now);
    // Returns true if a probe is due. The caller must then send it; the next one is due after
    // probeInterval at the earliest.
    bool takeProbe(time_point now);

    // Returns true if too many consecutive calls failed or the endpoint is too slow.
    // cohortStepTime is the median step time of the cohort (see fleet_state.h) in seconds for each
    // layer; 0 if unknown, in which case only failures count.
    bool shouldEject(double cohortStepTime) const;
    // Ejects the endpoint and sets its next backoff.
    void eject(time_point now);
    // Makes an ejected endpoint a suspect again without waiting for a probe. Meant for an endpoint
    // whose layers no other one covers any longer.
    void revertEjection();

    // In-flight work is measured in streams over the endpoint's whole layer range: a stream that
    // uses half of the range counts one half.
    //
    // assign() and release() count a stream of this router.
    void assign(const layer_range &layers);
    void release(const layer_range &layers);
    // Sets the in-flight work that a peer reports. A value of 0 removes it; any other
    // value expires after peerExpiry.
    void setPeerInFlight(const std::string &peer, double inFlight, time_point now);
    double ownInFlight() const { return m_ownInFlight; }
    // Returns the larger of two estimates: the work of this router and of its peers, or the work in
    // the endpoint's last report plus what this router has assigned since.
    double inFlight(time_point now) const;
    // Sets whether the endpoint is reserved for the exclusive run of a suspect request.
    void setExclusive(bool exclusive) { m_exclusive = exclusive; }
    bool isExclusive() const { return m_exclusive; }

    // Returns the share of its normal load that the endpoint should get now, in (0, 1].
    double weight(time_point now) const;
    // Time of one decoding step in seconds, including the wait in the endpoint's queue, divided by
    // the number of layers that the endpoint holds. The divisor does not depend on the layers of
    // the hop, because an iteration of the batch runs all layers of the endpoint and a hop over a
    // part of them takes as long.
    const service_time &stepTime() const { return m_stepTime; }
    // Time of a prefill in seconds, for each token and each layer that the endpoint holds.
    const service_time &prefillTime() const { return m_prefillTime; }
    // Returns the time after which the hop counts as failed. Ignores hop.elapsed.
    duration hopTimeout(const hop_timing &hop) const;
    // Mean of the step times of successful hops, over many more samples than stepTime(); 0 if
    // unknown.
    double longTermStepTime() const { return m_longTermStepTime.mean(); }
    // Moving mean of the reported duration of one batch iteration, in seconds; 0 if unknown.
    double iterationTime() const { return m_iterationTime.mean(); }
    // Returns the ratio of the recent step time to its long-term mean; 1 if there are too few
    // samples for either.
    double slowdown() const;

private:
    // Makes a new incarnation the current one. Returns false if the incarnation is an earlier one,
    // whose events the caller must ignore.
    bool acceptIncarnation(const std::string &incarnation);
    void startServing(time_point now);
    // Returns the number of these layers as a fraction of the endpoint's layers.
    double fractionOf(const layer_range &layers) const;

    wanted_endpoint m_wanted;
    endpoint_settings m_settings;
    std::string m_incarnation;
    std::deque<std::string> m_pastIncarnations; // newest last
    endpoint_phase m_phase = endpoint_phase::Joining;
    int m_failures = 0;    // consecutive
    int m_slowSamples = 0; // consecutive
    bool m_probeRequested = true;
    time_point m_nextProbe{};    // earliest time of the next probe
    time_point m_servingSince{}; // time of the last change from Joining or Ejected to Serving
    bool m_hasServed = false;
    duration m_backoff{ 0 };
    time_point m_ejectedAt{};
    service_time m_stepTime{ 0.1 };
    service_time m_longTermStepTime{ 0.002 }; // small weight, so it covers many more samples
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
