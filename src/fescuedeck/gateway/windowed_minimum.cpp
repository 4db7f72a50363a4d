#include "fescuedeck/gateway/windowed_minimum.h"

#include <algorithm>

namespace fescuedeck {

windowed_minimum::windowed_minimum(double initial, duration period)
    : m_period(period)
    , m_current(initial)
{
}

void windowed_minimum::set(double value, time_point now)
{
    if (value == m_current)
        return;
    if (value > m_current)
        m_past.push_back({ m_current, now });
    while (!m_past.empty() && m_past.back().value >= value)
        m_past.pop_back();
    while (!m_past.empty() && m_past.front().until < now - m_period)
        m_past.pop_front();
    m_current = value;
}

double windowed_minimum::at(time_point now) const
{
    const auto found = std::find_if(m_past.begin(), m_past.end(), [&](const past_value &past) {
        return past.until >= now - m_period;
    });
    return found == m_past.end() ? m_current : found->value;
}

} // namespace fescuedeck
