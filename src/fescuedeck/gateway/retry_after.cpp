#include "fescuedeck/gateway/retry_after.h"

#include <algorithm>

namespace fescuedeck {
namespace {

// Another gateway takes the request at once.
constexpr duration toAnotherGateway = std::chrono::milliseconds(50);
// Requests that run now end within about a second.
constexpr duration untilSlotFree = std::chrono::milliseconds(800);
// Detection of a lost engine and the load of its layers elsewhere.
constexpr duration untilRepaired = std::chrono::milliseconds(1500);
// A gateway without configuration cannot reach the store, whose outages last seconds.
constexpr duration untilStoreBack = std::chrono::milliseconds(2500);
// Largest part that is added at random.
constexpr double spread = 0.4;

duration baseFor(refusal_reason reason, duration untilLayers)
{
    switch (reason) {
    case refusal_reason::NoConfig:
        return untilStoreBack;
    case refusal_reason::Stopping:
        return toAnotherGateway;
    case refusal_reason::NoEndpoint:
        return untilLayers > duration::zero() ? untilLayers : untilRepaired;
    default:
        return untilSlotFree;
    }
}

} // namespace

duration retryAfterFor(refusal_reason reason, duration untilLayers, const random_fn &random)
{
    const duration base = baseFor(reason, std::max(untilLayers, duration::zero()));
    return base + std::chrono::duration_cast<duration>(base * (spread * uniformReal(random)));
}

} // namespace fescuedeck
