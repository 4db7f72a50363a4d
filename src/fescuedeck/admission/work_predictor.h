// Predicts the output length of a request from earlier requests of the same workspace and model.
// The fair queue charges a request by this prediction before it runs.
//
// Memory grows with the number of pairs of workspace and model that were used, about 60 bytes for
// each pair. Not thread-safe.
#ifndef FESCUEDECK_ADMISSION_WORK_PREDICTOR_H
#define FESCUEDECK_ADMISSION_WORK_PREDICTOR_H

#include <cstdint>
#include <string>
#include <unordered_map>

namespace fescuedeck {

struct work_predictor_settings
{
    double initialOutputTokens = 128; // prediction for a model without samples
    double sampleWeight = 0.05;       // smallest weight of a new sample in the moving average
    // Work of a prompt token relative to that of an output token.
    double promptTokenCost = 0.1;
};

class work_predictor
{
public:
    explicit work_predictor(work_predictor_settings settings = {});

    // Records the actual number of output tokens of a request.
    void record(const std::string &workspace, const std::string &model, int outputTokens);
    // Returns the expected number of output tokens, at most maxTokens. For a workspace without
    // samples of the model, the prediction is the average of the model over all workspaces.
    double outputTokens(const std::string &workspace, const std::string &model,
                        int maxTokens) const;
    // Returns the work of a request in units of output tokens.
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
