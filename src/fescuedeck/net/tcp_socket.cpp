#include "fescuedeck/net/tcp_socket.h"

#include <charconv>
#include <cstdint>
#include <optional>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace fescuedeck {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// How long a sender whose time is up may go on with bytes that need no waiting. It bounds the time
// of one who sends without a pause.
constexpr duration lateReadLimit = std::chrono::milliseconds(250);
// How long a read of waiting input may take before the expiry hook is asked.
constexpr duration pendingReadTime = std::chrono::milliseconds(5);
// What poll() reports of a socket that its peer has closed, or that has failed.
constexpr int endEvents = POLLRDHUP | POLLHUP | POLLERR | POLLNVAL;

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, port);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return port;
}

} // namespace

result<tcp::endpoint> parseAddress(const std::string &address)
{
    const failure invalid = makeFailure(errc::InvalidSettings,
                                        "address \"" + address + "\" is not ip:port by number");
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        return invalid;
    std::string host = address.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const asio::ip::address ip = asio::ip::make_address(host, error);
    const auto port = parsePort(std::string_view(address).substr(colon + 1));
    if (error || !port || ip.is_v6() != isBracketed)
        return invalid;
    return tcp::endpoint(ip, *port);
}

std::string toAddress(const tcp::endpoint &endpoint)
{
    const std::string ip = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + ip + "]:" + port : ip + ":" + port;
}

namespace detail {

socket_state probeSocket(tcp::socket &socket)
{
    if (!socket.is_open())
        return socket_state::Closed;
    // A recv() with MSG_PEEK would take the error of a reset from the socket. The next read would
    // then report an orderly end.
    pollfd query{ socket.native_handle(), POLLIN | POLLRDHUP, 0 };
    if (::poll(&query, 1, 0) <= 0)
        return socket_state::Quiet;
    // Input behind urgent data is not counted as unread before the urgent data has been passed.
    const bool hasEnded = (query.revents & endEvents) != 0;
    return unreadBytes(socket) > 0 || !hasEnded ? socket_state::Readable : socket_state::Closed;
}

void holdBackWrites(tcp::socket &socket)
{
    const int isEnabled = 1;
    // Without the option, the end follows in a segment of its own.
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_CORK, &isEnabled, sizeof(isEnabled));
}

std::size_t unreadBytes(const tcp::socket &socket)
{
    boost::system::error_code error;
    const std::size_t count = socket.available(error);
    return error ? 0 : count;
}

asio::any_io_executor executorOf(const asio::yield_context &yield)
{
    return asio::get_associated_executor(yield.handler_);
}

// A pending wait is kept when the deadline moves later, so that most calls of start() only store a
// time instead of changing the timer queue.
struct socket_deadline::state : std::enable_shared_from_this<socket_deadline::state>
{
    state(const asio::any_io_executor &executor, tcp::socket &guarded)
        : strand(executor)
        , socket(&guarded)
        , timer(executor)
    {
    }

    void arm()
    {
        const std::uint64_t current = ++generation;
        wakeUp = deadline;
        timer.expires_at(wakeUp);
        timer.async_wait(asio::bind_executor(
                strand, [self = shared_from_this(), current](boost::system::error_code error) {
                    if (!error && self->generation == current)
                        self->wake();
                }));
    }

    void wake()
    {
        wakeUp = time_point::max();
        if (socket == nullptr || deadline == time_point::max())
            return;
        if (mustReadFirst()) {
            hasWaitedForRead = true;
            deadline = steadyNow() + pendingReadTime;
            arm();
            return;
        }
        const duration extra
                = extension && steadyNow() >= deadline ? extension() : duration::zero();
        if (extra > duration::zero())
            deadline = steadyNow() + extra;
        if (steadyNow() < deadline) {
            arm();
            return;
        }
        hasExpired = true;
        boost::system::error_code ignored;
        if (isForReading) {
            readsUntil = steadyNow() + lateReadLimit;
            socket->cancel(ignored);
            return;
        }
        if (closeHook)
            closeHook();
        socket->close(ignored);
    }

    // Whether input waits that the event loop has not read yet, because it was busy. The hook must
    // not judge the silence of the sender before.
    bool mustReadFirst() const
    {
        return isForReading && extension && !hasWaitedForRead && steadyNow() >= deadline
               && probeSocket(*socket) == socket_state::Readable;
    }

    asio::any_io_executor strand;
    tcp::socket *socket;
    asio::steady_timer timer;
    time_point deadline = time_point::max();
    time_point wakeUp = time_point::max(); // expiry of the pending wait, max if there is none
    std::uint64_t generation = 0;
    bool isForReading = false;
    bool hasExpired = false;
    bool hasWaitedForRead = false; // since the deadline was started
    time_point readsUntil{};       // after the expiry of a deadline for reading
    std::function<duration()> extension;
    std::function<void()> closeHook;
};

socket_deadline::socket_deadline(const asio::any_io_executor &strand, tcp::socket &socket)
    : m_state(std::make_shared<state>(strand, socket))
{
}

socket_deadline::~socket_deadline()
{
    m_state->socket = nullptr;
    ++m_state->generation;
    boost::system::error_code ignored;
    m_state->timer.cancel(ignored);
}

void socket_deadline::start(duration timeout)
{
    start(timeout, false);
}

void socket_deadline::startReading(duration timeout)
{
    const bool isLate = m_state->isForReading && m_state->hasExpired;
    if (timeout > duration::zero() || !isLate)
        start(timeout, true);
}

void socket_deadline::start(duration timeout, bool isForReading)
{
    if (m_state->isForReading)
        m_state->hasExpired = false; // the socket is still open
    m_state->isForReading = isForReading;
    m_state->hasWaitedForRead = false;
    m_state->deadline = steadyNow() + timeout;
    if (m_state->deadline < m_state->wakeUp)
        m_state->arm();
}

void socket_deadline::onExpiry(std::function<duration()> extension)
{
    m_state->extension = std::move(extension);
}

void socket_deadline::beforeClose(std::function<void()> hook)
{
    m_state->closeHook = std::move(hook);
}

void socket_deadline::stop()
{
    m_state->deadline = time_point::max();
}

bool socket_deadline::hasExpired() const
{
    return m_state->hasExpired;
}

bool socket_deadline::mayRead() const
{
    if (!m_state->hasExpired)
        return true;
    return m_state->socket != nullptr && steadyNow() < m_state->readsUntil
           && probeSocket(*m_state->socket) != socket_state::Quiet;
}

} // namespace detail
} // namespace fescuedeck
