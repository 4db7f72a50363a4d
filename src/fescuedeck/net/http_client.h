// HTTP/1.1 client with a pool of idle connections per address. Use it for all calls to endpoints
// and platform services.
#ifndef FESCUEDECK_NET_HTTP_CLIENT_H
#define FESCUEDECK_NET_HTTP_CLIENT_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/net/connection_observer.h"
#include "fescuedeck/net/http_message.h"
#include "fescuedeck/net/memory_account.h"
#include "fescuedeck/net/response_check.h"

namespace fescuedeck {

namespace detail {
class http_call;
class http_client_core;
class cancellation_state;
} // namespace detail

// Cancels a call from another coroutine or thread. Copies refer to the same cancellation; it stays
// cancelled, so that further calls with it fail at once. One call may use it at a time.
class call_cancellation
{
public:
    call_cancellation();

    // Closes the connection of the call in progress, which then fails with ConnectionClosed.
    // Thread-safe.
    void cancel();
    bool isCancelled() const;

private:
    friend class detail::http_call;
    std::shared_ptr<detail::cancellation_state> m_state;
};

struct call_options
{
    duration timeout = std::chrono::seconds(10); // of the whole call, connecting included
    duration connectTimeout{};                   // a shorter limit within it; zero sets none
    // Time that is left until the call counts as stalled. It is asked for before each wait for the
    // response's head or a part of its body, and again when that time has passed. The call fails
    // with Timeout once it is zero or less. It applies only if onBodyPart is set. The owner decides
    // what counts as progress, so received bytes alone do not extend the time.
    std::function<duration()> timeUntilStall;
    // Opens a new connection instead of reusing an idle one.
    bool freshConnection = false;
    // Id that responses repeat; empty if they repeat none. A request that has got an error response
    // does not use the same connection again before the timeout has passed, because a faulty server
    // may send a copy of that response there, under the same id.
    std::string requestId;
    // A call that fails on a reused connection before any byte of the response is sent once more on
    // a new connection. Without this flag that happens only if no byte had been written.
    bool idempotent = false;
    std::optional<call_cancellation> cancellation;
    // Whether a response with this head belongs to the request. On a reused connection, additional
    // responses to earlier requests may arrive late. Without this hook every response belongs to
    // the request.
    std::function<bool(const http_response &head, bool isReusedConnection)> isExpected;
    // How long the call waits for its response after one that is not expected; zero if it fails at
    // once. The connection serves no further requests then.
    duration waitAfterUnexpected{};
    // Called, on the strand of the caller, before bytes of the request are handed to a socket. A
    // call that is cancelled before has certainly not been sent.
    std::function<void()> onSending;
    // Gets status and headers before the body arrives, on the strand of the caller.
    std::function<void(const http_response &)> onHead;
    // Gets each part of the response body as it arrives, on the strand of the caller.
    std::function<void(std::string_view)> onBodyPart;
    // Whether a collected body of announced length waits until there is memory for it. Otherwise it
    // is read at once, as are small ones. Applies to a client with a memory account.
    bool waitsForMemory = false;
    // Whether the body is also collected in the response when onBodyPart is set.
    bool collectsBody = true;
};

struct call_result
{
    result<http_response> response;
    // False only if no byte of the request was handed to a socket.
    bool mayHaveBeenSent = false;
    // Whether the request went out on a connection that had served others before.
    bool reusedConnection = false;
    // Local port of that connection, which tells the connections to an address apart; 0 if there
    // was none.
    std::uint16_t localPort = 0;
    // Set if the call failed with InvalidMessage because its response is malformed.
    std::optional<response_fault> fault = std::nullopt;
    // Whether writing the request failed before its end.
    bool isRequestCut = false;
    // Whether the response announced neither a length nor chunks, so that only the end of the
    // connection tells where its body ends.
    bool endsWithConnection = false;
};

struct http_client_limits
{
    std::size_t maxResponseHeaderBytes = 16 * 1024; // 64 KiB at most, whatever is set
    std::size_t maxResponseBytes = 16 * 1024 * 1024;
    // Of all response bodies that are collected at the same time. Once it is exceeded, those that
    // are larger than an equal share of it fail, so that small ones go on.
    std::size_t maxCollectedBytes = 48 * 1024 * 1024;
    int maxIdlePerAddress = 64;
    // Idle connections beyond this age are closed. It must be below the idle timeout of the
    // servers, so that a request rarely meets a connection that the server is closing.
    duration maxIdleAge = std::chrono::seconds(15);
};

// Thread-safe. A connection is returned to the pool only after a complete response with nothing
// behind it; a call that fails in any way closes its connection.
//
// Failures: ConnectionFailed (no connection), Timeout, ConnectionClosed (by the other end or by
// cancellation), TooLarge (response), InvalidMessage (response is malformed, or belongs to another
// request), InvalidRequest and InvalidSettings (the request or address cannot be sent).
class http_client
{
public:
    explicit http_client(boost::asio::io_context &ioContext, http_client_limits limits = {});
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    // address is ip:port.
    call_result send(const std::string &address, const http_request &request,
                     const call_options &options, boost::asio::yield_context yield);

    // From now on collected bodies count in the account. The io_context must run on one thread, and
    // the account must outlive the calls. Call it before the first request.
    void useMemory(memory_account &account);
    // Opens a connection to the address within the limit and keeps it for later requests. Returns
    // whether that succeeded.
    bool openIdle(const std::string &address, duration limit, boost::asio::yield_context yield);
    // Sets who is told about each attempt to open a connection. Not thread-safe: call it before the
    // first request.
    void observeConnections(connection_observer observer);
    // Sets who is told, on the strand of the call, about each malformed response of an address. Not
    // thread-safe: call it before the first request.
    void observeMalformedResponses(
            std::function<void(const std::string &address, response_fault fault)> observer);
    // Closes the idle connections to an address, for example when its host is leaving.
    void dropIdle(const std::string &address);
    int idleConnections() const;

private:
    std::shared_ptr<detail::http_client_core> m_core;
};

} // namespace fescuedeck

#endif
