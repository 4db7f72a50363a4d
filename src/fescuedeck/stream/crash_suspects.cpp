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
    for (peer_hold &hold : m_holds) {
        if (m_peers.count(hold.peer) == 0)
            hold.until = std::min(hold.until, now.steady + m_settings.lostPeerHoldTerm);
    }
    for (own_run &run : m_ownRuns) {
        for (auto peer = run.waitingFor.begin(); peer != run.waitingFor.end();)
            peer = m_peers.count(*peer) > 0 ? std::next(peer) : run.waitingFor.erase(peer);
    }
    makeReady(actions);
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
    return hasOpenEvidence(found->second);
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
    // A second crash on the same endpoint could also be the endpoint's own fault and would prove
    // nothing.
    if (crashedEndpoints(fingerprint).count(endpoint) > 0)
        return false;
    switch (permissionFor(fingerprint, now)) {
    case run_permission::Rejected:
        return false;
    case run_permission::RunAlone:
        return hasReservation(fingerprint, endpoint, now) && !isRunning(endpoint);
    case run_permission::Run:
        break;
    }
    return !isReserved(endpoint, now);
}

suspect_actions crash_suspects::hopStarted(const std::string &fingerprint,
                                           const std::string &endpoint, int position,
                                           const suspect_time &now)
{
    m_running[endpoint].emplace(fingerprint, running_hop{ now.wall, position });
    for (const own_run &run : m_ownRuns) {
        if (run.isReady && run.fingerprint == fingerprint && run.endpoint == endpoint)
            return { announce_lone_run{ run.ticket, now.wall, position } };
    }
    return {};
}

suspect_actions crash_suspects::hopEnded(const std::string &fingerprint,
                                         const std::string &endpoint)
{
    suspect_actions actions;
    const auto hops = m_running.find(endpoint);
    if (hops != m_running.end()) {
        const auto hop = hops->second.find(fingerprint);
        if (hop != hops->second.end())
            hops->second.erase(hop);
        if (hops->second.empty())
            m_running.erase(hops);
    }
    for (auto run = m_ownRuns.begin(); run != m_ownRuns.end(); ++run) {
        if (run->fingerprint == fingerprint && run->endpoint == endpoint) {
            actions.push_back(release_lone_run{ run->ticket });
            m_ownRuns.erase(run);
            break;
        }
    }
    makeReady(actions);
    grantHolds(actions);
    return actions;
}

suspect_actions crash_suspects::tokenProduced(const std::string &fingerprint, int position)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end())
        return {};
    bool hasPassed = false;
    for (auto &crash : found->second.crashes) {
        const bool isPast = position > crash.second.position && !crash.second.isPassed;
        crash.second.isPassed = crash.second.isPassed || isPast;
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
    const auto hops = m_running.find(endpoint);
    if (hops != m_running.end()) {
        for (const auto &[fingerprint, hop] : hops->second) {
            const bool ranAlone = hasReservation(fingerprint, endpoint, now);
            found.push_back({ fingerprint, endpoint, incarnation, hop.startedAt, now.wall,
                              hop.position, ranAlone });
        }
    }
    // The peer that holds the endpoint may not live to report this.
    for (peer_hold &hold : m_holds) {
        if (hold.endpoint != endpoint || now.steady >= hold.until)
            continue;
        hold.crashedIncarnation = incarnation;
        hold.crashedAt = now.wall;
        const auto held = crashEvidence(hold);
        found.insert(found.end(), held.begin(), held.end());
    }
    return conclude(found, now);
}

suspect_actions crash_suspects::askLoneRun(const std::string &fingerprint,
                                           const std::string &endpoint, const suspect_time &now)
{
    if (crashedEndpoints(fingerprint).count(endpoint) > 0
        || hasConflict(fingerprint, endpoint, now))
        return { lone_run_denied{ fingerprint, endpoint } };
    const std::uint64_t ticket = m_nextTicket++;
    m_ownRuns.push_back({ fingerprint, endpoint, ticket, now.steady, m_peers, false });
    suspect_actions actions{ ask_lone_run{ fingerprint, endpoint, ticket } };
    makeReady(actions);
    return actions;
}

suspect_actions crash_suspects::loneRunAsked(const std::string &peer,
                                             const std::string &fingerprint,
                                             const std::string &endpoint, std::uint64_t ticket,
                                             const suspect_time &now)
{
    expireHolds(now);
    const bool isQuarantined = permissionFor(fingerprint, now) == run_permission::Rejected;
    if (isQuarantined || hasConflict(fingerprint, endpoint, now))
        return { lone_run_reply{ peer, ticket, false, evidenceOf(fingerprint) } };
    peer_hold hold;
    hold.peer = peer;
    hold.fingerprint = fingerprint;
    hold.endpoint = endpoint;
    hold.ticket = ticket;
    hold.until = now.steady + m_settings.holdTerm;
    m_holds.push_back(std::move(hold));
    suspect_actions actions;
    grantHolds(actions);
    return actions;
}

suspect_actions crash_suspects::loneRunReplied(const std::string &peer, std::uint64_t ticket,
                                               bool isGranted,
                                               const std::vector<crash_evidence> &evidence,
                                               const suspect_time &now)
{
    suspect_actions actions = evidenceLearned(evidence, now);
    for (std::size_t i = 0; i < m_ownRuns.size(); ++i) {
        if (m_ownRuns[i].ticket != ticket || m_ownRuns[i].isReady)
            continue;
        if (isGranted)
            m_ownRuns[i].waitingFor.erase(peer);
        else
            denyOwnRun(i, actions);
        break;
    }
    makeReady(actions);
    return actions;
}

suspect_actions crash_suspects::loneRunStarted(const std::string &peer, std::uint64_t ticket,
                                               unix_millis startedAt, int position,
                                               const suspect_time &now)
{
    for (peer_hold &hold : m_holds) {
        if (hold.peer != peer || hold.ticket != ticket)
            continue;
        hold.hop = running_hop{ startedAt, position };
        return conclude(crashEvidence(hold), now);
    }
    return {};
}

void crash_suspects::loneRunReleased(const std::string &peer, std::uint64_t ticket)
{
    const auto isReleased
            = [&](const peer_hold &hold) { return hold.peer == peer && hold.ticket == ticket; };
    m_holds.erase(std::remove_if(m_holds.begin(), m_holds.end(), isReleased), m_holds.end());
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
    expireHolds(now);
    suspect_actions actions;
    for (std::size_t i = m_ownRuns.size(); i-- > 0;) {
        if (now.steady >= m_ownRuns[i].askedAt + m_settings.holdTerm)
            denyOwnRun(i, actions);
    }
    return actions;
}

void crash_suspects::expireHolds(const suspect_time &now)
{
    const auto isOver = [&](const peer_hold &hold) { return now.steady >= hold.until; };
    m_holds.erase(std::remove_if(m_holds.begin(), m_holds.end(), isOver), m_holds.end());
}

bool crash_suspects::hasOpenEvidence(const suspect &entry) const
{
    return std::any_of(entry.crashes.begin(), entry.crashes.end(), [](const auto &crash) {
        return !crash.second.isCleared && !crash.second.isPassed;
    });
}

bool crash_suspects::isRunning(const std::string &endpoint) const
{
    return m_running.count(endpoint) > 0;
}

bool crash_suspects::isRunningAnywhere(const std::string &fingerprint) const
{
    return std::any_of(m_running.begin(), m_running.end(),
                       [&](const auto &hops) { return hops.second.count(fingerprint) > 0; });
}

bool crash_suspects::isReserved(const std::string &endpoint, const suspect_time &now) const
{
    const auto isOwn = [&](const own_run &run) { return run.endpoint == endpoint; };
    const auto isHeld = [&](const peer_hold &hold) {
        return hold.endpoint == endpoint && now.steady < hold.until;
    };
    return std::any_of(m_ownRuns.begin(), m_ownRuns.end(), isOwn)
           || std::any_of(m_holds.begin(), m_holds.end(), isHeld);
}

bool crash_suspects::hasReservation(const std::string &fingerprint, const std::string &endpoint,
                                    const suspect_time &now) const
{
    // Half the term leaves the peers' holds in force while the hop runs.
    return std::any_of(m_ownRuns.begin(), m_ownRuns.end(), [&](const own_run &run) {
        return run.isReady && run.fingerprint == fingerprint && run.endpoint == endpoint
               && now.steady < run.askedAt + m_settings.holdTerm / 2;
    });
}

bool crash_suspects::hasConflict(const std::string &fingerprint, const std::string &endpoint,
                                 const suspect_time &now) const
{
    const auto isSameRequest = [&](const auto &run) { return run.fingerprint == fingerprint; };
    const auto isLiveSameRequest
            = [&](const peer_hold &hold) { return isSameRequest(hold) && now.steady < hold.until; };
    return isReserved(endpoint, now) || isRunningAnywhere(fingerprint)
           || std::any_of(m_ownRuns.begin(), m_ownRuns.end(), isSameRequest)
           || std::any_of(m_holds.begin(), m_holds.end(), isLiveSameRequest);
}

bool crash_suspects::isSoleCommonSuspect(const std::string &fingerprint, const crash_id &first,
                                         const crash_id &second) const
{
    const auto wasAt = [](const suspect &entry, const crash_id &id) {
        const auto crash = entry.crashes.find(id);
        return crash != entry.crashes.end() && !crash->second.isCleared;
    };
    return std::none_of(m_suspects.begin(), m_suspects.end(), [&](const auto &other) {
        return other.first != fingerprint && wasAt(other.second, first)
               && wasAt(other.second, second);
    });
}

// A router may learn of a crash only after it has started a lone run on the dead endpoint. That
// run is not to blame if another request has been running there for longer.
bool crash_suspects::wasAlone(const crash_evidence &evidence) const
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
    if (wasAlone(first) || wasAlone(second))
        return true;
    // A request that has passed a lone run since is no more suspect than its new neighbours.
    if (first.isPassed || second.isPassed)
        return false;
    // Hops that were running at the same time may have failed together, for example with their
    // rack, so the second one must have started after the first crash.
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

// Empty unless the hop has started and the endpoint has crashed since.
std::vector<crash_evidence> crash_suspects::crashEvidence(const peer_hold &hold)
{
    if (!hold.hop || hold.crashedIncarnation.empty() || hold.hop->startedAt > hold.crashedAt)
        return {};
    return { { hold.fingerprint, hold.endpoint, hold.crashedIncarnation, hold.hop->startedAt,
               hold.crashedAt, hold.hop->position, true } };
}

suspect_actions crash_suspects::conclude(const std::vector<crash_evidence> &found,
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
        return; // peers keep sending what they have not dropped yet
    suspect &entry = m_suspects[evidence.fingerprint];
    const crash_id id(evidence.endpoint, evidence.incarnation);
    const auto known = entry.crashes.emplace(id, evidence).first;
    known->second.ranAlone = known->second.ranAlone || evidence.ranAlone;
    known->second.isPassed = known->second.isPassed || evidence.isPassed;
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

void crash_suspects::denyOwnRun(std::size_t index, suspect_actions &actions)
{
    const own_run run = m_ownRuns[index];
    m_ownRuns.erase(m_ownRuns.begin() + static_cast<std::ptrdiff_t>(index));
    actions.push_back(release_lone_run{ run.ticket });
    actions.push_back(lone_run_denied{ run.fingerprint, run.endpoint });
}

void crash_suspects::makeReady(suspect_actions &actions)
{
    for (own_run &run : m_ownRuns) {
        if (run.isReady || !run.waitingFor.empty() || isRunning(run.endpoint))
            continue;
        run.isReady = true;
        actions.push_back(lone_run_ready{ run.fingerprint, run.endpoint });
    }
}

void crash_suspects::grantHolds(suspect_actions &actions)
{
    for (peer_hold &hold : m_holds) {
        if (hold.isGranted || isRunning(hold.endpoint))
            continue;
        hold.isGranted = true;
        actions.push_back(
                lone_run_reply{ hold.peer, hold.ticket, true, evidenceOf(hold.fingerprint) });
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
