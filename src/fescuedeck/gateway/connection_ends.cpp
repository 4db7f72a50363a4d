#include "fescuedeck/gateway/connection_ends.h"

#include <utility>

#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {

std::function<void(const connection_end &)>
connectionEndHook(metrics &counters, const std::string &server,
                  std::function<std::string(const http_request &)> idOf)
{
    return [&counters, server, idOf = std::move(idOf)](const connection_end &end) {
        const std::string reason(nameOf(connectionEndReasonNames, end.reason));
        counters.counterOf("fescuedeck_caller_connections_ended_total",
                           { { "server", server }, { "reason", reason } })
                .add();
        if (!end.isUnusual())
            return;
        event_line("connection_ended", event_level::Warning)
                .field("server", server)
                .field("caller", end.caller)
                .field("reason", reason)
                .field("answered", end.answeredRequests)
                .field("unread_bytes", static_cast<std::int64_t>(end.unreadBytes))
                .field("buffered_bytes", static_cast<std::int64_t>(end.bufferedBytes))
                .field("partial_request", end.hasPartialRequest)
                .field("unanswered_request", end.hasUnansweredRequest)
                .field("request", idOf(end.lastRequest));
    };
}

} // namespace fescuedeck
