#include "fescuedeck/gateway/retry_after.h"

#include <algorithm>

namespace fescuedeck {
namespace {

// This gateway is stopping. Another one accepts the request at once.
constexpr duration stoppingDelay = std::chrono::milliseconds(50);
// The requests that run now end within about a second and free their slots.
constexpr duration busyDelay = std::chrono::milliseconds(800);
// Later predictions are uncertain, and callers honour only a third of their remaining time.
constexpr duration maxBusyDelay = std::chrono::seconds(5);
// Time to detect a lost engine and to load its layers on another one.
constexpr duration repairDelay = std::chrono::milliseconds(1500);
// A gateway has no configuration if it cannot reach the store. Outages of the store last seconds.
constexpr duration storeOutageDelay = std::chrono::milliseconds(2500);
// Largest random addition, as a share of the delay.
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

duration retryAfterForRank(int rank, duration predictedWait, const random_fn &random)
{
    // The jitter of a rank ends where that of the next one begins.
    const duration base = std::clamp(predictedWait, busyDelay, maxBusyDelay);
    return base
           + std::chrono::duration_cast<duration>(base
                                                  * (maxJitter * (rank + uniformReal(random))));
}

} // namespace fescuedeck
