// Finds the requests that crash endpoints and keeps them from running again.
//
// A request runs as a series of hops, each of which is one step on one endpoint. A request is
// identified by the fingerprint of its content, so all of its copies share their history. When an
// endpoint crashes, every request that had a hop running there becomes a suspect, because the crash
// does not show which of them caused it. Each hop of a suspect must be an exclusive run, that is,
// run alone on its endpoint: the router first requests a reservation of the endpoint, which every
// live peer has to grant. A suspect whose exclusive run crashes another endpoint is proven to be
// the cause of both crashes and is quarantined. The other suspects get past the crash and are
// cleared.
//
// Each router has one object, which receives events and returns the actions that the router has to
// execute. It has no sockets, threads or clocks. Not thread-safe.
//
// Reservations cannot deadlock: one that conflicts with another reservation is denied at once, one
// that only meets running hops waits for them to end, and running hops wait for nothing.
//
// Limits: a copy of a crashing request that starts before its router hears of the first crash runs
// without a reservation. The first crash stays unknown if its router is killed before it announces
// the crash.
#ifndef FESCUEDECK_STREAM_CRASH_SUSPECTS_H
#define FESCUEDECK_STREAM_CRASH_SUSPECTS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

// Records that a request had a hop running on an endpoint when the endpoint crashed.
struct crash_evidence
{
    std::string fingerprint;
    std::string endpoint, incarnation; // together they identify the crash
    unix_millis startedAt{ 0 };        // start of the hop
    unix_millis crashedAt{ 0 };
    int position = 0;              // of the token that the hop was to produce; see hop_identity
    bool ranAlone = false;         // the hop was an exclusive run
    bool isPositionPassed = false; // the request has produced a token after this position since
    bool isCleared = false;        // the request has finished since
};

enum class run_permission {
    Run,      // not a suspect
    RunAlone, // a suspect, which needs a reservation for each hop
    Rejected  // quarantined
};

struct quarantine_entry
{
    std::string fingerprint;
    unix_millis since{ 0 };
};

// The current time on both clocks. Reservations use the steady clock. Evidence uses the wall clock,
// because its times are compared between routers.
struct suspect_time
{
    time_point steady;
    unix_millis wall{ 0 };
};

struct crash_suspects_settings
{
    // Limit of suspects and quarantined requests together. Above it, the suspects with the oldest
    // crashes are dropped first, then the oldest quarantines.
    std::size_t maxFingerprints = 4096;
    unix_millis suspectExpiry = std::chrono::minutes(10);
    unix_millis quarantineExpiry = std::chrono::hours(24);
    // A reservation that is not released expires after this time. A hop may start in the first half
    // of this time, so that the reservation at the peers outlasts it. Must exceed the longest step
    // timeout.
    duration reservationTimeout = std::chrono::seconds(30);
    // When a peer is lost, its reservations stay valid for this time, because its hops may still be
    // running and a crash must be attributed to them.
    duration lostPeerReservationTimeout = std::chrono::seconds(2);
};

// The following structs are the actions that the router executes.

// Send to every peer.
struct announce_evidence
{
    std::vector<crash_evidence> evidence;
};
// Send to every live peer; each answers with an exclusive_run_reply.
struct request_exclusive_run
{
    std::string fingerprint, endpoint;
    std::uint64_t ticket = 0; // identifies the reservation among those of this router
};
// Send to the peer that requested the reservation.
struct exclusive_run_reply
{
    std::string peer;
    std::uint64_t ticket = 0;
    bool isGranted = false;
    std::vector<crash_evidence> evidence; // all that this router has about the fingerprint
};
// The reservation is granted. Check mayStartHop again right before the suspect's hop is sent.
struct exclusive_run_ready
{
    std::string fingerprint, endpoint;
};
// The reservation is denied. Request it again after a random delay.
struct exclusive_run_denied
{
    std::string fingerprint, endpoint;
};
// Send to every peer before the hop is sent, so that the peers can attribute a crash to the suspect
// even if this router is killed.
struct announce_exclusive_run
{
    std::uint64_t ticket = 0;
    unix_millis startedAt{ 0 };
    int position = 0;
};
// Send to every peer: the reservation has ended.
struct release_exclusive_run
{
    std::uint64_t ticket = 0;
};
// Tell every peer at once and append a quarantine record to the log.
struct publish_quarantine
{
    std::string fingerprint;
    int crashes = 0; // number of crashes for which there is evidence
};
using suspect_action
        = std::variant<announce_evidence, request_exclusive_run, exclusive_run_reply,
                       exclusive_run_ready, exclusive_run_denied, announce_exclusive_run,
                       release_exclusive_run, publish_quarantine>;
using suspect_actions = std::vector<suspect_action>;

class crash_suspects
{
public:
    explicit crash_suspects(const crash_suspects_settings &settings);

    // Sets the live peers, which are those whose digests are current. An exclusive run needs a
    // grant from each of them. A peer must have another name after a restart.
    suspect_actions peersChanged(std::set<std::string> livePeers, const suspect_time &now);

    run_permission permissionFor(const std::string &fingerprint, const suspect_time &now) const;
    // Returns whether the request is a suspect that has not got past the positions of all its
    // crashes. Does not check the quarantine; see permissionFor.
    bool mustRunAlone(const std::string &fingerprint, const suspect_time &now) const;
    // Returns the endpoints that the request may have crashed. Its routes must avoid them.
    std::set<std::string> crashedEndpoints(const std::string &fingerprint) const;
    // Returns whether a hop may be sent. Call it right before. A hop must not be sent if
    // - the request may have crashed the endpoint before,
    // - the request is quarantined,
    // - the request is a suspect and has no valid reservation, or
    // - the endpoint is reserved for another request.
    bool mayStartHop(const std::string &fingerprint, const std::string &endpoint,
                     const suspect_time &now) const;
    // Records the start of a hop. Execute the actions before the hop is sent.
    suspect_actions hopStarted(const std::string &fingerprint, const std::string &endpoint,
                               int position, const suspect_time &now);
    // Records that a hop was answered, has failed or will not be sent, and releases its
    // reservation. If the endpoint has crashed, call endpointCrashed first. Do not call it when
    // only the caller has left, because the endpoint may still run the hop and crash.
    suspect_actions hopEnded(const std::string &fingerprint, const std::string &endpoint);
    // Records a produced token. A suspect need no longer run alone once it has produced a token
    // after the position of its crash. The token at that position does not suffice: after a retry
    // it comes from a prefill, which may not take the code path that crashed. The evidence stays
    // until the request finishes.
    suspect_actions tokenProduced(const std::string &fingerprint, int position);
    // Records that the request has finished, which clears it of all crashes.
    suspect_actions finished(const std::string &fingerprint);
    // Records a crash. Call it for every crash that the router sees, even if the router had no hop
    // on the endpoint, and before the router answers the caller of any request that ran there.
    suspect_actions endpointCrashed(const std::string &endpoint, const std::string &incarnation,
                                    const suspect_time &now);

    // Requests a reservation of the endpoint for one hop of a suspect. The result is an
    // exclusive_run_ready or exclusive_run_denied action, now or after a later event.
    suspect_actions requestExclusiveRun(const std::string &fingerprint, const std::string &endpoint,
                                        const suspect_time &now);
    // The next four functions handle the messages that a peer sends for its actions
    // request_exclusive_run, exclusive_run_reply, announce_exclusive_run and release_exclusive_run.
    suspect_actions exclusiveRunRequested(const std::string &peer, const std::string &fingerprint,
                                          const std::string &endpoint, std::uint64_t ticket,
                                          const suspect_time &now);
    suspect_actions exclusiveRunReplied(const std::string &peer, std::uint64_t ticket,
                                        bool isGranted, const std::vector<crash_evidence> &evidence,
                                        const suspect_time &now);
    suspect_actions exclusiveRunStarted(const std::string &peer, std::uint64_t ticket,
                                        unix_millis startedAt, int position,
                                        const suspect_time &now);
    void exclusiveRunReleased(const std::string &peer, std::uint64_t ticket);

    // Adds evidence from a peer. When a peer connects, it sends all that it has.
    suspect_actions evidenceLearned(const std::vector<crash_evidence> &evidence,
                                    const suspect_time &now);
    // Adds a quarantine from a peer's digest or from the log.
    void quarantineLearned(const quarantine_entry &entry);
    std::vector<crash_evidence> evidence() const;
    std::vector<quarantine_entry> quarantined() const;

    // Drops suspects, quarantines and reservations that have expired. Call it every few seconds.
    suspect_actions expire(const suspect_time &now);
    // Returns the number of suspects and quarantined requests.
    std::size_t size() const { return m_suspects.size() + m_quarantined.size(); }

private:
    using crash_id = std::pair<std::string, std::string>; // endpoint, incarnation
    struct suspect
    {
        std::map<crash_id, crash_evidence> crashes;
        unix_millis newestCrash{ 0 };
    };
    struct running_hop
    {
        unix_millis startedAt{ 0 };
        int position = 0;
    };
    // A reservation that this router has requested for one of its suspects.
    struct own_reservation
    {
        std::string fingerprint, endpoint;
        std::uint64_t ticket = 0;
        time_point requestedAt;
        std::set<std::string> waitingFor; // peers that have not granted it yet
        bool isReady = false;
    };
    // A reservation that a peer has requested from this router.
    struct peer_reservation
    {
        std::string peer, fingerprint, endpoint;
        std::uint64_t ticket = 0;
        time_point expiresAt;
        bool isGranted = false;
        std::optional<running_hop> hop; // empty until the peer announces its start
        std::string crashedIncarnation; // of the endpoint; empty if it has not crashed
        unix_millis crashedAt{ 0 };
    };

    // True if there is a crash of which the request has not been cleared and whose position it has
    // not passed.
    bool hasUnresolvedEvidence(const suspect &entry) const;
    // True if this router has a hop running on the endpoint.
    bool hasRunningHop(const std::string &endpoint) const;
    bool isRunningAnywhere(const std::string &fingerprint) const;
    // True if this router or a peer has a reservation of the endpoint.
    bool isReserved(const std::string &endpoint, const suspect_time &now) const;
    // True if a reservation must be denied, because the endpoint is reserved already or because the
    // request has a running hop or another reservation.
    bool hasConflict(const std::string &fingerprint, const std::string &endpoint,
                     const suspect_time &now) const;
    // True if no other request, except cleared ones, is a suspect of both crashes.
    bool isSoleCommonSuspect(const std::string &fingerprint, const crash_id &first,
                             const crash_id &second) const;
    // True if the hop was an exclusive run and no other request's hop can have caused the crash.
    bool isSoleSuspect(const crash_evidence &evidence) const;
    // True if the two crashes prove that the request causes crashes.
    bool proves(const std::string &fingerprint, const crash_evidence &first,
                const crash_evidence &second) const;
    // Returns the number of the request's crashes if some two of them prove that it causes crashes,
    // otherwise 0.
    int provenCrashes(const std::string &fingerprint) const;
    // Returns the evidence about the peer's exclusive run; empty unless its hop has started and the
    // endpoint has crashed since.
    static std::vector<crash_evidence> crashEvidence(const peer_reservation &reservation);
    std::vector<crash_evidence> evidenceOf(const std::string &fingerprint) const;
    // True if this router has a reservation for the hop that every peer has granted and that will
    // not expire at the peers while the hop runs.
    bool hasReservation(const std::string &fingerprint, const std::string &endpoint,
                        const suspect_time &now) const;
    // Adds the evidence and returns the actions to announce it and to quarantine proven requests.
    suspect_actions recordEvidence(const std::vector<crash_evidence> &found,
                                   const suspect_time &now);
    // Merges one item into the table, unless it is too old.
    void addEvidence(const crash_evidence &evidence, const suspect_time &now);
    void quarantineProven(const suspect_time &now, suspect_actions &actions);
    void denyOwnReservation(std::size_t index, suspect_actions &actions);
    // Marks the own reservations that every peer has granted and that wait for no running hop.
    void markReadyReservations(suspect_actions &actions);
    // Grants the peers' reservations that wait for no running hop.
    void grantPeerReservations(suspect_actions &actions);
    void expirePeerReservations(const suspect_time &now);
    void enforceLimit();

    crash_suspects_settings m_settings;
    std::set<std::string> m_peers;
    std::map<std::string, suspect> m_suspects;        // by fingerprint
    std::map<std::string, unix_millis> m_quarantined; // fingerprint to the start of its quarantine
    // Hops that this router has sent, by endpoint and fingerprint.
    std::map<std::string, std::multimap<std::string, running_hop>> m_runningHops;
    std::vector<own_reservation> m_ownReservations;
    std::vector<peer_reservation> m_peerReservations;
    std::uint64_t m_nextTicket = 1;
};

} // namespace fescuedeck

#endif
