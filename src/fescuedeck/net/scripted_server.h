// A server for tests that need answers which a real server never gives.
#ifndef FESCUEDECK_NET_SCRIPTED_SERVER_H
#define FESCUEDECK_NET_SCRIPTED_SERVER_H

#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace fescuedeck {

// Runs a script over blocking connections on a thread of its own. The destructor waits for the end
// of the script.
class scripted_server
{
public:
    using tcp = boost::asio::ip::tcp;

    explicit scripted_server(std::function<void(tcp::acceptor &)> script)
        : m_acceptor(m_ioContext, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_thread([this, script = std::move(script)] { script(m_acceptor); })
    {
    }
    ~scripted_server() { m_thread.join(); }
    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    boost::asio::io_context m_ioContext;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

// Reads the head of a request, with a body that ends with "body" if the request has one.
inline void readRequest(boost::asio::ip::tcp::socket &socket, const std::string &end = "body")
{
    std::string text;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), end);
}

} // namespace fescuedeck

#endif
