// Computes how long a refused caller should wait before it retries.
//
// Callers retry only a few times. A delay that ends before the cause of the refusal has passed
// wastes one of these retries, and the request may be lost. Delays have random jitter, so that
// callers that were refused together do not retry together.
#ifndef FESCUEDECK_GATEWAY_RETRY_AFTER_H
#define FESCUEDECK_GATEWAY_RETRY_AFTER_H

#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/platform_adapter.h"

namespace fescuedeck {

// Returns the delay to state in a refusal. timeUntilLayers is the time until missing layers are
// expected to be loaded; zero or negative if no load is known to be in progress.
duration retryAfterFor(refusal_reason reason, duration timeUntilLayers, const random_fn &random);

// Returns the delay for a request that is refused because its service is busy, in a deployment with
// different ranks. predictedWait is the time until there is room. A less urgent rank gets a longer
// delay, so that callers return in the order of urgency.
duration retryAfterForRank(int rank, duration predictedWait, const random_fn &random);

} // namespace fescuedeck

#endif
