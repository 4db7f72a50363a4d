#include "fescuedeck/stream/step_timeout.h"

#include <algorithm>
#include <cmath>

namespace fescuedeck {
namespace {

duration quantileOf(std::vector<duration> &samples, double quantile)
{
    const auto last = static_cast<double>(samples.size() - 1);
    const auto index = static_cast<std::ptrdiff_t>(std::ceil(quantile * last));
    const auto nth = samples.begin() + index;
    std::nth_element(samples.begin(), nth, samples.end());
    return *nth;
}

duration scaled(duration value, double factor)
{
    return duration(std::llround(static_cast<double>(value.count()) * factor));
}

} // namespace

duration stepTimeout(std::vector<duration> recentSteps, int inputTokens,
                     const step_timeout_settings &settings)
{
    const bool isKnown = !recentSteps.empty()
                         && static_cast<int>(recentSteps.size()) >= settings.minimumSamples;
    duration step = settings.initial;
    if (isKnown)
        step = scaled(quantileOf(recentSteps, settings.quantile), settings.factor);
    step = std::max(step, settings.floor);
    return scaled(step, 1.0 + settings.prefillTokenCost * (inputTokens - 1));
}

} // namespace fescuedeck
