#include "fescuedeck/fleet/endpoint_state.h"

#include <algorithm>
#include <utility>

namespace fescuedeck {
namespace {

// Number of past incarnations that are remembered. It is enough to recognize late reports of
// endpoints that restart often.
constexpr std::size_t maxPastIncarnations = 8;
// The recent step time is compared with the long-term mean only after this many samples, because a
// mean of few samples is mostly noise.
constexpr int minHistorySamples = 50;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

endpoint_state::endpoint_state(wanted_endpoint wanted, endpoint_settings settings)
    : m_wanted(std::move(wanted))
    , m_settings(settings)
{
}

bool endpoint_state::isUsable() const
{
    return m_phase == endpoint_phase::Serving || m_phase == endpoint_phase::Suspect;
}

bool endpoint_state::acceptIncarnation(const std::string &incarnation)
{
    if (incarnation.empty() || incarnation == m_incarnation)
        return true;
    if (std::find(m_pastIncarnations.begin(), m_pastIncarnations.end(), incarnation)
        != m_pastIncarnations.end())
        return false;
    // If no incarnation was known so far, learning the first one is not a restart.
    const bool restarted = !m_incarnation.empty();
    if (restarted) {
        m_pastIncarnations.push_back(m_incarnation);
        if (m_pastIncarnations.size() > maxPastIncarnations)
            m_pastIncarnations.pop_front();
        m_phase = endpoint_phase::Joining;
        m_failures = 0;
        m_slowSamples = 0;
        m_probeRequested = true;
        m_nextProbe = {};
        m_stepTime.reset();
        m_prefillTime.reset();
        m_longTermStepTime.reset();
        m_iterationTime.reset();
        m_reportedLoad = 0;
        m_assignedSinceReport = 0;
    }
    m_incarnation = incarnation;
    return true;
}

void endpoint_state::recordReport(const endpoint_report &report, time_point now)
{
    if (!acceptIncarnation(report.incarnation))
        return;
    m_reportedLoad = report.running + report.waiting;
    if (report.step.count() > 0)
        m_iterationTime.add(seconds(report.step));
    m_assignedSinceReport = 0;
    if (report.leaving)
        markLeaving(report.incarnation);
    else if (m_phase == endpoint_phase::Joining)
        startServing(now);
}

void endpoint_state::recordSuccess(const std::string &incarnation, const hop_timing &timing,
                                   time_point now)
{
    if (!acceptIncarnation(incarnation))
        return;
    const double perLayer = seconds(timing.elapsed) / std::max(1, m_wanted.layers.size());
    if (timing.tokens <= 1) {
        m_stepTime.add(perLayer);
        m_longTermStepTime.add(perLayer);
        const bool slow = slowdown() > m_settings.slowFactor;
        m_slowSamples = slow ? m_slowSamples + 1 : 0;
    } else {
        m_prefillTime.add(perLayer / timing.tokens);
    }
    m_failures = 0;
    // A call that began before the ejection may succeed after it. That does not end the ejection:
    // the endpoint must first pass a probe.
    if (m_phase == endpoint_phase::Suspect)
        m_phase = endpoint_phase::Serving;
    else if (m_phase == endpoint_phase::Joining)
        startServing(now);
}

void endpoint_state::recordFailure(time_point now)
{
    ++m_failures;
    if (m_phase == endpoint_phase::Serving || m_phase == endpoint_phase::Joining)
        m_phase = endpoint_phase::Suspect;
    if (m_phase == endpoint_phase::Suspect)
        m_probeRequested = true;
    m_nextProbe = std::max(m_nextProbe, now);
}

void endpoint_state::recordTimeout(const hop_timing &timing, time_point now)
{
    const double perLayer = seconds(timing.elapsed) / std::max(1, m_wanted.layers.size());
    if (timing.tokens <= 1)
        m_stepTime.add(perLayer);
    else
        m_prefillTime.add(perLayer / timing.tokens);
    recordFailure(now);
}

duration endpoint_state::hopTimeout(const hop_timing &hop) const
{
    const bool isStep = hop.tokens <= 1;
    const service_time &learned = isStep ? m_stepTime : m_prefillTime;
    const double time = learned.quantile() * m_wanted.layers.size() * std::max(1, hop.tokens);
    const duration minimum = isStep ? m_settings.minStepTimeout : m_settings.minPrefillTimeout;
    return std::max(minimum,
                    duration(static_cast<std::int64_t>(time * m_settings.timeoutFactor * 1e6)));
}

void endpoint_state::markLeaving(const std::string &incarnation)
{
    if (acceptIncarnation(incarnation))
        m_phase = endpoint_phase::Leaving;
}

void endpoint_state::requestProbe()
{
    if (m_phase != endpoint_phase::Leaving && m_phase != endpoint_phase::Ejected)
        m_probeRequested = true;
}

bool endpoint_state::takeProbe(time_point now)
{
    const bool backoffOver = m_phase == endpoint_phase::Ejected && now >= m_ejectedAt + m_backoff;
    if (m_phase == endpoint_phase::Leaving || now < m_nextProbe
        || !(m_probeRequested || backoffOver))
        return false;
    if (m_phase == endpoint_phase::Ejected && !backoffOver)
        return false;
    m_nextProbe = now + m_settings.probeInterval;
    return true;
}

void endpoint_state::recordProbe(bool alive, const std::string &incarnation, time_point now)
{
    if (!acceptIncarnation(incarnation) || m_phase == endpoint_phase::Leaving)
        return;
    if (!alive) {
        recordFailure(now);
        m_nextProbe = now + m_settings.probeInterval;
        return;
    }
    m_probeRequested = false;
    m_failures = 0;
    if (m_phase == endpoint_phase::Suspect)
        m_phase = endpoint_phase::Serving;
    else if (m_phase != endpoint_phase::Serving)
        startServing(now);
}

void endpoint_state::startServing(time_point now)
{
    m_phase = endpoint_phase::Serving;
    m_failures = 0;
    m_slowSamples = 0;
    m_probeRequested = false;
    m_hasServed = true;
    m_servingSince = now;
}

bool endpoint_state::shouldEject(double cohortStepTime) const
{
    if (!isUsable())
        return false;
    if (m_failures >= m_settings.failuresToEject)
        return true;
    const bool slowForCohort
            = cohortStepTime > 0 && m_stepTime.mean() > m_settings.slowFactor * cohortStepTime;
    return slowForCohort && m_slowSamples >= m_settings.slowSamples;
}

void endpoint_state::eject(time_point now)
{
    const bool wasStable = m_hasServed && now - m_servingSince > m_settings.stableTime;
    const duration doubled = wasStable ? duration{ 0 } : m_backoff * 2;
    m_backoff = std::clamp(doubled, m_settings.firstBackoff, m_settings.longestBackoff);
    m_phase = endpoint_phase::Ejected;
    m_ejectedAt = now;
    m_slowSamples = 0;
    // If the step times from before the ejection were kept, they would eject the endpoint again as
    // soon as it returns.
    m_stepTime.reset();
}

void endpoint_state::revertEjection()
{
    if (m_phase != endpoint_phase::Ejected)
        return;
    m_phase = endpoint_phase::Suspect;
    m_probeRequested = true;
}

double endpoint_state::fractionOf(const layer_range &layers) const
{
    return static_cast<double>(layers.size()) / std::max(1, m_wanted.layers.size());
}

void endpoint_state::assign(const layer_range &layers)
{
    m_ownInFlight += fractionOf(layers);
    m_assignedSinceReport += fractionOf(layers);
}

void endpoint_state::release(const layer_range &layers)
{
    m_ownInFlight = std::max(0.0, m_ownInFlight - fractionOf(layers));
    m_assignedSinceReport = std::max(0.0, m_assignedSinceReport - fractionOf(layers));
}

void endpoint_state::setPeerInFlight(const std::string &peer, double inFlight, time_point now)
{
    if (inFlight <= 0)
        m_peers.erase(peer);
    else
        m_peers[peer] = { inFlight, now };
}

double endpoint_state::inFlight(time_point now) const
{
    double known = m_ownInFlight;
    for (const auto &[name, load] : m_peers) {
        if (now - load.received <= m_settings.peerExpiry)
            known += load.inFlight;
    }
    // The endpoint's report includes the work of routers whose digests are missing here.
    return std::max(known, m_reportedLoad + m_assignedSinceReport);
}

double endpoint_state::weight(time_point now) const
{
    if (!m_hasServed || m_backoff == duration{ 0 })
        return 1;
    const double progress = seconds(now - m_servingSince) / seconds(m_settings.slowStart);
    return std::clamp(progress, m_settings.firstWeight, 1.0);
}

double endpoint_state::slowdown() const
{
    if (!m_stepTime.isKnown() || m_longTermStepTime.samples() < minHistorySamples)
        return 1;
    return m_stepTime.mean() / m_longTermStepTime.mean();
}

} // namespace fescuedeck
