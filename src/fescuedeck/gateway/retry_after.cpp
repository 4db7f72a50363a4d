#include "fescuedeck/gateway/retry_after.h"

#include <algorithm>

namespace fescuedeck {
namespace {

// Another gateway takes the request at once.
constexpr duration stoppingDelay = std::chrono::milliseconds(50);
// Requests that run now end within about a second.
constexpr duration busyDelay = std::chrono::milliseconds(800);
// Detection of a lost engine and the load of its layers elsewhere.
constexpr duration repairDelay = std::chrono::milliseconds(1500);
// A gateway without configuration cannot reach the store, whose outages last seconds.
constexpr duration storeOutageDelay = std::chrono::milliseconds(2500);
// Largest part that is added at random.
constexpr double maxJitter = 0.4;

duration baseDelay(refusal_reason reason, duration timeUntilLayers)
{
    switch (reason) {
    case refusal_reason::NoConfig:
        return storeOutageDelay;
    case refusal_reason::Stopping:
        return stoppingDelay;
    case refusal_reason::NoEndpoint:
        return timeUntilLayers > duration::zero() ? timeUntilLayers : repairDelay;
    default:
        return busyDelay;
    }
}

} // namespace

duration retryAfterFor(refusal_reason reason, duration timeUntilLayers, const random_fn &random)
{
    const duration base = baseDelay(reason, std::max(timeUntilLayers, duration::zero()));
    return base + std::chrono::duration_cast<duration>(base * (maxJitter * uniformReal(random)));
}

} // namespace fescuedeck
