// Known state of all endpoints, merged from the bundle, the host list, the endpoints' reports, this
// router's own calls and the peers' findings.
//
// Use view() for route selection; it is kept up to date by the events and by refresh(). A new value
// of view().topology means that the set of usable endpoints changed and graphs must be rebuilt.
// Not thread-safe: the owner holds the fleet lock (rank 2). Unknown endpoint ids are ignored,
// because events may arrive after a bundle has removed an endpoint.
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

// One line of the platform's host list.
struct listed_host
{
    std::string host;
    std::string incarnation;
    bool leaving = false;
};

// What route selection needs to know of one endpoint.
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
    bool exclusive = false;     // reserved for a request that runs alone
    double tokensPerSecond = 0; // nominal rate times weight, divided by the slowdown
    double weight = 1;
    double inFlight = 0; // streams over the whole range: own, peers' and reported
    double ownInFlight = 0;
    double limit = 0;       // in-flight limit, same unit; 0 for none
    double hopSeconds = 0;  // learned time of one step, with its wait; 0 if unknown
    double waitSeconds = 0; // part of hopSeconds that exceeds the reported iteration
};

struct fleet_view
{
    std::uint64_t topology = 0;
    std::vector<endpoint_view> endpoints; // by slot; a slot keeps its place until setWanted()
};

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

    void setWanted(const std::vector<wanted_endpoint> &wanted, time_point now);
    void applyHostList(const std::vector<listed_host> &hosts, time_point now);
    // Endpoints of these hosts leave. An endpoint returns with a new incarnation after its host has
    // been removed from the set.
    void setDrainedHosts(const std::set<std::string> &hosts, time_point now);
    void applyReport(const std::string &id, const endpoint_report &report, time_point now);

    // Own work. A stream is assigned to each stage of its route while it lasts; calls are its hops.
    void assign(const std::string &id, const layer_range &layers, time_point now);
    void release(const std::string &id, const layer_range &layers, time_point now);
    void callSucceeded(const std::string &id, const std::string &incarnation,
                       const hop_timing &timing, time_point now);
    void callFailed(const std::string &id, time_point now);
    void callTimedOut(const std::string &id, const hop_timing &timing, time_point now);
    void callRefusedLeaving(const std::string &id, const std::string &incarnation, time_point now);
    void setExclusive(const std::string &id, bool exclusive, time_point now);
    void setLimit(const std::string &id, double limit);

    // Peers' findings, from their digests.
    void setPeerInFlight(const std::string &peer, const std::map<std::string, double> &inFlight,
                         time_point now);
    void peerLost(const std::string &peer, time_point now);
    void peerSuspects(const std::string &id, time_point now);
    // A peer was told by the endpoint itself that this incarnation is leaving.
    void peerSawLeaving(const std::string &id, const std::string &incarnation, time_point now);

    // Endpoints to probe now; answer each with recordProbe().
    std::vector<std::string> takeProbes(time_point now);
    void recordProbe(const std::string &id, bool alive, const std::string &incarnation,
                     time_point now);

    // Updates everything that depends on time: slow start, expired digests, kin comparison. Call it
    // a few times a second.
    void refresh(time_point now);

    const fleet_view &view() const { return m_view; }
    const endpoint_state *find(const std::string &id) const;
    std::map<std::string, double> ownInFlight() const; // for the digest; endpoints at 0 are omitted
    std::vector<std::string> withPhase(endpoint_phase phase) const;
    std::vector<endpoint_change> takeChanges(); // since the last call, for logs and metrics

private:
    int slotOf(const std::string &id) const;
    bool isHostLeaving(const std::string &host) const;
    // Applies the rules that involve other endpoints and updates the view.
    void reevaluate(int slot, time_point now);
    void updateView(int slot, time_point now);
    bool othersCover(int slot) const;
    void restoreCoverage(time_point now);
    void updateCohortStepTimes();

    endpoint_settings m_settings;
    std::vector<endpoint_state> m_endpoints;
    std::unordered_map<std::string, int> m_slots;
    std::map<std::string, std::string> m_hostIncarnations; // newest listed
    std::map<std::string, std::string> m_leftHosts;        // host -> incarnation that left
    std::set<std::string> m_drainedHosts;
    // By slot: median step time of the same model, version and accelerator; 0 if unknown.
    std::vector<double> m_cohortStepTimes;
    std::vector<endpoint_change> m_changes;
    fleet_view m_view;
};

} // namespace fescuedeck

#endif
