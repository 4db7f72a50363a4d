#include "fescuedeck/gateway/chain_progress.h"

#include <algorithm>

namespace fescuedeck {
namespace {

bool haveAllProgressedSince(const std::vector<endpoint_ptr> &stages, time_point since)
{
    return std::all_of(stages.begin(), stages.end(), [since](const endpoint_ptr &stage) {
        return stage->lastProgressAt > since;
    });
}

} // namespace

void recordProgress(const std::vector<endpoint_ptr> &stages, time_point now)
{
    for (const endpoint_ptr &stage : stages)
        stage->lastProgressAt = now;
}

duration timeUntilStall(const std::vector<endpoint_ptr> &stages, time_point lastActivityAt,
                        duration stallLimit, time_point now)
{
    const duration silence = now - lastActivityAt;
    const bool isBusy = haveAllProgressedSince(stages, now - stallLimit);
    if (!isBusy || silence < stallLimit)
        return stallLimit - silence;
    return std::min<duration>(std::max(busyChainStallLimit, stallLimit) - silence, stallLimit);
}

} // namespace fescuedeck
