// Reads from a socket as long as a deadline allows. Use it for all waits on input of another
// process.
//
// A busy event loop may run an expired timer before it reads bytes that have arrived in time, and a
// read that has completed may still be queued. The expiry alone does not prove that the sender is
// late. Therefore reads go on after it as long as they need not wait.
#ifndef FESCUEDECK_NET_DEADLINE_READER_H
#define FESCUEDECK_NET_DEADLINE_READER_H

#include <cstddef>
#include <utility>

#include <boost/asio/compose.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/bind_handler.hpp>

#include "fescuedeck/net/tcp_socket.h"

namespace fescuedeck::detail {

// An AsyncReadStream for use on the strand of the deadline, which startReading() has started. Fails
// with timed_out once the deadline has expired and nothing is there to read. The socket and the
// deadline must outlive it.
class deadline_reader
{
public:
    using executor_type = boost::asio::ip::tcp::socket::executor_type;

    deadline_reader(boost::asio::ip::tcp::socket &socket, const socket_deadline &deadline)
        : m_socket(socket)
        , m_deadline(deadline)
    {
    }

    // Asio prescribes these names.
    // NOLINTBEGIN(readability-identifier-naming)
    executor_type get_executor() { return m_socket.get_executor(); }

    template <class Buffers, class Token>
    auto async_read_some(const Buffers &buffers, Token &&token)
    {
        return boost::asio::async_compose<Token, void(boost::system::error_code, std::size_t)>(
                read_operation<Buffers>{ m_socket, m_deadline, buffers }, token, m_socket);
    }
    // NOLINTEND(readability-identifier-naming)

private:
    template <class Buffers>
    struct read_operation
    {
        template <class Operation>
        void operator()(Operation &operation)
        {
            if (deadline.mayRead())
                return read(operation);
            boost::asio::post(boost::beast::bind_front_handler(
                    std::move(operation), boost::asio::error::timed_out, std::size_t(0)));
        }

        template <class Operation>
        void operator()(Operation &operation, boost::system::error_code error, std::size_t count)
        {
            // Only the deadline cancels reads without closing the socket.
            const bool isCancelled
                    = error == boost::asio::error::operation_aborted && socket.is_open();
            if (isCancelled && deadline.mayRead())
                return read(operation);
            if (isCancelled)
                error = boost::asio::error::timed_out;
            operation.complete(error, count);
        }

        template <class Operation>
        void read(Operation &operation)
        {
            const Buffers target = buffers; // this object moves with the operation
            socket.async_read_some(target, std::move(operation));
        }

        boost::asio::ip::tcp::socket &socket;
        const socket_deadline &deadline;
        Buffers buffers;
    };

    boost::asio::ip::tcp::socket &m_socket;
    const socket_deadline &m_deadline;
};

} // namespace fescuedeck::detail

#endif
