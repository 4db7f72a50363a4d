// Connects crash_suspects, which finds the requests that crash endpoints, to the drafts, the peers
// and the log of one router.
//
// Each draft calls startHop() before a hop and endHop() after it. Messages to the peers and
// quarantine records are sent by the hooks; messages from the peers and quarantine records of the
// log are passed to the received... functions.
//
// A request is identified by its fingerprint, which is the hash of its content. The hops of a
// suspect request run alone on their endpoint. Such an exclusive run requires a reservation of the
// endpoint, to which all live peers must consent.
#ifndef FESCUEDECK_ROUTER_SUSPECT_COORDINATOR_H
#define FESCUEDECK_ROUTER_SUSPECT_COORDINATOR_H

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/guarded.h"
#include "fescuedeck/base/random.h"
#include "fescuedeck/router/wait_event.h"
#include "fescuedeck/stream/crash_suspects.h"

namespace fescuedeck {

// The functions that send what crash_suspects has decided. A hook that is not set is skipped. Hooks
// are called while no lock of the coordinator is held.
struct suspect_hooks
{
    std::function<void(const announce_evidence &)> announceEvidence;
    std::function<void(const request_exclusive_run &)> requestReservation;
    std::function<void(const exclusive_run_reply &)> replyToReservation;
    std::function<void(const announce_exclusive_run &)> announceExclusiveRun;
    std::function<void(const release_exclusive_run &)> releaseReservation;
    std::function<void(const publish_quarantine &)> publishQuarantine;
};

// Thread-safe.
class suspect_coordinator
{
public:
    suspect_coordinator(const crash_suspects_settings &settings, random_fn random);

    // Must be called before any draft runs, because it is not thread-safe.
    void setHooks(suspect_hooks hooks) { m_hooks = std::move(hooks); }

    bool isQuarantined(const std::string &fingerprint) const;
    // Returns true if the request is a suspect whose hops need an exclusive run.
    bool mustRunAlone(const std::string &fingerprint) const;
    // Returns the endpoints that the request may have crashed. Its routes must avoid them.
    std::set<std::string> crashedEndpoints(const std::string &fingerprint) const;
    // Waits until the hop may be sent, and records that it runs. A suspect request first reserves
    // the endpoint. position is that of the token which the hop is to produce. Fails with
    // Quarantined if the request is quarantined, and with Timeout if the hop could not start before
    // the deadline.
    result<bool> startHop(const std::string &fingerprint, const std::string &endpoint, int position,
                          time_point deadline, boost::asio::yield_context yield);
    // Records that the hop was answered or has failed, and releases its reservation. If the
    // endpoint has crashed, endpointCrashed() must be called first.
    void endHop(const std::string &fingerprint, const std::string &endpoint);
    // Records that the request has produced the token at the position. A suspect that gets past the
    // position of its crash need not run alone any longer.
    void tokenProduced(const std::string &fingerprint, int position);
    // Records that the request has finished without an error.
    void finished(const std::string &fingerprint);
    // Must be called before the caller of any request that ran on the endpoint gets its response.
    void endpointCrashed(const std::string &endpoint, const std::string &incarnation);

    // Sets the peers whose consent a reservation needs. The name of a peer must change each time
    // its process starts.
    void peersChanged(std::set<std::string> livePeers);
    // These functions take messages from the peers; peer is the name of the sender.
    void receivedEvidence(const std::vector<crash_evidence> &evidence);
    void receivedReservationRequest(const std::string &peer, const request_exclusive_run &ask);
    void receivedReservationReply(const std::string &peer, const exclusive_run_reply &reply);
    void receivedExclusiveRunStart(const std::string &peer, const announce_exclusive_run &started);
    void receivedReservationRelease(const std::string &peer, const release_exclusive_run &release);
    // Takes a quarantine that a peer has announced or that was read from the log.
    void receivedQuarantine(const quarantine_entry &entry);

    std::vector<crash_evidence> evidence() const;
    std::vector<quarantine_entry> quarantined() const;
    // Drops old evidence, quarantines and reservations. Must be called every few seconds.
    void expire();

private:
    using run_key = std::pair<std::string, std::string>; // fingerprint, endpoint

    struct tables
    {
        explicit tables(const crash_suspects_settings &settings)
            : suspects(settings)
        {
        }
        crash_suspects suspects;
        std::map<run_key, wait_event> waiting; // drafts that wait for the result of a reservation
    };

    // Calls change while the lock is held, then executes the returned actions without the lock.
    void apply(const std::function<suspect_actions(crash_suspects &)> &change);
    void execute(const suspect_action &action);
    // Wakes the draft that waits for the result of its reservation.
    void wake(const std::string &fingerprint, const std::string &endpoint);
    // Returns false if the hop may not start yet.
    bool tryStartHop(const std::string &fingerprint, const std::string &endpoint, int position);
    run_permission permissionFor(const std::string &fingerprint) const;

    guarded<tables> m_tables;
    random_fn m_random;
    suspect_hooks m_hooks;
};

} // namespace fescuedeck

#endif
