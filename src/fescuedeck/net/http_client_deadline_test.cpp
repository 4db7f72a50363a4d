// Responses that arrive while a time limit of their call expires. Client and server share one
// thread, so that the test decides which steps of the event loop come before the response.
#include <array>

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "fescuedeck/net/http_client.h"
#include "fescuedeck/net/test_io.h"

namespace fescuedeck {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::chrono::milliseconds briefTimeout(40);
constexpr int maxSteps = 14;
constexpr int others = 4; // handlers of other parts that are ready together with the expiry

class stepped_call
{
public:
    explicit stepped_call(const call_options &options)
        : m_acceptor(m_serverContext, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_server(m_serverContext)
        , m_client(m_ioContext)
    {
        asio::spawn(m_ioContext, [this, options](asio::yield_context yield) {
            const std::string address = loopback(m_acceptor.local_endpoint().port());
            m_result = m_client.send(address, { "GET", "/", {}, "" }, options, yield);
        });
    }

    // Runs the client until its request has arrived.
    void awaitRequest()
    {
        m_ioContext.poll();
        m_acceptor.accept(m_server);
        m_server.set_option(tcp::no_delay(true));
        while (detail::probeSocket(m_server) == detail::socket_state::Quiet)
            m_ioContext.poll();
        char bytes[4096];
        m_server.read_some(asio::buffer(bytes));
    }

    void respond(const std::string &bytes) { asio::write(m_server, asio::buffer(bytes)); }
    bool isOpen() { return detail::probeSocket(m_server) != detail::socket_state::Closed; }
    // Ends the connection with a reset.
    void reset()
    {
        m_server.set_option(asio::socket_base::linger(true, 0));
        m_server.close();
    }
    asio::io_context &context() { return m_ioContext; }

    void addOthers()
    {
        for (int i = 0; i < others; ++i) {
            m_others.push_back(std::make_unique<asio::steady_timer>(m_ioContext, duration{}));
            m_others.back()->async_wait([](const boost::system::error_code &) {});
        }
    }

    bool succeeds()
    {
        const auto limit = std::chrono::steady_clock::now() + testWaitLimit;
        while (!m_result && std::chrono::steady_clock::now() < limit)
            m_ioContext.poll();
        return m_result && m_result->response;
    }

private:
    asio::io_context m_ioContext{ 1 };
    asio::io_context m_serverContext;
    tcp::acceptor m_acceptor;
    tcp::socket m_server;
    http_client m_client;
    std::optional<call_result> m_result;
    std::vector<std::unique_ptr<asio::steady_timer>> m_others;
};

// Lets the time pass without running the client.
void pass(duration time)
{
    std::this_thread::sleep_for(time + std::chrono::milliseconds(5));
}

struct split_response
{
    const char *before; // sent before the time limit starts
    const char *after;  // sent around its expiry
    bool isStall;       // whether the limit is that of a stall
};

} // namespace

// Guards against an attempt that counts as stalled or timed out although its response has arrived.
TEST_CASE("a response that arrives before its connection closes is read", "[net]")
{
    const char *head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no";
    const split_response response = GENERATE_COPY(
            split_response{ "", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false },
            split_response{ head, "k", false }, split_response{ head, "k", true });
    int succeeded = 0;
    int closed = 0;
    for (int steps = 0; steps < maxSteps; ++steps) {
        CAPTURE(response.before, response.isStall, steps);
        call_options options;
        options.timeout = response.isStall ? duration(testWaitLimit) : duration(briefTimeout);
        if (response.isStall) {
            const auto progressAt = std::make_shared<time_point>(steadyNow());
            options.timeUntilStall
                    = [=] { return *progressAt + duration(briefTimeout) - steadyNow(); };
            options.onBodyPart = [=](std::string_view) { *progressAt = steadyNow(); };
        }
        stepped_call call(options);
        call.awaitRequest();
        call.respond(response.before);
        call.context().poll();
        call.addOthers();
        pass(briefTimeout);
        for (int i = 0; i < steps; ++i)
            call.context().poll_one();
        if (!call.isOpen()) {
            ++closed;
            continue;
        }
        call.respond(response.after);
        const bool isReceived = call.succeeds();
        CHECK(isReceived);
        succeeded += isReceived ? 1 : 0;
    }
    CHECK(succeeded > 0);
    CHECK(closed > 0);
}

// Guards against a stream that passes as complete because a check for waiting input has met the
// reset of its connection before the read.
TEST_CASE("a reset during the expiry of a stall limit is no end of a response", "[net]")
{
    int asked = 0;
    call_options options;
    options.timeout = testWaitLimit;
    options.collectsBody = false;
    options.onBodyPart = [](std::string_view) {};
    // Like a stream that cannot be replaced, which is checked again and again.
    options.timeUntilStall = [&] {
        ++asked;
        return duration(briefTimeout);
    };
    stepped_call call(options);
    call.awaitRequest();
    call.respond("HTTP/1.1 200 OK\r\n\r\nid: 1\n\n");
    call.context().poll();
    const int askedBefore = asked;
    pass(briefTimeout);
    const ready_sockets sockets(call.context()); // reported before the reset
    call.reset();
    while (asked == askedBefore)
        call.context().poll_one(); // until the limit has expired
    CHECK_FALSE(call.succeeds());
}

// Guards against a busy event loop by which all attempts to connect fail together.
TEST_CASE("a connection that is made within the limit is used", "[net]")
{
    call_options options;
    options.timeout = testWaitLimit;
    options.connectTimeout = briefTimeout;
    stepped_call call(options);
    call.addOthers();
    pass(duration::zero());
    const ready_sockets sockets(call.context()); // reported after the timers of others
    call.context().poll_one();                   // begins to connect
    pass(briefTimeout);
    call.awaitRequest();
    call.respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK(call.succeeds());
}

} // namespace fescuedeck
