// When a caller that is refused should come back.
//
// Callers come back only a few times, so that a time before the cause has passed loses the request.
// Times are maxJitter, so that callers who were refused together do not return together.
#ifndef FESCUEDECK_GATEWAY_RETRY_AFTER_H
#define FESCUEDECK_GATEWAY_RETRY_AFTER_H

#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/platform_adapter.h"

namespace fescuedeck {

// timeUntilLayers is the time until missing layers are expected to be loaded; zero if no load is
// known to be under way.
duration retryAfterFor(refusal_reason reason, duration timeUntilLayers, const random_fn &random);

} // namespace fescuedeck

#endif
