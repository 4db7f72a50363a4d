#include "fescuedeck/net/tcp_socket.h"

#include <array>

#include <catch2/catch.hpp>

#include "fescuedeck/net/test_io.h"

namespace fescuedeck {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using detail::probeSocket;
using detail::socket_state;
using tcp = asio::ip::tcp;

// Both ends of a connection.
struct connected_sockets
{
    connected_sockets()
    {
        tcp::acceptor acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        near.connect(acceptor.local_endpoint());
        acceptor.accept(far);
        far.set_option(tcp::no_delay(true));
    }

    bool becomes(socket_state state)
    {
        return eventually([&] { return probeSocket(near) == state; });
    }
    error_code readAll()
    {
        error_code error;
        std::array<char, 64> bytes{};
        while (!error)
            near.read_some(asio::buffer(bytes), error);
        return error;
    }

private:
    asio::io_context m_context;

public:
    tcp::socket near{ m_context };
    tcp::socket far{ m_context };
};

} // namespace

// Guards against callers and endpoints that count as silent or gone although they are not.
TEST_CASE("a probe tells input from an end and from silence", "[net]")
{
    connected_sockets sockets;
    CHECK(probeSocket(sockets.near) == socket_state::Quiet);
    asio::write(sockets.far, asio::buffer("x", 1));
    CHECK(sockets.becomes(socket_state::Readable));
    sockets.far.close();
    CHECK(sockets.becomes(socket_state::Readable)); // the input comes before the end
    CHECK(sockets.readAll() == asio::error::eof);
    CHECK(sockets.becomes(socket_state::Closed));
    sockets.near.close();
    CHECK(probeSocket(sockets.near) == socket_state::Closed);
}

// Guards against a caller that counts as gone, or input that counts as late, because a byte of
// urgent data comes before it.
TEST_CASE("a probe sees input behind urgent data", "[net]")
{
    connected_sockets sockets;
    sockets.far.send(asio::buffer("!", 1), tcp::socket::message_out_of_band);
    asio::write(sockets.far, asio::buffer("x", 1));
    CHECK(sockets.becomes(socket_state::Readable));
    sockets.far.close();
    CHECK(sockets.readAll() == asio::error::eof);
    CHECK(sockets.becomes(socket_state::Closed));
}

// Guards against answers and streams that pass as complete after a reset, because a probe has taken
// its error from the socket.
TEST_CASE("a probe leaves the error of a reset to the next read", "[net]")
{
    connected_sockets sockets;
    const bool hasInput = GENERATE(false, true);
    if (hasInput)
        asio::write(sockets.far, asio::buffer("x", 1));
    CHECK(sockets.becomes(hasInput ? socket_state::Readable : socket_state::Quiet));
    sockets.far.set_option(asio::socket_base::linger(true, 0));
    sockets.far.close();
    CHECK(sockets.becomes(hasInput ? socket_state::Readable : socket_state::Closed));
    CHECK(sockets.readAll() == asio::error::connection_reset);
}

} // namespace fescuedeck
