// Computes the timeout of a hop, after which the stage that has not answered counts as failed.
//
// The timeout is a multiple of the stage's own recent step times, so that a stage on a slow kind of
// accelerator does not count as failed.
#ifndef FESCUEDECK_STREAM_STEP_TIMEOUT_H
#define FESCUEDECK_STREAM_STEP_TIMEOUT_H

#include <vector>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct step_timeout_settings
{
    // The timeout of one step is this quantile of the recent step times multiplied by the factor.
    double quantile = 0.99; // in [0, 1]
    double factor = 4.0;
    // Lower limit of the timeout of one step.
    duration floor = std::chrono::milliseconds(100);
    // Timeout of one step while there are fewer than minimumSamples recent step times.
    duration initial = std::chrono::seconds(1);
    int minimumSamples = 16;
    // Time for each input token of a prefill after the first, as a share of the time of one step.
    // It is well below 1, because accelerators process the tokens of a prefill in parallel.
    double prefillTokenCost = 0.05;
};

// Returns the timeout of a hop with the given number of input tokens, which must be at least 1.
// recentSteps has the times of the stage's recent hops with one input token, in any order.
duration stepTimeout(std::vector<duration> recentSteps, int inputTokens,
                     const step_timeout_settings &settings);

} // namespace fescuedeck

#endif
