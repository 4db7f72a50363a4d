// The state of all endpoints as this router knows it. It combines the bundle (the signed
// configuration of the fleet), the platform's host list, the reports of the endpoints, the results
// of this router's own calls and the digests of its peers, which are the other routers.
//
// Use view() for route selection; events and refresh() keep it up to date.
//
// The cohort of an endpoint is the set of endpoints with the same model, version and accelerator.
// Its members should need about the same time for a step, so an endpoint that is much slower than
// the median of its cohort is probably faulty.
//
// The class is not thread-safe: the owner holds the fleet lock (rank 2). Functions ignore unknown
// endpoint ids, because events may arrive after a bundle has removed an endpoint.
#ifndef FESCUEDECK_FLEET_FLEET_STATE_H
#define FESCUEDECK_FLEET_FLEET_STATE_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fescuedeck/fleet/endpoint_state.h"

namespace fescuedeck {

// One entry of the platform's host list.
struct listed_host
{
    std::string host;
    std::string incarnation;
    bool leaving = false;
};

// What route selection needs to know about one endpoint.
struct endpoint_view
{
    std::string id;
    std::string host;
    std::string failureDomain;
    std::string model;
    std::string version;
    layer_range layers;
    endpoint_phase phase = endpoint_phase::Joining;
    bool usable = false;
    bool exclusive = false;     // reserved for the exclusive run of a suspect request
    double tokensPerSecond = 0; // nominal rate times weight, divided by the slowdown
    double weight = 1;
    double inFlight = 0; // streams over the whole layer range; see endpoint_state::inFlight
    double ownInFlight = 0;
    double limit = 0;       // largest allowed inFlight; 0 for no limit
    double hopSeconds = 0;  // long-term mean time of one step, with its wait; 0 if unknown
    double waitSeconds = 0; // part of hopSeconds beyond the reported iteration; 0 if unknown
};

struct fleet_view
{
    // Version number of the set of usable endpoints. When it changes, graphs that were built from
    // the view must be rebuilt.
    std::uint64_t topology = 0;
    // An endpoint keeps its index, which is called its slot, until the next setWanted().
    std::vector<endpoint_view> endpoints;
};

// A change of an endpoint's phase.
struct endpoint_change
{
    std::string id;
    endpoint_phase from;
    endpoint_phase to;
};

class fleet_state
{
public:
    explicit fleet_state(endpoint_settings settings = {});

    // Replaces the set of endpoints. An endpoint whose model, version and layers are unchanged
    // keeps its state. Any other one starts anew, unless it is leaving, which is final.
    void setWanted(const std::vector<wanted_endpoint> &wanted, time_point now);
    // Endpoints of a host that is listed as leaving are leaving too. After the list has shown a new
    // incarnation of the host, an endpoint on it returns only with a new incarnation of its own.
    void applyHostList(const std::vector<listed_host> &hosts, time_point now);
    // Replaces the set of drained hosts. Their endpoints are leaving. After a host has been removed
    // from the set, an endpoint on it returns only with a new incarnation.
    void setDrainedHosts(const std::set<std::string> &hosts, time_point now);
    void applyReport(const std::string &id, const endpoint_report &report, time_point now);

    // The following functions record the work of this router. A stream is assigned to the endpoint
    // of each stage of its route for as long as it lasts; a call is one hop of a stream.
    void assign(const std::string &id, const layer_range &layers, time_point now);
    void release(const std::string &id, const layer_range &layers, time_point now);
    void callSucceeded(const std::string &id, const std::string &incarnation,
                       const hop_timing &timing, time_point now);
    void callFailed(const std::string &id, time_point now);
    void callTimedOut(const std::string &id, const hop_timing &timing, time_point now);
    // The endpoint refused the call because this incarnation is leaving.
    void callRefusedLeaving(const std::string &id, const std::string &incarnation, time_point now);
    // Sets whether the endpoint is reserved for the exclusive run of a suspect request.
    void setExclusive(const std::string &id, bool exclusive, time_point now);
    // Sets the largest allowed in-flight work; 0 for no limit.
    void setLimit(const std::string &id, double limit);

    // The following functions record what peers report.
    //
    // inFlight maps endpoint ids to the peer's own work. Endpoints that it omits count as 0.
    void setPeerInFlight(const std::string &peer, const std::map<std::string, double> &inFlight,
                         time_point now);
    // The peer is gone, so its work no longer counts.
    void peerLost(const std::string &peer, time_point now);
    // A peer suspects the endpoint. This only requests a probe.
    void peerSuspects(const std::string &id, time_point now);
    // The endpoint itself told a peer that this incarnation is leaving.
    void peerSawLeaving(const std::string &id, const std::string &incarnation, time_point now);

    // Returns the endpoints to probe now. The caller reports each result with recordProbe().
    std::vector<std::string> takeProbes(time_point now);
    void recordProbe(const std::string &id, bool alive, const std::string &incarnation,
                     time_point now);

    // Updates everything that depends on time: the slow start, the expiry of digests and the
    // comparison of step times within each cohort. Call it a few times a second.
    void refresh(time_point now);

    const fleet_view &view() const { return m_view; }
    // Returns null if the endpoint is unknown. The pointer is valid until the next setWanted().
    const endpoint_state *find(const std::string &id) const;
    // Returns this router's in-flight work by endpoint id, for its digest. Endpoints without any
    // are omitted.
    std::map<std::string, double> ownInFlight() const;
    // Returns the ids of the endpoints in this phase.
    std::vector<std::string> withPhase(endpoint_phase phase) const;
    // Returns the changes of phases since the last call, for logs and metrics.
    std::vector<endpoint_change> takeChanges();

private:
    // Returns -1 if the endpoint is unknown.
    int slotOf(const std::string &id) const;
    bool isHostLeaving(const std::string &host) const;
    // Applies the rules that involve the host or other endpoints and updates the view.
    void reevaluate(int slot, time_point now);
    void updateView(int slot, time_point now);
    // Returns true if every layer of the endpoint is also held by another usable endpoint.
    bool othersCover(int slot) const;
    // Reverts the ejection of endpoints that hold a layer which no other usable endpoint holds.
    void restoreCoverage(time_point now);
    void updateCohortStepTimes();

    endpoint_settings m_settings;
    std::vector<endpoint_state> m_endpoints;
    std::unordered_map<std::string, int> m_slots;
    // Host -> incarnation in the newest host list that names the host.
    std::map<std::string, std::string> m_hostIncarnations;
    // Host -> incarnation that was listed as leaving.
    std::map<std::string, std::string> m_leftHosts;
    std::set<std::string> m_drainedHosts;
    // By slot: median step time of the cohort, in seconds for each layer; 0 if unknown.
    std::vector<double> m_cohortStepTimes;
    std::vector<endpoint_change> m_changes;
    fleet_view m_view;
};

} // namespace fescuedeck

#endif
