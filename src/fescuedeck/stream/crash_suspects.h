// Finds the requests that crash endpoints and keeps them from running again (section 8).
//
// Use one object for each router. A request is known by its fingerprint. Every request whose hop
// was running on an endpoint when it crashed becomes a suspect with equal evidence. A suspect's
// hops run alone on their endpoints: the router reserves the endpoint with every live peer first.
// So the second crash of a crashing request identifies it and it is quarantined, while the
// requests that only shared the first endpoint with it pass.
//
// Events in, actions out; no sockets, threads or clocks. Not thread-safe.
//
// A reservation that conflicts with another one is denied at once; one that only meets running hops
// waits for them. Running hops wait for nothing, so reservations cannot deadlock.
//
// Limits: a copy of a crashing request that is started before its router hears of the first crash
// is not held back, and a first crash is unknown if its router is killed before it announces it.
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

// One request was running on one endpoint when it crashed.
struct crash_evidence
{
    std::string fingerprint;
    std::string endpoint, incarnation; // together they name the crash
    unix_millis startedAt{ 0 };        // of the hop
    unix_millis crashedAt{ 0 };
    int position = 0; // of the token that the hop was to produce, as in hop_identity
    bool ranAlone = false;
    bool isPositionPassed = false; // the request has produced the next token since
    bool isCleared = false;        // the request has finished since
};

enum class run_permission { Run, RunAlone, Rejected };

struct quarantine_entry
{
    std::string fingerprint;
    unix_millis since{ 0 };
};

// Reservations follow the steady clock. The age of evidence follows the wall clock, because it is
// compared between routers.
struct suspect_time
{
    time_point steady;
    unix_millis wall{ 0 };
};

struct crash_suspects_settings
{
    std::size_t maxFingerprints = 4096; // the oldest are dropped
    unix_millis suspectExpiry = std::chrono::minutes(10);
    unix_millis quarantineExpiry = std::chrono::hours(24);
    // A reservation that is not released ends after this time. It must exceed the longest step
    // deadline.
    duration reservationTimeout = std::chrono::seconds(30);
    // A lost peer's hop may run on after it. Within this time a crash is still attributed to it.
    duration lostPeerReservationTimeout = std::chrono::seconds(2);
};

// Actions.
// Send to every peer.
struct announce_evidence
{
    std::vector<crash_evidence> evidence;
};
// Send to every live peer; each answers with an exclusive_run_reply.
struct request_exclusive_run
{
    std::string fingerprint, endpoint;
    std::uint64_t ticket = 0;
};
// Send to the peer that asked.
struct exclusive_run_reply
{
    std::string peer;
    std::uint64_t ticket = 0;
    bool isGranted = false;
    std::vector<crash_evidence> evidence; // about the fingerprint
};
// The suspect's hop may be sent; check mayStartHop again right before.
struct exclusive_run_ready
{
    std::string fingerprint, endpoint;
};
// Ask again after a random delay.
struct exclusive_run_denied
{
    std::string fingerprint, endpoint;
};
// Send to every peer before the hop, so that a crash is known even if this router is killed.
struct announce_exclusive_run
{
    std::uint64_t ticket = 0;
    unix_millis startedAt{ 0 };
    int position = 0;
};
// Send to every peer.
struct release_exclusive_run
{
    std::uint64_t ticket = 0;
};
// Tell every peer at once and append a quarantine record.
struct publish_quarantine
{
    std::string fingerprint;
    int crashes = 0;
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

    // Peers whose digests are current. An exclusive run needs the consent of each.
    // A peer's name must differ between its incarnations.
    suspect_actions peersChanged(std::set<std::string> livePeers, const suspect_time &now);

    run_permission permissionFor(const std::string &fingerprint, const suspect_time &now) const;
    bool mustRunAlone(const std::string &fingerprint, const suspect_time &now) const;
    // Endpoints that the request may have crashed; routes must avoid them.
    std::set<std::string> crashedEndpoints(const std::string &fingerprint) const;
    // False if the request is quarantined, if it is a suspect without a reservation, or if the
    // endpoint is reserved for another one. Check right before a hop is sent.
    bool mayStartHop(const std::string &fingerprint, const std::string &endpoint,
                     const suspect_time &now) const;
    // Perform the actions before the hop is sent.
    suspect_actions hopStarted(const std::string &fingerprint, const std::string &endpoint,
                               int position, const suspect_time &now);
    // The hop was answered, has failed or will not be sent. Releases its reservation. Report a
    // crash of the endpoint first. A caller that leaves does not end its hop: the endpoint may
    // still run it and crash.
    suspect_actions hopEnded(const std::string &fingerprint, const std::string &endpoint);
    // A suspect that gets past the position of its crash need not run alone any longer. Its
    // evidence stays until it finishes. After a retry that is the second token: the first one
    // comes from a prefill, which may not take the path that crashed.
    suspect_actions tokenProduced(const std::string &fingerprint, int position);
    // The request has finished: it is no suspect any longer.
    suspect_actions finished(const std::string &fingerprint);
    // Call for every crash that the router sees, whether or not it had work there, and before the
    // caller of any of its requests is answered.
    suspect_actions endpointCrashed(const std::string &endpoint, const std::string &incarnation,
                                    const suspect_time &now);

    // Reserves the endpoint for one hop of a suspect. Ends with exclusive_run_ready or
    // exclusive_run_denied.
    suspect_actions requestExclusiveRun(const std::string &fingerprint, const std::string &endpoint,
                                        const suspect_time &now);
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

    // Evidence from a peer's announcement, or all of it when a peer connects.
    suspect_actions evidenceLearned(const std::vector<crash_evidence> &evidence,
                                    const suspect_time &now);
    // From a peer's digest or the log.
    void quarantineLearned(const quarantine_entry &entry);
    std::vector<crash_evidence> evidence() const;
    std::vector<quarantine_entry> quarantined() const;

    // Drops what is older than the settings allow. Call every few seconds.
    suspect_actions expire(const suspect_time &now);
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
    struct own_reservation // reservation by this router
    {
        std::string fingerprint, endpoint;
        std::uint64_t ticket = 0;
        time_point requestedAt;
        std::set<std::string> waitingFor;
        bool isReady = false;
    };
    struct peer_reservation // reservation by a peer
    {
        std::string peer, fingerprint, endpoint;
        std::uint64_t ticket = 0;
        time_point expiresAt;
        bool isGranted = false;
        std::optional<running_hop> hop; // once it has started
        std::string crashedIncarnation; // of the endpoint, during the reservation
        unix_millis crashedAt{ 0 };
    };

    bool hasUnresolvedEvidence(const suspect &entry) const;
    bool hasRunningHop(const std::string &endpoint) const;
    bool isRunningAnywhere(const std::string &fingerprint) const;
    bool isReserved(const std::string &endpoint, const suspect_time &now) const;
    bool hasConflict(const std::string &fingerprint, const std::string &endpoint,
                     const suspect_time &now) const;
    bool isSoleCommonSuspect(const std::string &fingerprint, const crash_id &first,
                             const crash_id &second) const;
    bool isSoleSuspect(const crash_evidence &evidence) const;
    bool proves(const std::string &fingerprint, const crash_evidence &first,
                const crash_evidence &second) const;
    int provenCrashes(const std::string &fingerprint) const;
    static std::vector<crash_evidence> crashEvidence(const peer_reservation &reservation);
    std::vector<crash_evidence> evidenceOf(const std::string &fingerprint) const;
    bool hasReservation(const std::string &fingerprint, const std::string &endpoint,
                        const suspect_time &now) const;
    suspect_actions recordEvidence(const std::vector<crash_evidence> &found,
                                   const suspect_time &now);
    void addEvidence(const crash_evidence &evidence, const suspect_time &now);
    void quarantineProven(const suspect_time &now, suspect_actions &actions);
    void denyOwnReservation(std::size_t index, suspect_actions &actions);
    void markReadyReservations(suspect_actions &actions);
    void grantPeerReservations(suspect_actions &actions);
    void expirePeerReservations(const suspect_time &now);
    void enforceLimit();

    crash_suspects_settings m_settings;
    std::set<std::string> m_peers;
    std::map<std::string, suspect> m_suspects;
    std::map<std::string, unix_millis> m_quarantined; // since when
    // By endpoint and fingerprint.
    std::map<std::string, std::multimap<std::string, running_hop>> m_runningHops;
    std::vector<own_reservation> m_ownReservations;
    std::vector<peer_reservation> m_peerReservations;
    std::uint64_t m_nextTicket = 1;
};

} // namespace fescuedeck

#endif
