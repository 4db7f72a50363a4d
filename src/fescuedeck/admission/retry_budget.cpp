#include "fescuedeck/admission/retry_budget.h"

#include <algorithm>

namespace fescuedeck {

retry_budget::retry_budget(retry_budget_settings settings)
    : m_settings(settings)
{
}

void retry_budget::recordSuccess(const std::string &model)
{
    double &retryTokens
            = m_retryTokens.try_emplace(model, m_settings.initialRetryTokens).first->second;
    retryTokens
            = std::min(m_settings.maxRetryTokens, retryTokens + m_settings.retryTokensPerSuccess);
}

bool retry_budget::takeRetry(const std::string &model)
{
    double &retryTokens
            = m_retryTokens.try_emplace(model, m_settings.initialRetryTokens).first->second;
    if (retryTokens < 1)
        return false;
    retryTokens -= 1;
    return true;
}

double retry_budget::available(const std::string &model) const
{
    const auto found = m_retryTokens.find(model);
    return found == m_retryTokens.end() ? m_settings.initialRetryTokens : found->second;
}

} // namespace fescuedeck
