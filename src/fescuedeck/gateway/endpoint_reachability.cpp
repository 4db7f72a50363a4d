#include "fescuedeck/gateway/endpoint_reachability.h"

#include <algorithm>
#include <tuple>

#include "fescuedeck/base/hash.h"

namespace fescuedeck {
namespace {

// The times of the last probes are dropped beyond this size, so that entries of endpoints that have
// left do not accumulate.
constexpr std::size_t maxProbeTimes = 4096;

} // namespace

endpoint_reachability::endpoint_reachability(known_fn known, std::uint64_t seed,
                                             endpoint_reachability_settings settings)
    : m_known(std::move(known))
    , m_seed(seed)
    , m_settings(settings)
{
}

void endpoint_reachability::enter(link_state state, time_point now)
{
    if (m_state != link_state::Connected && state == link_state::Connected)
        m_lastCheckAt = now;
    m_state = state;
    m_stateSince = now;
}

void endpoint_reachability::beginAttempt(std::uint64_t number, const std::string &endpoint,
                                         time_point now)
{
    m_open[number] = { endpoint, now };
}

bool endpoint_reachability::isEvidence(const open_attempt &attempt) const
{
    return attempt.startedAt > m_lastConnectedAt;
}

void endpoint_reachability::endAttempt(std::uint64_t number, connection_outcome outcome,
                                       const loop_time &time)
{
    const auto found = m_open.find(number);
    if (found == m_open.end())
        return;
    const open_attempt attempt = found->second;
    m_open.erase(found);
    if (outcome != connection_outcome::Connected) {
        const bool hasFailed = outcome == connection_outcome::Failed
                               || time.handledUntil - attempt.startedAt >= m_settings.slowAttempt;
        if (hasFailed && isEvidence(attempt))
            recordFailure(attempt.endpoint);
        return;
    }
    m_lastConnectedAt = time.now;
    m_failed.clear();
    m_failedAtCheck = 0;
    m_probes.clear();
    if (m_state != link_state::Connected)
        enter(link_state::Connected, time.now);
}

void endpoint_reachability::recordFailure(const std::string &endpoint)
{
    m_failed.insert(endpoint);
    m_probes.erase(endpoint);
}

void endpoint_reachability::requestCheck(time_point now)
{
    if (m_state == link_state::Connected && now - m_lastCheckAt >= m_settings.checkInterval) {
        m_probesOfCheck = 0;
        enter(link_state::Checking, now);
    }
}

bool endpoint_reachability::isDoubtful(const loop_time &time) const
{
    const bool isSlow = std::any_of(m_open.begin(), m_open.end(), [&](const auto &entry) {
        return isEvidence(entry.second)
               && time.handledUntil - entry.second.startedAt >= m_settings.slowAttempt;
    });
    // A second endpoint that fails after a check is evidence that the check did not have.
    const bool isNewEvidence
            = m_failed.size() >= m_settings.minTried && m_failed.size() > m_failedAtCheck;
    const bool isDue = time.now - m_lastCheckAt >= m_settings.checkInterval;
    return isNewEvidence || (isDue && (isSlow || m_failed.size() > m_failedAtCheck));
}

void endpoint_reachability::expireAttempts(time_point handledUntil)
{
    for (const auto &[number, attempt] : m_open) {
        const bool isLate = handledUntil - attempt.startedAt >= m_settings.attemptLimit;
        if (isLate && isEvidence(attempt))
            recordFailure(attempt.endpoint);
    }
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        const bool isLate = handledUntil - it->second >= m_settings.attemptLimit;
        if (isLate)
            m_failed.insert(it->first);
        it = isLate ? m_probes.erase(it) : std::next(it);
    }
}

std::vector<std::string> endpoint_reachability::probesDue(const loop_time &time)
{
    expireAttempts(time.handledUntil);
    if (m_state == link_state::Connected && isDoubtful(time)) {
        m_probesOfCheck = 0;
        enter(link_state::Checking, time.now);
    }
    if (m_state == link_state::Connected)
        return {};
    return startStep(time);
}

std::vector<std::string> endpoint_reachability::startStep(const loop_time &time)
{
    const time_point now = time.now;
    const bool isChecking = m_state == link_state::Checking;
    const bool isFirst = isChecking && m_probesOfCheck == 0;
    const bool isAnswered = isChecking && m_probes.empty();
    const duration interval = isChecking ? m_settings.stepInterval : m_settings.checkInterval;
    if (!isFirst && !isAnswered && now - m_lastStepAt < interval)
        return {};
    const std::vector<probe_candidate> known = m_known();
    std::size_t count = m_settings.probesPerStep;
    if (isChecking)
        count = std::min(count, m_settings.probesPerCheck - m_probesOfCheck);
    std::vector<std::string> probes = chooseProbes(known, count, now);
    m_probesOfCheck += probes.size();
    if (isChecking && probes.empty() && m_probes.empty() && !awaitsAttempt(time.handledUntil))
        conclude(known.size(), now);
    if (!probes.empty())
        m_lastStepAt = now;
    return probes;
}

// Attempts that begin later do not delay the conclusion, because requests begin new ones all the
// time.
bool endpoint_reachability::awaitsAttempt(time_point handledUntil) const
{
    const time_point latestStart = std::max(m_stateSince, m_lastStepAt);
    return std::any_of(m_open.begin(), m_open.end(), [&](const auto &entry) {
        const open_attempt &attempt = entry.second;
        return isEvidence(attempt) && attempt.startedAt <= latestStart
               && handledUntil - attempt.startedAt < m_settings.attemptLimit
               && m_failed.count(attempt.endpoint) == 0;
    });
}

void endpoint_reachability::conclude(std::size_t knownEndpoints, time_point now)
{
    const std::size_t needed = std::min(m_settings.minTried, knownEndpoints);
    const bool isIsolated = needed > 0 && m_failed.size() >= needed;
    m_lastCheckAt = now;
    m_failedAtCheck = m_failed.size();
    enter(isIsolated ? link_state::Isolated : link_state::Connected, now);
}

// Endpoints that have failed, or that an attempt is under way to. A check leaves them out.
std::set<std::string> endpoint_reachability::triedEndpoints() const
{
    std::set<std::string> tried;
    if (m_state == link_state::Checking)
        tried = m_failed;
    for (const auto &[id, startedAt] : m_probes)
        tried.insert(id);
    for (const auto &[number, attempt] : m_open) {
        if (isEvidence(attempt) && m_state == link_state::Checking)
            tried.insert(attempt.endpoint);
    }
    return tried;
}

// Spreads the probes over failure domains and services. While isolated, the endpoints come first
// that were probed longest ago.
std::vector<std::string>
endpoint_reachability::chooseProbes(const std::vector<probe_candidate> &known, std::size_t count,
                                    time_point now)
{
    if (m_lastProbeAt.size() > maxProbeTimes)
        m_lastProbeAt.clear();
    std::vector<std::string> chosen;
    const std::set<std::string> tried = triedEndpoints();
    std::map<std::string, int> domains;
    std::map<std::string, int> services;
    for (const probe_candidate &candidate : known) {
        const int attempts = tried.count(candidate.id) > 0 ? 1 : 0;
        domains[candidate.failureDomain] += attempts;
        services[candidate.service] += attempts;
    }
    while (chosen.size() < count) {
        const probe_candidate *best = nullptr;
        std::tuple<bool, int, time_point, std::uint64_t> bestRank;
        for (const probe_candidate &candidate : known) {
            if (tried.count(candidate.id) > 0 || m_probes.count(candidate.id) > 0)
                continue;
            const auto last = m_lastProbeAt.find(candidate.id);
            const std::tuple rank{ candidate.isLost,
                                   domains[candidate.failureDomain] + services[candidate.service],
                                   last == m_lastProbeAt.end() ? time_point{} : last->second,
                                   stableHash(candidate.id, m_seed) };
            if (best == nullptr || rank < bestRank) {
                best = &candidate;
                bestRank = rank;
            }
        }
        if (best == nullptr)
            return chosen;
        chosen.push_back(best->id);
        ++domains[best->failureDomain];
        ++services[best->service];
        m_probes[best->id] = now;
        m_lastProbeAt[best->id] = now;
    }
    return chosen;
}

} // namespace fescuedeck
