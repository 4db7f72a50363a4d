#include "fescuedeck/admission/stage_limiter.h"

#include <algorithm>
#include <cmath>

namespace fescuedeck {
namespace {

constexpr double levelRatio = 1.2; // of neighbouring levels
constexpr double sampleWeight = 0.05;
constexpr int samplesToTrust = 20;
constexpr int samplesPerUpdate = 32;

} // namespace

stage_limiter::stage_limiter(stage_limiter_settings settings)
    : m_settings(settings)
    , m_limit(settings.firstLimit)
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
    level &one = m_levels[levelOf(inFlight)];
    const double weight = std::max(sampleWeight, 1.0 / (one.samples + 1.0));
    one.seconds += weight * (seconds - one.seconds);
    one.inFlight += weight * (inFlight - one.inFlight);
    one.samples = std::min(one.samples + 1, samplesToTrust);
    if (--m_untilUpdate > 0)
        return;
    m_untilUpdate = samplesPerUpdate;
    update();
}

void stage_limiter::update()
{
    double best = 0;
    double highestSeen = 0;
    for (const level &one : m_levels) {
        if (one.samples < samplesToTrust)
            continue;
        best = std::max(best, one.inFlight / one.seconds);
        highestSeen = one.inFlight;
    }
    for (const level &one : m_levels) {
        if (one.samples < samplesToTrust || one.inFlight / one.seconds < m_settings.margin * best)
            continue;
        // A knee at the highest level seen may only be the edge of what was tried.
        const bool atEdge = one.inFlight >= highestSeen;
        const double limit = atEdge ? one.inFlight * levelRatio * levelRatio : one.inFlight;
        m_limit = std::clamp(limit, m_settings.lowestLimit, m_settings.highestLimit);
        return;
    }
}

} // namespace fescuedeck
