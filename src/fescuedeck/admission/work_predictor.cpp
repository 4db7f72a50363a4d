#include "fescuedeck/admission/work_predictor.h"

#include <algorithm>

#include "fescuedeck/base/hash.h"

namespace fescuedeck {
namespace {

// The average of a model over all workspaces counts as much as this number of samples of a pair of
// workspace and model.
constexpr double priorSamples = 4;

std::uint64_t pairKey(const std::string &workspace, const std::string &model)
{
    return stableHash(workspace, stableHash(model));
}

} // namespace

work_predictor::work_predictor(work_predictor_settings settings)
    : m_settings(settings)
{
}

void work_predictor::add(mean &average, double value) const
{
    average.samples = std::min(average.samples + 1, 1 << 20);
    const double weight = std::max(m_settings.sampleWeight, 1.0 / average.samples);
    average.value += weight * (value - average.value);
}

void work_predictor::record(const std::string &workspace, const std::string &model,
                            int outputTokens)
{
    add(m_pairs[pairKey(workspace, model)], outputTokens);
    add(m_models[model], outputTokens);
}

double work_predictor::outputTokens(const std::string &workspace, const std::string &model,
                                    int maxTokens) const
{
    const auto known = m_models.find(model);
    double expected
            = known == m_models.end() ? m_settings.initialOutputTokens : known->second.value;
    const auto pair = m_pairs.find(pairKey(workspace, model));
    if (pair != m_pairs.end()) {
        const double samples = pair->second.samples;
        expected = (expected * priorSamples + pair->second.value * samples)
                   / (priorSamples + samples);
    }
    return std::min(expected, static_cast<double>(maxTokens));
}

double work_predictor::work(int promptTokens, double outputTokens) const
{
    return outputTokens + m_settings.promptTokenCost * promptTokens;
}

} // namespace fescuedeck
