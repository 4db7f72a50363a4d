// Limits the retries for each model to a fraction of the successful requests.
//
// Call takeRetry() before each new attempt of a request. If no request succeeds any more, retries
// stop as soon as the saved retry tokens are used up, instead of multiplying the load.
//
// Not thread-safe.
#ifndef FESCUEDECK_ADMISSION_RETRY_BUDGET_H
#define FESCUEDECK_ADMISSION_RETRY_BUDGET_H

#include <string>
#include <unordered_map>

namespace fescuedeck {

struct retry_budget_settings
{
    double retryTokensPerSuccess = 0.2;
    // The largest number of saved retry tokens, and the number at the start. They are this large
    // because the loss of a failure domain interrupts about a third of a router's streams at once.
    double maxRetryTokens = 500;
    double initialRetryTokens = 100;
};

class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings = {});

    void recordSuccess(const std::string &model);
    // Takes one retry token and returns true, or returns false if there is none. In the second case
    // the caller must not retry and answers with the last failure.
    bool takeRetry(const std::string &model);
    // Returns the number of saved retry tokens.
    double available(const std::string &model) const;

private:
    retry_budget_settings m_settings;
    std::unordered_map<std::string, double> m_retryTokens;
};

} // namespace fescuedeck

#endif
