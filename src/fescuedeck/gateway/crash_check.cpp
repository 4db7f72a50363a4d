#include "fescuedeck/gateway/crash_check.h"

#include <boost/asio/spawn.hpp>

#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {
namespace {

// A host that is up accepts a connection much faster than this.
constexpr duration connectLimit = std::chrono::milliseconds(400);

void check(gateway_context &context, const request_identity &request,
           const endpoint_entry &endpoint, const boost::asio::yield_context &yield)
{
    const bool isUp = context.client.openIdle(endpoint.address, connectLimit, yield);
    if (context.blamesLinks())
        return;
    const time_point now = steadyNow();
    const int crashes
            = isUp ? 0 : context.crashes.recordCrash(request, incarnationName(endpoint), now);
    event_line("endpoint_checked", event_level::Warning)
            .field("endpoint", endpoint.id)
            .field("fingerprint", request.fingerprint)
            .field("is_up", isUp)
            .field("crashes", crashes)
            .field("quarantined", context.crashes.isQuarantined(request, now));
}

} // namespace

void recordCrashIfDown(gateway_context &context, const request_identity &request,
                       const endpoint_ptr &endpoint)
{
    boost::asio::spawn(context.io, [&context, request, entry = endpoint->entry](
                                           const boost::asio::yield_context &yield) {
        check(context, request, entry, yield);
    });
}

} // namespace fescuedeck
