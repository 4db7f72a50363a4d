// Why a connection of an HTTP server ended, and what its caller had sent by then.
#ifndef FESCUEDECK_NET_CONNECTION_END_H
#define FESCUEDECK_NET_CONNECTION_END_H

#include <cstddef>
#include <string>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/net/http_message.h"

namespace fescuedeck {

enum class connection_end_reason {
    IdleTimeout, // no byte of a further request
    HeadTimeout,
    BodyTimeout,
    ClosedByCaller,         // before a whole request; also a reset
    CallerLeft,             // while its request was handled
    MalformedRequest,       // or a too large one, or one that the server cannot delimit
    ResponseEndsConnection, // as the caller asked, or by the version or framing of the response
    ResponseBrokenOff,      // a stream without its last chunk
    WriteFailed,
    WriteTimeout,
    ClosedBeforeHandler, // a whole request was read, but the socket was closed already
    Shutdown,
    TooManyConnections,
    IdleClosedForOthers, // the connections were used up
    PlaceTaken,          // the same, while a part of a request had arrived or after a response
    BodyRefused,         // no memory for it; the caller was told so
    MemoryReclaimed,     // the caller had stopped to send or to read
};

constexpr name_table<connection_end_reason, 17> connectionEndReasonNames = { {
        { connection_end_reason::IdleTimeout, "idle_timeout" },
        { connection_end_reason::HeadTimeout, "head_timeout" },
        { connection_end_reason::BodyTimeout, "body_timeout" },
        { connection_end_reason::ClosedByCaller, "closed_by_caller" },
        { connection_end_reason::CallerLeft, "caller_left" },
        { connection_end_reason::MalformedRequest, "malformed_request" },
        { connection_end_reason::ResponseEndsConnection, "response_ends_connection" },
        { connection_end_reason::ResponseBrokenOff, "response_broken_off" },
        { connection_end_reason::WriteFailed, "write_failed" },
        { connection_end_reason::WriteTimeout, "write_timeout" },
        { connection_end_reason::ClosedBeforeHandler, "closed_before_handler" },
        { connection_end_reason::Shutdown, "shutdown" },
        { connection_end_reason::TooManyConnections, "too_many_connections" },
        { connection_end_reason::IdleClosedForOthers, "idle_closed_for_others" },
        { connection_end_reason::PlaceTaken, "place_taken" },
        { connection_end_reason::BodyRefused, "body_refused" },
        { connection_end_reason::MemoryReclaimed, "memory_reclaimed" },
} };

struct connection_end
{
    connection_end_reason reason = connection_end_reason::ClosedByCaller;
    std::string caller;       // ip:port
    int answeredRequests = 0; // with a whole response handed to the socket
    // When the socket was closed: bytes that were not read from it, and bytes that were read but
    // belong to no request that was handled.
    std::size_t unreadBytes = 0;
    std::size_t bufferedBytes = 0;
    bool hasPartialRequest = false;
    bool hasUnansweredRequest = false; // the last request that was read whole
    http_request lastRequest;          // that was read whole

    // Whether a request may have been lost. A caller that leaves during its request loses nothing.
    bool isUnusual() const
    {
        const bool isCallersWish = reason == connection_end_reason::CallerLeft
                                   || reason == connection_end_reason::WriteFailed;
        // Their number may be large, and none of these requests has run.
        const bool isForOthers = reason == connection_end_reason::BodyRefused
                                 || reason == connection_end_reason::MemoryReclaimed
                                 || reason == connection_end_reason::PlaceTaken;
        if (isForOthers)
            return false;
        return unreadBytes > 0 || bufferedBytes > 0 || hasPartialRequest
               || (hasUnansweredRequest && !isCallersWish);
    }
};

} // namespace fescuedeck

#endif
