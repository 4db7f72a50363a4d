#include "fescuedeck/fleet/service_time.h"

#include <algorithm>
#include <limits>

namespace fescuedeck {
namespace {

// Largest relative change of the quantile estimate by one sample. A sample above the estimate
// raises it by this step times the probability; any other sample lowers it by this step times one
// minus the probability, so the estimate is stable where the intended share of samples lies below
// it.
constexpr double quantileStep = 0.05;
// Ratio of the initial quantile to the first sample. One sample says little about the tail, so the
// quantile starts well above it.
constexpr double firstQuantileFactor = 3.0;

} // namespace

service_time::service_time(double weight, double probability)
    : m_weight(weight)
    , m_probability(probability)
{
}

void service_time::add(double seconds)
{
    if (m_samples == 0) {
        m_mean = seconds;
        m_quantile = seconds * firstQuantileFactor;
    }
    // The first samples are averaged with equal weights, so that the very first does not dominate.
    const double weight = std::max(m_weight, 1.0 / (m_samples + 1.0));
    m_mean += weight * (seconds - m_mean);
    const bool above = seconds > m_quantile;
    m_quantile *= above ? 1 + quantileStep * m_probability : 1 - quantileStep * (1 - m_probability);
    m_samples = std::min(m_samples, std::numeric_limits<int>::max() - 1) + 1;
}

void service_time::reset()
{
    m_mean = 0;
    m_quantile = 0;
    m_samples = 0;
}

} // namespace fescuedeck
