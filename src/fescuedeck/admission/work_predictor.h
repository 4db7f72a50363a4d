// Predicted output length of a request, learned for each workspace and model.
//
// Use it to charge a request in the fair queue before it runs. Not thread-safe. Memory grows with
// the number of (workspace, model) pairs that were used, about 60 bytes each.
#ifndef FESCUEDECK_ADMISSION_WORK_PREDICTOR_H
#define FESCUEDECK_ADMISSION_WORK_PREDICTOR_H

#include <cstdint>
#include <string>
#include <unordered_map>

namespace fescuedeck {

struct work_predictor_settings
{
    double initialOutputTokens = 128; // tokens, before anything is known
    double sampleWeight = 0.05;
    // Cost of a prompt token relative to an output token.
    double promptTokenCost = 0.1;
};

class work_predictor
{
public:
    explicit work_predictor(work_predictor_settings settings = {});

    void record(const std::string &workspace, const std::string &model, int outputTokens);
    // Expected number of output tokens, at most maxTokens. A pair without samples uses the model's.
    double outputTokens(const std::string &workspace, const std::string &model,
                        int maxTokens) const;
    // In units of output tokens.
    double work(int promptTokens, double outputTokens) const;

private:
    struct mean
    {
        double value = 0;
        int samples = 0;
    };

    void add(mean &average, double value) const;

    work_predictor_settings m_settings;
    std::unordered_map<std::uint64_t, mean> m_pairs;
    std::unordered_map<std::string, mean> m_models;
};

} // namespace fescuedeck

#endif
