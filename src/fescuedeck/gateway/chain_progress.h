// Tells a chain that has lost an engine from a chain that is only busy, by the events of all
// streams of this gateway that run through the same engines.
//
// A stream that gets no event for a while may wait for a lost engine, or for its turn while the
// engines read the prompts of others. In the second case other streams through the same engines
// still get events. Moving the stream to another chain would then only add a prompt to read there,
// and many such streams would overload one chain after the other.
#ifndef FESCUEDECK_GATEWAY_CHAIN_PROGRESS_H
#define FESCUEDECK_GATEWAY_CHAIN_PROGRESS_H

#include <vector>

#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/endpoint_registry.h"

namespace fescuedeck {

// A stream that gets no event for this long is stalled even if its engines serve others. Callers
// disconnect after about two silent seconds, and the rest is needed to resume the stream elsewhere.
constexpr duration busyChainStallLimit = std::chrono::milliseconds(1200);

// Records that a stream has received an event that ran through the stages.
void recordProgress(const std::vector<endpoint_ptr> &stages, time_point now);

// Returns the time until a stream counts as stalled, if its last event was received at
// lastActivityAt; zero or less if it is stalled now. stallLimit is the limit for a chain without
// progress. The result may be shorter than the remaining time, because the chain can lose an engine
// meanwhile, so ask again when it has passed.
duration timeUntilStall(const std::vector<endpoint_ptr> &stages, time_point lastActivityAt,
                        duration stallLimit, time_point now);

} // namespace fescuedeck

#endif
