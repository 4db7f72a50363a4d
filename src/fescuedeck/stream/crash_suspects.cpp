#include "fescuedeck/stream/crash_suspects.h"

#include <algorithm>

namespace fescuedeck {

crash_suspects::crash_suspects(const crash_suspects_settings &settings)
    : m_settings(settings)
{
}

suspect_actions crash_suspects::peersChanged(std::set<std::string> livePeers,
                                             const suspect_time &now)
{
    suspect_actions actions;
    m_peers = std::move(livePeers);
    for (peer_reservation &reservation : m_peerReservations) {
        if (m_peers.count(reservation.peer) == 0)
            reservation.expiresAt = std::min(reservation.expiresAt,
                                             now.steady + m_settings.lostPeerReservationTimeout);
    }
    for (own_reservation &reservation : m_ownReservations) {
        for (auto peer = reservation.waitingFor.begin(); peer != reservation.waitingFor.end();)
            peer = m_peers.count(*peer) > 0 ? std::next(peer) : reservation.waitingFor.erase(peer);
    }
    markReadyReservations(actions);
    return actions;
}

run_permission crash_suspects::permissionFor(const std::string &fingerprint,
                                             const suspect_time &now) const
{
    const auto quarantine = m_quarantined.find(fingerprint);
    if (quarantine != m_quarantined.end()
        && now.wall < quarantine->second + m_settings.quarantineExpiry)
        return run_permission::Rejected;
    return mustRunAlone(fingerprint, now) ? run_permission::RunAlone : run_permission::Run;
}

bool crash_suspects::mustRunAlone(const std::string &fingerprint, const suspect_time &now) const
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end()
        || now.wall >= found->second.newestCrash + m_settings.suspectExpiry)
        return false;
    return hasUnresolvedEvidence(found->second);
}

std::set<std::string> crash_suspects::crashedEndpoints(const std::string &fingerprint) const
{
    std::set<std::string> endpoints;
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end())
        return endpoints;
    for (const auto &crash : found->second.crashes) {
        if (!crash.second.isCleared)
            endpoints.insert(crash.second.endpoint);
    }
    return endpoints;
}

bool crash_suspects::mayStartHop(const std::string &fingerprint, const std::string &endpoint,
                                 const suspect_time &now) const
{
    // A second crash of the same endpoint would prove nothing, because the endpoint itself may be
    // faulty.
    if (crashedEndpoints(fingerprint).count(endpoint) > 0)
        return false;
    switch (permissionFor(fingerprint, now)) {
    case run_permission::Rejected:
        return false;
    case run_permission::RunAlone:
        return hasReservation(fingerprint, endpoint, now) && !hasRunningHop(endpoint);
    case run_permission::Run:
        break;
    }
    return !isReserved(endpoint, now);
}

suspect_actions crash_suspects::hopStarted(const std::string &fingerprint,
                                           const std::string &endpoint, int position,
                                           const suspect_time &now)
{
    m_runningHops[endpoint].emplace(fingerprint, running_hop{ now.wall, position });
    for (const own_reservation &reservation : m_ownReservations) {
        if (reservation.isReady && reservation.fingerprint == fingerprint
            && reservation.endpoint == endpoint)
            return { announce_exclusive_run{ reservation.ticket, now.wall, position } };
    }
    return {};
}

suspect_actions crash_suspects::hopEnded(const std::string &fingerprint,
                                         const std::string &endpoint)
{
    suspect_actions actions;
    const auto hops = m_runningHops.find(endpoint);
    if (hops != m_runningHops.end()) {
        const auto hop = hops->second.find(fingerprint);
        if (hop != hops->second.end())
            hops->second.erase(hop);
        if (hops->second.empty())
            m_runningHops.erase(hops);
    }
    for (auto reservation = m_ownReservations.begin(); reservation != m_ownReservations.end();
         ++reservation) {
        if (reservation->fingerprint == fingerprint && reservation->endpoint == endpoint) {
            actions.push_back(release_exclusive_run{ reservation->ticket });
            m_ownReservations.erase(reservation);
            break;
        }
    }
    markReadyReservations(actions);
    grantPeerReservations(actions);
    return actions;
}

suspect_actions crash_suspects::tokenProduced(const std::string &fingerprint, int position)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end())
        return {};
    bool hasPassed = false;
    for (auto &crash : found->second.crashes) {
        const bool isPast = position > crash.second.position && !crash.second.isPositionPassed;
        crash.second.isPositionPassed = crash.second.isPositionPassed || isPast;
        hasPassed = hasPassed || isPast;
    }
    if (!hasPassed)
        return {};
    return { announce_evidence{ evidenceOf(fingerprint) } };
}

suspect_actions crash_suspects::finished(const std::string &fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || m_quarantined.count(fingerprint) > 0)
        return {};
    for (auto &crash : found->second.crashes)
        crash.second.isCleared = true;
    return { announce_evidence{ evidenceOf(fingerprint) } };
}

suspect_actions crash_suspects::endpointCrashed(const std::string &endpoint,
                                                const std::string &incarnation,
                                                const suspect_time &now)
{
    std::vector<crash_evidence> found;
    const auto hops = m_runningHops.find(endpoint);
    if (hops != m_runningHops.end()) {
        for (const auto &[fingerprint, hop] : hops->second) {
            const bool ranAlone = hasReservation(fingerprint, endpoint, now);
            found.push_back({ fingerprint, endpoint, incarnation, hop.startedAt, now.wall,
                              hop.position, ranAlone });
        }
    }
    // A peer that has reserved the endpoint may be killed before it reports the crash.
    for (peer_reservation &reservation : m_peerReservations) {
        if (reservation.endpoint != endpoint || now.steady >= reservation.expiresAt)
            continue;
        reservation.crashedIncarnation = incarnation;
        reservation.crashedAt = now.wall;
        const auto peerRunEvidence = crashEvidence(reservation);
        found.insert(found.end(), peerRunEvidence.begin(), peerRunEvidence.end());
    }
    return recordEvidence(found, now);
}

suspect_actions crash_suspects::requestExclusiveRun(const std::string &fingerprint,
                                                    const std::string &endpoint,
                                                    const suspect_time &now)
{
    if (crashedEndpoints(fingerprint).count(endpoint) > 0
        || hasConflict(fingerprint, endpoint, now))
        return { exclusive_run_denied{ fingerprint, endpoint } };
    const std::uint64_t ticket = m_nextTicket++;
    m_ownReservations.push_back({ fingerprint, endpoint, ticket, now.steady, m_peers, false });
    suspect_actions actions{ request_exclusive_run{ fingerprint, endpoint, ticket } };
    markReadyReservations(actions);
    return actions;
}

suspect_actions crash_suspects::exclusiveRunRequested(const std::string &peer,
                                                      const std::string &fingerprint,
                                                      const std::string &endpoint,
                                                      std::uint64_t ticket, const suspect_time &now)
{
    expirePeerReservations(now);
    const bool isQuarantined = permissionFor(fingerprint, now) == run_permission::Rejected;
    if (isQuarantined || hasConflict(fingerprint, endpoint, now))
        return { exclusive_run_reply{ peer, ticket, false, evidenceOf(fingerprint) } };
    peer_reservation reservation;
    reservation.peer = peer;
    reservation.fingerprint = fingerprint;
    reservation.endpoint = endpoint;
    reservation.ticket = ticket;
    reservation.expiresAt = now.steady + m_settings.reservationTimeout;
    m_peerReservations.push_back(std::move(reservation));
    suspect_actions actions;
    grantPeerReservations(actions);
    return actions;
}

suspect_actions crash_suspects::exclusiveRunReplied(const std::string &peer, std::uint64_t ticket,
                                                    bool isGranted,
                                                    const std::vector<crash_evidence> &evidence,
                                                    const suspect_time &now)
{
    suspect_actions actions = evidenceLearned(evidence, now);
    for (std::size_t i = 0; i < m_ownReservations.size(); ++i) {
        if (m_ownReservations[i].ticket != ticket || m_ownReservations[i].isReady)
            continue;
        if (isGranted)
            m_ownReservations[i].waitingFor.erase(peer);
        else
            denyOwnReservation(i, actions);
        break;
    }
    markReadyReservations(actions);
    return actions;
}

suspect_actions crash_suspects::exclusiveRunStarted(const std::string &peer, std::uint64_t ticket,
                                                    unix_millis startedAt, int position,
                                                    const suspect_time &now)
{
    for (peer_reservation &reservation : m_peerReservations) {
        if (reservation.peer != peer || reservation.ticket != ticket)
            continue;
        reservation.hop = running_hop{ startedAt, position };
        return recordEvidence(crashEvidence(reservation), now);
    }
    return {};
}

void crash_suspects::exclusiveRunReleased(const std::string &peer, std::uint64_t ticket)
{
    const auto isReleased = [&](const peer_reservation &reservation) {
        return reservation.peer == peer && reservation.ticket == ticket;
    };
    m_peerReservations.erase(
            std::remove_if(m_peerReservations.begin(), m_peerReservations.end(), isReleased),
            m_peerReservations.end());
}

suspect_actions crash_suspects::evidenceLearned(const std::vector<crash_evidence> &evidence,
                                                const suspect_time &now)
{
    suspect_actions actions;
    for (const crash_evidence &item : evidence)
        addEvidence(item, now);
    quarantineProven(now, actions);
    return actions;
}

void crash_suspects::quarantineLearned(const quarantine_entry &entry)
{
    m_quarantined.emplace(entry.fingerprint, entry.since);
    enforceLimit();
}

std::vector<crash_evidence> crash_suspects::evidence() const
{
    std::vector<crash_evidence> all;
    for (const auto &entry : m_suspects) {
        for (const auto &crash : entry.second.crashes)
            all.push_back(crash.second);
    }
    return all;
}

std::vector<quarantine_entry> crash_suspects::quarantined() const
{
    std::vector<quarantine_entry> all;
    all.reserve(m_quarantined.size());
    for (const auto &entry : m_quarantined)
        all.push_back({ entry.first, entry.second });
    return all;
}

suspect_actions crash_suspects::expire(const suspect_time &now)
{
    for (auto entry = m_suspects.begin(); entry != m_suspects.end();) {
        const bool isOld = now.wall >= entry->second.newestCrash + m_settings.suspectExpiry;
        entry = isOld ? m_suspects.erase(entry) : std::next(entry);
    }
    for (auto entry = m_quarantined.begin(); entry != m_quarantined.end();) {
        const bool isOld = now.wall >= entry->second + m_settings.quarantineExpiry;
        entry = isOld ? m_quarantined.erase(entry) : std::next(entry);
    }
    expirePeerReservations(now);
    suspect_actions actions;
    for (std::size_t i = m_ownReservations.size(); i-- > 0;) {
        if (now.steady >= m_ownReservations[i].requestedAt + m_settings.reservationTimeout)
            denyOwnReservation(i, actions);
    }
    return actions;
}

void crash_suspects::expirePeerReservations(const suspect_time &now)
{
    const auto isExpired = [&](const peer_reservation &reservation) {
        return now.steady >= reservation.expiresAt;
    };
    m_peerReservations.erase(
            std::remove_if(m_peerReservations.begin(), m_peerReservations.end(), isExpired),
            m_peerReservations.end());
}

bool crash_suspects::hasUnresolvedEvidence(const suspect &entry) const
{
    return std::any_of(entry.crashes.begin(), entry.crashes.end(), [](const auto &crash) {
        return !crash.second.isCleared && !crash.second.isPositionPassed;
    });
}

bool crash_suspects::hasRunningHop(const std::string &endpoint) const
{
    return m_runningHops.count(endpoint) > 0;
}

bool crash_suspects::isRunningAnywhere(const std::string &fingerprint) const
{
    return std::any_of(m_runningHops.begin(), m_runningHops.end(),
                       [&](const auto &hops) { return hops.second.count(fingerprint) > 0; });
}

bool crash_suspects::isReserved(const std::string &endpoint, const suspect_time &now) const
{
    const auto isReservedHere
            = [&](const own_reservation &reservation) { return reservation.endpoint == endpoint; };
    const auto isReservedByPeer = [&](const peer_reservation &reservation) {
        return reservation.endpoint == endpoint && now.steady < reservation.expiresAt;
    };
    return std::any_of(m_ownReservations.begin(), m_ownReservations.end(), isReservedHere)
           || std::any_of(m_peerReservations.begin(), m_peerReservations.end(), isReservedByPeer);
}

bool crash_suspects::hasReservation(const std::string &fingerprint, const std::string &endpoint,
                                    const suspect_time &now) const
{
    // A hop may start only in the first half of the time, so that the reservation does not expire
    // at the peers while the hop runs.
    return std::any_of(m_ownReservations.begin(), m_ownReservations.end(),
                       [&](const own_reservation &reservation) {
                           return reservation.isReady && reservation.fingerprint == fingerprint
                                  && reservation.endpoint == endpoint
                                  && now.steady < reservation.requestedAt
                                                          + m_settings.reservationTimeout / 2;
                       });
}

bool crash_suspects::hasConflict(const std::string &fingerprint, const std::string &endpoint,
                                 const suspect_time &now) const
{
    const auto isSameRequest
            = [&](const auto &reservation) { return reservation.fingerprint == fingerprint; };
    const auto isLiveSameRequest = [&](const peer_reservation &reservation) {
        return isSameRequest(reservation) && now.steady < reservation.expiresAt;
    };
    return isReserved(endpoint, now) || isRunningAnywhere(fingerprint)
           || std::any_of(m_ownReservations.begin(), m_ownReservations.end(), isSameRequest)
           || std::any_of(m_peerReservations.begin(), m_peerReservations.end(), isLiveSameRequest);
}

bool crash_suspects::isSoleCommonSuspect(const std::string &fingerprint, const crash_id &first,
                                         const crash_id &second) const
{
    const auto isSuspectedOf = [](const suspect &entry, const crash_id &id) {
        const auto crash = entry.crashes.find(id);
        return crash != entry.crashes.end() && !crash->second.isCleared;
    };
    return std::none_of(m_suspects.begin(), m_suspects.end(), [&](const auto &other) {
        return other.first != fingerprint && isSuspectedOf(other.second, first)
               && isSuspectedOf(other.second, second);
    });
}

// A router may hear of a crash only after it has started an exclusive run on the crashed endpoint.
// That run is not the cause if another request's hop had started there before.
bool crash_suspects::isSoleSuspect(const crash_evidence &evidence) const
{
    if (!evidence.ranAlone)
        return false;
    const crash_id id(evidence.endpoint, evidence.incarnation);
    return std::none_of(m_suspects.begin(), m_suspects.end(), [&](const auto &other) {
        const auto crash = other.second.crashes.find(id);
        return other.first != evidence.fingerprint && crash != other.second.crashes.end()
               && crash->second.startedAt < evidence.startedAt;
    });
}

bool crash_suspects::proves(const std::string &fingerprint, const crash_evidence &first,
                            const crash_evidence &second) const
{
    if (first.isCleared || second.isCleared || first.endpoint == second.endpoint)
        return false;
    if (isSoleSuspect(first) || isSoleSuspect(second))
        return true;
    // A request that has since passed the position of its crash runs beside other requests again,
    // and a later crash does not point to it more than to them.
    if (first.isPositionPassed || second.isPositionPassed)
        return false;
    // Hops that ran at the same time may have failed for a common reason, for example the failure
    // of their rack. So the second hop must have started after the first crash.
    return second.startedAt >= first.crashedAt
           && isSoleCommonSuspect(fingerprint, { first.endpoint, first.incarnation },
                                  { second.endpoint, second.incarnation });
}

int crash_suspects::provenCrashes(const std::string &fingerprint) const
{
    const suspect &entry = m_suspects.at(fingerprint);
    for (const auto &first : entry.crashes) {
        for (const auto &second : entry.crashes) {
            if (proves(fingerprint, first.second, second.second))
                return static_cast<int>(entry.crashes.size());
        }
    }
    return 0;
}

std::vector<crash_evidence> crash_suspects::evidenceOf(const std::string &fingerprint) const
{
    std::vector<crash_evidence> all;
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end())
        return all;
    for (const auto &crash : found->second.crashes)
        all.push_back(crash.second);
    return all;
}

std::vector<crash_evidence> crash_suspects::crashEvidence(const peer_reservation &reservation)
{
    if (!reservation.hop || reservation.crashedIncarnation.empty()
        || reservation.hop->startedAt > reservation.crashedAt)
        return {};
    return { { reservation.fingerprint, reservation.endpoint, reservation.crashedIncarnation,
               reservation.hop->startedAt, reservation.crashedAt, reservation.hop->position,
               true } };
}

suspect_actions crash_suspects::recordEvidence(const std::vector<crash_evidence> &found,
                                               const suspect_time &now)
{
    if (found.empty())
        return {};
    suspect_actions actions{ announce_evidence{ found } };
    for (const crash_evidence &item : found)
        addEvidence(item, now);
    quarantineProven(now, actions);
    return actions;
}

void crash_suspects::addEvidence(const crash_evidence &evidence, const suspect_time &now)
{
    if (now.wall >= evidence.crashedAt + m_settings.suspectExpiry)
        return; // a peer that has not dropped the evidence yet may send it again
    suspect &entry = m_suspects[evidence.fingerprint];
    const crash_id id(evidence.endpoint, evidence.incarnation);
    const auto known = entry.crashes.emplace(id, evidence).first;
    known->second.ranAlone = known->second.ranAlone || evidence.ranAlone;
    known->second.isPositionPassed = known->second.isPositionPassed || evidence.isPositionPassed;
    known->second.isCleared = known->second.isCleared || evidence.isCleared;
    entry.newestCrash = std::max(entry.newestCrash, evidence.crashedAt);
    enforceLimit();
}

void crash_suspects::quarantineProven(const suspect_time &now, suspect_actions &actions)
{
    for (const auto &entry : m_suspects) {
        const std::string &fingerprint = entry.first;
        if (entry.second.crashes.size() < 2 || m_quarantined.count(fingerprint) > 0)
            continue;
        const int crashes = provenCrashes(fingerprint);
        if (crashes == 0)
            continue;
        m_quarantined.emplace(fingerprint, now.wall);
        actions.push_back(publish_quarantine{ fingerprint, crashes });
    }
}

void crash_suspects::denyOwnReservation(std::size_t index, suspect_actions &actions)
{
    const own_reservation reservation = m_ownReservations[index];
    m_ownReservations.erase(m_ownReservations.begin() + static_cast<std::ptrdiff_t>(index));
    actions.push_back(release_exclusive_run{ reservation.ticket });
    actions.push_back(exclusive_run_denied{ reservation.fingerprint, reservation.endpoint });
}

void crash_suspects::markReadyReservations(suspect_actions &actions)
{
    for (own_reservation &reservation : m_ownReservations) {
        if (reservation.isReady || !reservation.waitingFor.empty()
            || hasRunningHop(reservation.endpoint))
            continue;
        reservation.isReady = true;
        actions.push_back(exclusive_run_ready{ reservation.fingerprint, reservation.endpoint });
    }
}

void crash_suspects::grantPeerReservations(suspect_actions &actions)
{
    for (peer_reservation &reservation : m_peerReservations) {
        if (reservation.isGranted || hasRunningHop(reservation.endpoint))
            continue;
        reservation.isGranted = true;
        actions.push_back(exclusive_run_reply{ reservation.peer, reservation.ticket, true,
                                               evidenceOf(reservation.fingerprint) });
    }
}

void crash_suspects::enforceLimit()
{
    const auto isOlder = [](const auto &a, const auto &b) {
        return a.second.newestCrash < b.second.newestCrash;
    };
    while (size() > m_settings.maxFingerprints && !m_suspects.empty())
        m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), isOlder));
    const auto isEarlier = [](const auto &a, const auto &b) { return a.second < b.second; };
    while (size() > m_settings.maxFingerprints)
        m_quarantined.erase(
                std::min_element(m_quarantined.begin(), m_quarantined.end(), isEarlier));
}

} // namespace fescuedeck
