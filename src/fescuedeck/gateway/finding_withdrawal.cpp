#include "fescuedeck/gateway/finding_withdrawal.h"

#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {

bool withdrawFindings(gateway_context &context, time_point since)
{
    if (!context.hasVouchingPeer())
        return false;
    const int losses = context.endpoints.withdrawFindings(since);
    context.crashes.withdrawCrashes(since, steadyNow());
    if (losses > 0)
        event_line("losses_withdrawn").field("losses", losses);
    return true;
}

} // namespace fescuedeck
