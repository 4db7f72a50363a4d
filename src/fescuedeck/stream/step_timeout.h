// Time after which a stage that has not answered a hop counts as failed.
//
// Use it when a hop is sent. The deadline follows the stage's own recent step times, so that a slow
// kind of accelerator is not taken for a failed one.
#ifndef FESCUEDECK_STREAM_STEP_TIMEOUT_H
#define FESCUEDECK_STREAM_STEP_TIMEOUT_H

#include <vector>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct step_timeout_settings
{
    double quantile = 0.99; // in [0, 1]
    double factor = 4.0;
    duration floor = std::chrono::milliseconds(100);
    // Used while there are fewer than minimumSamples step times.
    duration initial = std::chrono::seconds(1);
    int minimumSamples = 16;
    // Time for each input token of a prefill, relative to one step. Accelerators process the tokens
    // of a prefill in parallel, so it is well below 1.
    double prefillTokenCost = 0.05;
};

// recentSteps are the times of hops with one input token, in any order. inputTokens >= 1.
duration stepTimeout(std::vector<duration> recentSteps, int inputTokens,
                     const step_timeout_settings &settings);

} // namespace fescuedeck

#endif
