#include "fescuedeck/router/readiness.h"

namespace fescuedeck {

readiness evaluateReadiness(const router_context &context, time_point now)
{
    struct control_facts
    {
        bool hasBundle;
        time_point lastLogContact;
    };
    const auto facts = context.control.with([](const control_tables &tables) {
        return control_facts{ tables.index != nullptr, tables.lastLogContact };
    });
    if (!facts.hasBundle)
        return { false, false, "no bundle has been received yet" };
    const duration timeout = context.settings.timing.isolationTimeout;
    const bool hasLog = now - facts.lastLogContact <= timeout;
    const bool hasPeer = now - context.lastPeerContact.load() <= timeout;
    const bool isOnlyRouter = context.otherLiveRouters.load() == 0;
    if (!hasLog && !hasPeer && !isOnlyRouter)
        return { false, false,
                 "neither the log nor a peer was reached within the isolation timeout" };
    if (!context.isWarmedUp)
        return { false, false,
                 "the endpoints have not been polled or the claims have not been read yet" };
    if (context.isShuttingDown)
        return { true, false, "shutting down" };
    return { true, true, "" };
}

} // namespace fescuedeck
