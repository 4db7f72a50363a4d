#include "fescuedeck/admission/retry_budget.h"

#include <algorithm>

namespace fescuedeck {

retry_budget::retry_budget(retry_budget_settings settings)
    : m_settings(settings)
{
}

void retry_budget::recordSuccess(const std::string &model)
{
    double &reserve = m_reserves.try_emplace(model, m_settings.firstReserve).first->second;
    reserve = std::min(m_settings.largestReserve, reserve + m_settings.share);
}

bool retry_budget::takeRetry(const std::string &model)
{
    double &reserve = m_reserves.try_emplace(model, m_settings.firstReserve).first->second;
    if (reserve < 1)
        return false;
    reserve -= 1;
    return true;
}

double retry_budget::available(const std::string &model) const
{
    const auto found = m_reserves.find(model);
    return found == m_reserves.end() ? m_settings.firstReserve : found->second;
}

} // namespace fescuedeck
