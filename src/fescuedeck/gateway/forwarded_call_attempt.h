// The state of one attempt of a forwarded_call. Only the sources of that class include this file.
#ifndef FESCUEDECK_GATEWAY_FORWARDED_CALL_ATTEMPT_H
#define FESCUEDECK_GATEWAY_FORWARDED_CALL_ATTEMPT_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fescuedeck/gateway/attempt_guards.h"
#include "fescuedeck/gateway/background_call.h"
#include "fescuedeck/gateway/event_timing.h"
#include "fescuedeck/gateway/forwarded_call.h"
#include "fescuedeck/rerouting/running_streams.h"

namespace fescuedeck {

namespace detail {

constexpr bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace detail

struct forwarded_call::attempt
{
    attempt(gateway_context &context, const std::string &service,
            std::optional<std::int64_t> lastEventId, int attemptNumber, destination chosen,
            double tokens)
        : number(attemptNumber)
        , to(std::move(chosen))
        , running(context.admission, service, tokens)
        , inFlight(to.stages, tokens)
        , retry(context, service)
        , events(lastEventId)
        , timing(steadyNow(), to.first->usualFirstEventDelay)
    {
    }

    const int number;     // of all attempts of the request, the first is 1
    destination to;       // its chain may change while the attempt runs
    running_work running; // declared before inFlight, whose end makes room
    in_flight_guard inFlight;
    retry_reservation retry;
    call_cancellation cancellation;
    event_splitter events;
    http_response head;
    event_timing timing;
    bool isSent = false;         // bytes of the request may have been handed to a socket
    bool hasAlternative = false; // another destination could resume the request
    bool isStream = false;       // the head of a stream of events has arrived
    bool isUnusable = false;     // the answer must not be relayed
    bool isBeginRecorded = false;
    // Cancelled because the request was quarantined meanwhile, or before it was sent because the
    // gateway is isolated.
    bool isWithdrawn = false;
    bool isSuperseded = false; // cancelled because a replacement has delivered
    time_point silentSince{};  // when the silence was recorded; unset while there is none
    http_request request;
    std::optional<quarantine_watch> quarantineWatch;
    std::optional<open_attempt> openAttempt;
    std::optional<background_call> call; // of a replacement
    // After a change of the path, the attempt counts as silent from then on only.
    time_point quietUntil{};
    std::optional<running_stream_entry> runningStream; // of a stream through several engines

    // The first event may be the work of an engine that crashes while it begins to answer.
    bool hasSurelyBegun() const { return events.completeEvents() > 1; }
};

} // namespace fescuedeck

#endif
