#include "fescuedeck/fleet/service_time.h"

#include <algorithm>
#include <limits>

namespace fescuedeck {
namespace {

// Relative step of the quantile estimate for one sample.
constexpr double quantileStep = 0.05;
// The first sample says little about the tail: the quantile starts well above it.
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
    // Early samples weigh as in a plain mean, so that the first one does not dominate.
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
