// Limit of retries to a share of successes, for each model.
//
// Use it before each new attempt: when nothing succeeds any more, retries stop after the reserve
// instead of multiplying the load. Not thread-safe.
#ifndef FESCUEDECK_ADMISSION_RETRY_BUDGET_H
#define FESCUEDECK_ADMISSION_RETRY_BUDGET_H

#include <string>
#include <unordered_map>

namespace fescuedeck {

struct retry_budget_settings
{
    double retryTokensPerSuccess = 0.2; // retries earned by one success
    // Retries that may be saved up, and the amount at the start. The loss of a failure domain
    // interrupts about a third of a router's streams at once.
    double maxRetryTokens = 500;
    double initialRetryTokens = 100;
};

class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings = {});

    void recordSuccess(const std::string &model);
    // Returns false if the budget is spent; the caller then answers with the last failure.
    bool takeRetry(const std::string &model);
    double available(const std::string &model) const;

private:
    retry_budget_settings m_settings;
    std::unordered_map<std::string, double> m_retryTokens;
};

} // namespace fescuedeck

#endif
