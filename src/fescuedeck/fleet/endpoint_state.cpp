#include "fescuedeck/fleet/endpoint_state.h"

#include <algorithm>
#include <utility>

namespace fescuedeck {
namespace {

// Enough to recognize late reports of endpoints that restart often.
constexpr std::size_t rememberedIncarnations = 8;
// A single own-history sample is noise; comparisons start after this many.
constexpr int samplesForHistory = 50;

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

// Returns false if the event belongs to an earlier incarnation.
bool endpoint_state::adopt(const std::string &incarnation)
{
    if (incarnation.empty() || incarnation == m_incarnation)
        return true;
    if (std::find(m_earlier.begin(), m_earlier.end(), incarnation) != m_earlier.end())
        return false;
    // The first name of an incarnation that was unknown so far is not a restart.
    const bool restarted = !m_incarnation.empty();
    if (restarted) {
        m_earlier.push_back(m_incarnation);
        if (m_earlier.size() > rememberedIncarnations)
            m_earlier.pop_front();
        m_phase = endpoint_phase::Joining;
        m_failures = 0;
        m_slowSamples = 0;
        m_probeWanted = true;
        m_nextProbe = {};
        m_step.reset();
        m_prefill.reset();
        m_history.reset();
        m_iteration.reset();
        m_reported = 0;
        m_sentSinceReport = 0;
    }
    m_incarnation = incarnation;
    return true;
}

void endpoint_state::report(const endpoint_report &report, time_point now)
{
    if (!adopt(report.incarnation))
        return;
    m_reported = report.running + report.waiting;
    if (report.step.count() > 0)
        m_iteration.add(seconds(report.step));
    m_sentSinceReport = 0;
    if (report.leaving)
        leave(report.incarnation);
    else if (m_phase == endpoint_phase::Joining)
        recover(now);
}

void endpoint_state::succeed(const std::string &incarnation, const hop_timing &timing,
                             time_point now)
{
    if (!adopt(incarnation))
        return;
    const double perLayer = seconds(timing.elapsed) / std::max(1, m_wanted.layers.size());
    if (timing.tokens <= 1) {
        m_step.add(perLayer);
        m_history.add(perLayer);
        const bool slow = slowdown() > m_settings.slowFactor;
        m_slowSamples = slow ? m_slowSamples + 1 : 0;
    } else {
        m_prefill.add(perLayer / timing.tokens);
    }
    m_failures = 0;
    // A call that was under way at the ejection does not end it: only a probe does.
    if (m_phase == endpoint_phase::Suspect)
        m_phase = endpoint_phase::Serving;
    else if (m_phase == endpoint_phase::Joining)
        recover(now);
}

void endpoint_state::fail(time_point now)
{
    ++m_failures;
    if (m_phase == endpoint_phase::Serving || m_phase == endpoint_phase::Joining)
        m_phase = endpoint_phase::Suspect;
    if (m_phase == endpoint_phase::Suspect)
        m_probeWanted = true;
    m_nextProbe = std::max(m_nextProbe, now);
}

void endpoint_state::timeOut(const hop_timing &timing, time_point now)
{
    const double perLayer = seconds(timing.elapsed) / std::max(1, m_wanted.layers.size());
    if (timing.tokens <= 1)
        m_step.add(perLayer);
    else
        m_prefill.add(perLayer / timing.tokens);
    fail(now);
}

duration endpoint_state::deadline(const hop_timing &hop) const
{
    const bool isStep = hop.tokens <= 1;
    const service_time &learned = isStep ? m_step : m_prefill;
    const double time = learned.quantile() * m_wanted.layers.size() * std::max(1, hop.tokens);
    const duration floor = isStep ? m_settings.stepDeadlineFloor : m_settings.prefillDeadlineFloor;
    return std::max(floor,
                    duration(static_cast<std::int64_t>(time * m_settings.deadlineFactor * 1e6)));
}

void endpoint_state::leave(const std::string &incarnation)
{
    if (adopt(incarnation))
        m_phase = endpoint_phase::Leaving;
}

void endpoint_state::hint()
{
    if (m_phase != endpoint_phase::Leaving && m_phase != endpoint_phase::Ejected)
        m_probeWanted = true;
}

bool endpoint_state::takeProbe(time_point now)
{
    const bool backoffOver = m_phase == endpoint_phase::Ejected && now >= m_ejectedAt + m_backoff;
    if (m_phase == endpoint_phase::Leaving || now < m_nextProbe || !(m_probeWanted || backoffOver))
        return false;
    if (m_phase == endpoint_phase::Ejected && !backoffOver)
        return false;
    m_nextProbe = now + m_settings.probeInterval;
    return true;
}

void endpoint_state::probed(bool alive, const std::string &incarnation, time_point now)
{
    if (!adopt(incarnation) || m_phase == endpoint_phase::Leaving)
        return;
    if (!alive) {
        fail(now);
        m_nextProbe = now + m_settings.probeInterval;
        return;
    }
    m_probeWanted = false;
    m_failures = 0;
    if (m_phase == endpoint_phase::Suspect)
        m_phase = endpoint_phase::Serving;
    else if (m_phase != endpoint_phase::Serving)
        recover(now);
}

void endpoint_state::recover(time_point now)
{
    m_phase = endpoint_phase::Serving;
    m_failures = 0;
    m_slowSamples = 0;
    m_probeWanted = false;
    m_returning = true;
    m_returned = now;
}

bool endpoint_state::shouldEject(double kinStepTime) const
{
    if (!isUsable())
        return false;
    if (m_failures >= m_settings.failuresToEject)
        return true;
    const bool slowForKin = kinStepTime > 0 && m_step.mean() > m_settings.slowFactor * kinStepTime;
    return slowForKin && m_slowSamples >= m_settings.slowSamples;
}

void endpoint_state::eject(time_point now)
{
    const bool wasStable = m_returning && now - m_returned > m_settings.stableTime;
    const duration doubled = wasStable ? duration{ 0 } : m_backoff * 2;
    m_backoff = std::clamp(doubled, m_settings.firstBackoff, m_settings.longestBackoff);
    m_phase = endpoint_phase::Ejected;
    m_ejectedAt = now;
    m_slowSamples = 0;
    // Times from before the ejection would eject it again on its return.
    m_step.reset();
}

void endpoint_state::keepInUse()
{
    if (m_phase != endpoint_phase::Ejected)
        return;
    m_phase = endpoint_phase::Suspect;
    m_probeWanted = true;
}

double endpoint_state::fractionOf(const layer_range &layers) const
{
    return static_cast<double>(layers.size()) / std::max(1, m_wanted.layers.size());
}

void endpoint_state::assign(const layer_range &layers)
{
    m_ownInFlight += fractionOf(layers);
    m_sentSinceReport += fractionOf(layers);
}

void endpoint_state::release(const layer_range &layers)
{
    m_ownInFlight = std::max(0.0, m_ownInFlight - fractionOf(layers));
    m_sentSinceReport = std::max(0.0, m_sentSinceReport - fractionOf(layers));
}

void endpoint_state::peerInFlight(const std::string &peer, double inFlight, time_point now)
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
    // The report covers work of routers whose digests are missing.
    return std::max(known, m_reported + m_sentSinceReport);
}

double endpoint_state::weight(time_point now) const
{
    if (!m_returning || m_backoff == duration{ 0 })
        return 1;
    const double progress = seconds(now - m_returned) / seconds(m_settings.slowStart);
    return std::clamp(progress, m_settings.firstWeight, 1.0);
}

double endpoint_state::slowdown() const
{
    if (!m_step.isKnown() || m_history.samples() < samplesForHistory)
        return 1;
    return m_step.mean() / m_history.mean();
}

} // namespace fescuedeck
