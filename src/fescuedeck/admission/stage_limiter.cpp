#include "fescuedeck/admission/stage_limiter.h"

#include <algorithm>
#include <cmath>

namespace fescuedeck {
namespace {

constexpr double levelRatio = 1.2;    // of the items in flight at neighbouring levels
constexpr double sampleWeight = 0.05; // smallest weight of a new sample
constexpr int samplesToTrust = 20;    // a level with fewer samples is ignored
constexpr int samplesPerUpdate = 32;

} // namespace

stage_limiter::stage_limiter(stage_limiter_settings settings)
    : m_settings(settings)
    , m_limit(settings.initialLimit)
    , m_untilUpdate(samplesPerUpdate)
{
}

std::size_t stage_limiter::levelOf(double inFlight)
{
    const double index = std::log(std::max(1.0, inFlight)) / std::log(levelRatio);
    return std::min(static_cast<std::size_t>(index), levelCount - 1);
}

void stage_limiter::record(double inFlight, double seconds)
{
    if (seconds <= 0 || inFlight <= 0)
        return;
    level &entry = m_levels[levelOf(inFlight)];
    const double weight = std::max(sampleWeight, 1.0 / (entry.samples + 1.0));
    entry.seconds += weight * (seconds - entry.seconds);
    entry.inFlight += weight * (inFlight - entry.inFlight);
    entry.samples = std::min(entry.samples + 1, samplesToTrust);
    if (--m_untilUpdate > 0)
        return;
    m_untilUpdate = samplesPerUpdate;
    update();
}

void stage_limiter::update()
{
    double best = 0;
    double highestSeen = 0;
    for (const level &entry : m_levels) {
        if (entry.samples < samplesToTrust)
            continue;
        best = std::max(best, entry.inFlight / entry.seconds);
        highestSeen = entry.inFlight;
    }
    for (const level &entry : m_levels) {
        if (entry.samples < samplesToTrust
            || entry.inFlight / entry.seconds < m_settings.margin * best)
            continue;
        // If this is the highest level measured so far, higher ones may give more throughput.
        const bool atEdge = entry.inFlight >= highestSeen;
        const double limit = atEdge ? entry.inFlight * levelRatio * levelRatio : entry.inFlight;
        m_limit = std::clamp(limit, m_settings.minLimit, m_settings.maxLimit);
        return;
    }
}

} // namespace fescuedeck
