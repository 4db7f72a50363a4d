// HTTP/1.1 server. Use it for callers and operators, and for stand-ins in tests.
//
// Each connection is one coroutine on its own strand of the shared io_context, so any number of
// threads may run the io_context. The handler runs inside that coroutine and may wait on anything
// with exchange.yield(). It must not block the thread.
#ifndef FESCUEDECK_NET_HTTP_SERVER_H
#define FESCUEDECK_NET_HTTP_SERVER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/time.h"
#include "fescuedeck/net/connection_end.h"
#include "fescuedeck/net/http_message.h"
#include "fescuedeck/net/memory_account.h"

namespace fescuedeck {

namespace detail {
class http_connection;
class http_server_core;
} // namespace detail

struct http_server_limits
{
    std::size_t maxHeaderBytes = 16 * 1024; // 64 KiB at most, whatever is set
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    int maxConnections = 4096;
    // Beyond maxConnections, one that is idle or whose request stands still is closed for a new
    // connection, preferably one of the caller's host that has the most. The new one is refused
    // only if there is none.
    bool closesWaitingForNew = false;
    duration headerTimeout = std::chrono::seconds(10); // from the first byte of a request
    duration bodyTimeout = std::chrono::seconds(30);
    duration idleTimeout = std::chrono::seconds(75);  // between requests
    duration writeTimeout = std::chrono::seconds(10); // of one response or chunk
    // How long an idle connection stays open after stopAccepting(), so that a request that is
    // already on its way is answered instead of cut off.
    duration drainGrace = std::chrono::milliseconds(500);
};

// One request and its response. All members are called on the strand of the connection, that is,
// from the handler. Valid until the handler returns.
class http_exchange
{
public:
    explicit http_exchange(detail::http_connection &connection)
        : m_connection(connection)
    {
    }
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;

    const http_request &request() const;
    // ip:port of the caller.
    std::string callerAddress() const;

    // Sends the whole response. Only the first response of an exchange is sent.
    void respond(const http_response &response);

    // Sends the status and headers; the body follows in chunks. False if the caller has left.
    bool startStream(const http_response &head);
    // Waits until the chunk is handed to the socket. False if the caller has left or reads too
    // slowly; the connection is then closed.
    bool writeChunk(const std::string &data);
    // A stream that is not finished when the handler returns ends without the final chunk, by which
    // the caller sees that it is incomplete.
    void finishStream();

    // Whether the caller has closed its connection or its sending side. A caller that has sent
    // further requests ahead of this response is noticed only when a write to it fails.
    bool callerLeft() const;
    // Calls the hook once, on the strand of the connection, when the caller leaves before the
    // handler returns. The hook replaces an earlier one.
    void onCallerLeft(std::function<void()> hook);

    boost::asio::yield_context yield() const;

private:
    detail::http_connection &m_connection;
};

using http_handler = std::function<void(http_exchange &)>;

// Malformed and oversized requests are answered without calling the handler. A handler that throws
// or that does not respond gives status 500.
class http_server
{
public:
    http_server(boost::asio::io_context &ioContext, http_server_limits limits,
                http_handler handler);
    // Closes all connections. Whatever the handler refers to must live until open exchanges have
    // ended or the io_context has been stopped.
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    // Gets what() of each exception that a handler throws. Set before listen().
    void onHandlerException(std::function<void(const std::string &)> hook);
    // Gets the end of each connection, on its strand, after its socket was closed. Connections that
    // end with the io_context are not reported. Set before listen().
    void onConnectionEnd(std::function<void(const connection_end &)> hook);

    // From now on bodies of requests are read only if the account grants their memory to the owner,
    // and responses count as pending answers. Otherwise the request is refused with status 503. The
    // io_context must run on one thread, and the account must outlive the connections. Set before
    // listen().
    void useMemory(memory_account &account, memory_owner owner);

    // address is ip:port; port 0 picks a free one.
    std::error_code listen(const std::string &address);
    std::uint16_t port() const;

    // Limits of requests that are read from now on. A longer idle timeout also applies to
    // connections that are idle now, a shorter one from their next idle time on. Thread-safe.
    void setLimits(const http_server_limits &limits);

    // From now on each response tells its caller to close the connection. New connections are still
    // accepted. Thread-safe.
    void stopKeepingConnections();
    // In addition, closes connections that are idle for drainGrace from now on. New connections are
    // still accepted. Thread-safe.
    void drainConnections();
    // Closes the listener, lets open exchanges finish, tells callers to close their connections and
    // closes idle ones after drainGrace. Thread-safe.
    void stopAccepting();
    // Exchanges from the first byte of the request to the end of the response. Thread-safe.
    int openExchanges() const;
    // Thread-safe.
    int openConnections() const;

private:
    std::shared_ptr<detail::http_server_core> m_core;
};

} // namespace fescuedeck

#endif
