// Helpers for TCP sockets that the HTTP server, the HTTP client and the peer network share:
// addresses by number, a check of an idle socket, and a deadline that closes a socket.
#ifndef FESCUEDECK_NET_TCP_SOCKET_H
#define FESCUEDECK_NET_TCP_SOCKET_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/time.h"

namespace fescuedeck {

// "127.0.0.1:80" or "[::1]:80"; names are not resolved.
result<boost::asio::ip::tcp::endpoint> parseAddress(const std::string &address);
std::string toAddress(const boost::asio::ip::tcp::endpoint &endpoint);

namespace detail {

enum class socket_state {
    Quiet, // open, nothing to read
    Readable,
    Closed, // closed by the peer, or failed
};

// Looks at the socket without waiting. Takes neither bytes nor an error, such as a reset, from it.
socket_state probeSocket(boost::asio::ip::tcp::socket &socket);

// Keeps what is written from now on in the kernel until the sending side is shut down, so that the
// last bytes and the end of the connection leave in one segment. Bytes that fill a segment leave at
// once.
void holdBackWrites(boost::asio::ip::tcp::socket &socket);

// Bytes that have arrived and were not read; 0 if the socket is closed.
std::size_t unreadBytes(const boost::asio::ip::tcp::socket &socket);

// The strand on which the coroutine runs.
boost::asio::any_io_executor executorOf(const boost::asio::yield_context &yield);

// Closes a socket, or ends the reading from it, when a time has passed. All calls and the expiry
// happen on the given strand. The socket must outlive this object.
class socket_deadline
{
public:
    socket_deadline(const boost::asio::any_io_executor &strand,
                    boost::asio::ip::tcp::socket &socket);
    ~socket_deadline();
    socket_deadline(const socket_deadline &) = delete;
    socket_deadline &operator=(const socket_deadline &) = delete;

    // Replaces the running deadline by one that closes the socket.
    void start(duration timeout);
    // Replaces the running deadline by one that ends the waits of a deadline_reader and leaves the
    // socket open. Without effect if the timeout is zero or less and such a deadline has expired,
    // so that the time in which late bytes are read is not prolonged.
    void startReading(duration timeout);
    // Sets a function that is asked when a deadline has passed. The deadline expires if it returns
    // zero or less, otherwise it is extended by the returned time.
    void onExpiry(std::function<duration()> extension);
    // Sets a function that is called just before the socket is closed.
    void beforeClose(std::function<void()> hook);
    void stop();
    // Whether the deadline that was started last has expired, or an earlier one has closed the
    // socket.
    bool hasExpired() const;
    // Whether a read may begin or go on: the deadline has not expired, or there is something to
    // read and the short time in which that is still read is not over.
    bool mayRead() const;

private:
    void start(duration timeout, bool isForReading);

    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace detail
} // namespace fescuedeck

#endif
