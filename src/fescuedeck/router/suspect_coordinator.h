// Connects crash_suspects to the drafts, the peers and the log of one router.
//
// Drafts ask here before each hop and report its end. Decisions that concern other routers leave
// through the hooks; their messages come in through the received... functions.
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

// Called without any lock held.
struct suspect_hooks
{
    std::function<void(const announce_evidence &)> announceEvidence;
    std::function<void(const ask_lone_run &)> requestReservation;
    std::function<void(const lone_run_reply &)> replyToReservation;
    std::function<void(const announce_lone_run &)> announceExclusiveRun;
    std::function<void(const release_lone_run &)> releaseReservation;
    std::function<void(const publish_quarantine &)> publishQuarantine;
};

// Thread-safe.
class suspect_coordinator
{
public:
    suspect_coordinator(const crash_suspects_settings &settings, random_fn random);

    // Call before any draft runs.
    void setHooks(suspect_hooks hooks) { m_hooks = std::move(hooks); }

    bool isQuarantined(const std::string &fingerprint) const;
    bool mustRunAlone(const std::string &fingerprint) const;
    // Endpoints that the request may have crashed; its routes avoid them.
    std::set<std::string> crashedEndpoints(const std::string &fingerprint) const;
    // Waits until the hop may be sent, which for a suspect takes the consent of the peers. Fails
    // with Quarantined, or with Timeout if the endpoint was not free before the deadline.
    result<bool> startHop(const std::string &fingerprint, const std::string &endpoint, int position,
                          time_point deadline, boost::asio::yield_context yield);
    void endHop(const std::string &fingerprint, const std::string &endpoint);
    void tokenProduced(const std::string &fingerprint, int position);
    void finished(const std::string &fingerprint);
    // Call before the caller of any request that ran there is answered.
    void endpointCrashed(const std::string &endpoint, const std::string &incarnation);

    void peersChanged(std::set<std::string> livePeers);
    void receivedEvidence(const std::vector<crash_evidence> &evidence);
    void receivedReservationRequest(const std::string &peer, const ask_lone_run &ask);
    void receivedReservationReply(const std::string &peer, const lone_run_reply &reply);
    void receivedExclusiveRunStart(const std::string &peer, const announce_lone_run &started);
    void receivedReservationRelease(const std::string &peer, const release_lone_run &release);
    void receivedQuarantine(const quarantine_entry &entry);

    std::vector<crash_evidence> evidence() const;
    std::vector<quarantine_entry> quarantined() const;
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
        std::map<run_key, wait_event> waiting; // drafts that wait for lone_run_ready or _denied
    };

    // Calls change with the suspects under the lock, then carries out the actions without it.
    void apply(const std::function<suspect_actions(crash_suspects &)> &change);
    void execute(const suspect_action &action);
    void wake(const std::string &fingerprint, const std::string &endpoint);
    bool tryStartHop(const std::string &fingerprint, const std::string &endpoint, int position);
    run_permission permissionFor(const std::string &fingerprint) const;

    guarded<tables> m_tables;
    random_fn m_random;
    suspect_hooks m_hooks;
};

} // namespace fescuedeck

#endif
