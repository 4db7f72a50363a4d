#include "fescuedeck/gateway/shutdown_plan.h"

#include <algorithm>

namespace fescuedeck {
namespace {

constexpr duration noticeTime = std::chrono::milliseconds(2500);
// A request that is sent later than this after the signal must get a whole answer or a refusal. An
// earlier one may still be running when the grace period ends.
constexpr duration lastRequestTime = std::chrono::seconds(3);
constexpr duration acceptanceTime = lastRequestTime - maxSignalDelay;
constexpr duration endMargin = std::chrono::milliseconds(400);
// A relayed request should have a good part of its answer before the process ends.
constexpr double relayTimeShare = 0.2;
// noticeTime and acceptanceTime take no more than these shares of a short grace period.
constexpr double maxNoticeShare = 0.32;
constexpr double maxAcceptanceShare = 0.4;

duration shareOf(duration time, double share)
{
    return std::chrono::duration_cast<duration>(time * share);
}

} // namespace

shutdown_plan planShutdown(time_point signalHandledAt, duration gracePeriod)
{
    const auto limited = [&](duration time, double maxShare) {
        return signalHandledAt + std::min<duration>(time, shareOf(gracePeriod, maxShare));
    };
    shutdown_plan plan;
    plan.closesListenerAt = limited(noticeTime, maxNoticeShare);
    plan.acceptsRequestsUntil = limited(acceptanceTime, maxAcceptanceShare);
    plan.endsAt = signalHandledAt + gracePeriod - endMargin;
    plan.acceptsRelaysUntil = std::max<time_point>(
            plan.acceptsRequestsUntil, plan.endsAt - shareOf(gracePeriod, relayTimeShare));
    return plan;
}

} // namespace fescuedeck
