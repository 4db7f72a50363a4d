// Fixture of the tests that use sockets: an io_context run by several threads and raw connections.
// Waits have a generous limit after which the test fails; no verdict depends on how fast a step is.
#ifndef FESCUEDECK_NET_TEST_IO_H
#define FESCUEDECK_NET_TEST_IO_H

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/write.hpp>

#include "fescuedeck/net/tcp_socket.h"

namespace fescuedeck {

constexpr std::chrono::seconds testWaitLimit(60);

// A value that a coroutine sets once and the test's thread waits for.
//
// std::promise does not serve here, because its functions use thread-local storage. A coroutine may
// continue on another thread after each wait, while compiled code still uses the address of that
// storage on the thread before.
template <class Value>
class awaited_value
{
public:
    void set(Value value)
    {
        const std::lock_guard lock(m_mutex);
        m_value = std::move(value);
        m_isSet.notify_all();
    }

    Value wait()
    {
        std::unique_lock lock(m_mutex);
        // Thrown rather than asserted: Catch2's assertions are for the main thread only.
        if (!m_isSet.wait_for(lock, testWaitLimit, [this] { return m_value.has_value(); }))
            throw std::runtime_error("the value was not set within the limit");
        return std::move(*m_value);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_isSet;
    std::optional<Value> m_value;
};

// Runs an io_context on several threads until destroyed.
class test_io
{
public:
    explicit test_io(int threads = 3)
        : m_work(boost::asio::make_work_guard(m_ioContext))
    {
        for (int i = 0; i < threads; ++i)
            m_threads.emplace_back([this] { m_ioContext.run(); });
    }
    ~test_io() { stop(); }
    test_io(const test_io &) = delete;
    test_io &operator=(const test_io &) = delete;

    void stop()
    {
        m_ioContext.stop();
        for (std::thread &thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    boost::asio::io_context &context() { return m_ioContext; }

    // Runs a function in a coroutine and returns its value.
    template <class Function>
    auto run(Function function)
    {
        using value_type = decltype(function(std::declval<boost::asio::yield_context>()));
        const auto returned = std::make_shared<awaited_value<value_type>>();
        boost::asio::spawn(m_ioContext, [=](boost::asio::yield_context yield) {
            returned->set(function(yield));
        });
        return returned->wait();
    }

private:
    boost::asio::io_context m_ioContext;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
};

// Whether the condition becomes true within the limit.
inline bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + testWaitLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

inline std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// A blocking connection that sends and receives bytes as they are.
class raw_connection
{
public:
    explicit raw_connection(std::uint16_t port)
        : m_socket(m_ioContext)
    {
        m_socket.connect(parseAddress(loopback(port)).value());
    }
    explicit raw_connection(boost::asio::ip::tcp::acceptor &acceptor)
        : m_socket(m_ioContext)
    {
        acceptor.accept(m_socket);
    }

    void send(const std::string &bytes)
    {
        boost::system::error_code ignored; // the other end may close early
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    // Reads until the bytes received since the last call contain the mark or the connection ends.
    std::string receiveUntil(const std::string &mark)
    {
        boost::system::error_code error;
        while (m_received.find(mark) == std::string::npos && !error) {
            char bytes[4096];
            m_received.append(bytes, m_socket.read_some(boost::asio::buffer(bytes), error));
        }
        m_wasReset = m_wasReset || error == boost::asio::error::connection_reset;
        return std::exchange(m_received, std::string());
    }
    std::string receiveAll() { return receiveUntil("\x01 never sent \x01"); }
    // Whether the other end has closed the connection and all its bytes were received.
    bool hasEnded() { return detail::probeSocket(m_socket) == detail::socket_state::Closed; }
    // Whether receiving has ended with a reset in place of an orderly end.
    bool wasReset() const { return m_wasReset; }
    // Ends the sending only, in order.
    void endSending() { m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }
    void close() { m_socket.close(); }
    void reset()
    {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        m_socket.close();
    }

private:
    boost::asio::io_context m_ioContext;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
    bool m_wasReset = false;
};

// Sockets with input that is not read. The reactor takes a limited number of events at a time, so
// that expired timers run before events that are reported later.
class ready_sockets
{
public:
    explicit ready_sockets(boost::asio::io_context &ioContext)
    {
        using local = boost::asio::local::stream_protocol;
        for (int i = 0; i < 300; ++i) {
            auto &pair = m_pairs.emplace_back(local::socket(ioContext), local::socket(ioContext));
            boost::asio::local::connect_pair(pair.first, pair.second);
            boost::asio::write(pair.first, boost::asio::buffer("x", 1));
            pair.second.async_wait(local::socket::wait_read,
                                   [](const boost::system::error_code &) {});
        }
    }

private:
    std::vector<std::pair<boost::asio::local::stream_protocol::socket,
                          boost::asio::local::stream_protocol::socket>>
            m_pairs;
};

} // namespace fescuedeck

#endif
