#include "fescuedeck/net/http_server.h"

#include <algorithm>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>

#include "fescuedeck/net/http_connection.h"
#include "fescuedeck/net/http_server_core.h"

namespace fescuedeck {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

// Handlers parse JSON and run the router's logic on this stack; pages are used on first touch.
constexpr std::size_t coroutineStackBytes = 256 * 1024;
constexpr int listenBacklog = 1024;
// Connections beyond the limit that are told so at the same time; further ones are just closed.
constexpr int maxRefusals = 64;
// Of the limit, so that refusals do not use up the descriptors of a small host.
constexpr int refusalsDivisor = 8;
// Pause after a failed accept, for example when file descriptors have run out.
constexpr duration acceptPause = std::chrono::milliseconds(100);

// Of the other end, without the port. Empty if it has left.
std::string hostOf(const tcp::socket &socket)
{
    error_code error;
    const tcp::endpoint endpoint = socket.remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string();
}

} // namespace

namespace detail {

error_code http_server_core::listen(const tcp::endpoint &endpoint)
{
    error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(listenBacklog, error);
    if (error) {
        error_code ignored;
        m_acceptor.close(ignored);
        return error;
    }
    m_port = m_acceptor.local_endpoint(error).port();
    asio::post(m_strand, [self = shared_from_this()] { self->acceptNext(); });
    return error;
}

void http_server_core::acceptNext()
{
    if (!m_acceptor.is_open() || m_hasStoppedAccepting)
        return;
    const asio::any_io_executor executor = m_ioContext.get_executor();
    m_acceptor.async_accept(executor, asio::bind_executor(m_strand, [self = shared_from_this()](
                                                                            const error_code &error,
                                                                            tcp::socket socket) {
                                self->onAccept(error, std::move(socket));
                            }));
}

void http_server_core::onAccept(const error_code &error, tcp::socket socket)
{
    if (error == asio::error::operation_aborted)
        return;
    if (!error) {
        startConnection(std::move(socket));
        acceptNext();
        return;
    }
    m_pause.expires_after(acceptPause);
    m_pause.async_wait(asio::bind_executor(
            m_strand, [self = shared_from_this()](const error_code &) { self->acceptNext(); }));
}

void http_server_core::startConnection(tcp::socket socket)
{
    const auto limits = this->limits();
    const int count = openConnections + 1;
    const std::string host = hostOf(socket);
    const bool isRefused
            = count > limits->maxConnections && !(limits->closesWaitingForNew && makeRoomFor(host));
    const int refusals = std::min(maxRefusals, limits->maxConnections / refusalsDivisor + 1);
    if (isRefused && count > limits->maxConnections + refusals)
        return;
    ++openConnections;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const asio::strand<asio::io_context::executor_type> strand = asio::make_strand(m_ioContext);
    const connection_number number = ++m_lastNumber;
    auto connection = std::make_shared<http_connection>(shared_from_this(), number,
                                                        std::move(socket), strand);
    {
        const std::lock_guard lock(m_mutex);
        m_connections.emplace(number, connection);
        m_places.add(number, host);
    }
    asio::spawn(
            strand,
            [connection = std::move(connection), isRefused](const asio::yield_context &yield) {
                if (isRefused)
                    connection->refuse(yield);
                else
                    connection->run(yield);
            },
            boost::coroutines::attributes(coroutineStackBytes));
}

// Returns false if no connection gives up its place.
bool http_server_core::makeRoomFor(const std::string &host)
{
    std::shared_ptr<http_connection> connection;
    {
        const std::lock_guard lock(m_mutex);
        while (!connection) {
            const auto number = m_places.takeFor(host, steadyNow());
            if (!number)
                return false;
            connection = m_connections.at(*number).lock(); // null if it is being removed
        }
    }
    asio::post(connection->strand(), [connection] { connection->giveUpPlace(); });
    return true;
}

void http_server_core::setPhase(connection_number number, connection_phase phase)
{
    const std::lock_guard lock(m_mutex);
    m_places.setPhase(number, phase, steadyNow());
}

void http_server_core::noteProgress(connection_number number)
{
    const std::lock_guard lock(m_mutex);
    m_places.noteProgress(number, steadyNow());
}

void http_server_core::remove(connection_number number)
{
    --openConnections;
    const std::lock_guard lock(m_mutex);
    m_places.remove(number);
    m_connections.erase(number);
}

template <class Function>
void http_server_core::forEachConnection(Function function)
{
    std::vector<std::shared_ptr<http_connection>> connections;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &entry : m_connections) {
            if (auto connection = entry.second.lock())
                connections.push_back(std::move(connection));
        }
    }
    for (const auto &connection : connections)
        asio::post(connection->strand(), [connection, function] { function(*connection); });
}

void http_server_core::drainConnections()
{
    keepsConnections = false;
    isDraining = true;
    forEachConnection([](http_connection &connection) { connection.beginDrain(); });
}

void http_server_core::stopAccepting()
{
    keepsConnections = false;
    isDraining = true;
    m_hasStoppedAccepting = true;
    asio::post(m_strand, [self = shared_from_this()] { self->closeAcceptor(); });
}

// Connections that the kernel has accepted already are served, because closing the listener would
// reset them.
void http_server_core::closeAcceptor()
{
    if (!m_acceptor.is_open())
        return;
    error_code error;
    m_acceptor.non_blocking(true, error);
    for (int i = 0; i < listenBacklog && !error; ++i) {
        tcp::socket socket(m_ioContext);
        m_acceptor.accept(socket, error);
        if (!error)
            startConnection(std::move(socket));
    }
    m_acceptor.close(error);
    m_pause.cancel(error);
    forEachConnection([](http_connection &connection) { connection.beginDrain(); });
}

void http_server_core::closeAll()
{
    forEachConnection([](http_connection &connection) { connection.close(); });
}

} // namespace detail

const http_request &http_exchange::request() const
{
    return m_connection.request();
}

std::string http_exchange::callerAddress() const
{
    return m_connection.callerAddress();
}

void http_exchange::respond(const http_response &response)
{
    m_connection.respond(response);
}

bool http_exchange::startStream(const http_response &head)
{
    return m_connection.startStream(head);
}

bool http_exchange::writeChunk(const std::string &data)
{
    return m_connection.writeChunk(data);
}

void http_exchange::finishStream()
{
    m_connection.finishStream();
}

bool http_exchange::callerLeft() const
{
    return m_connection.callerLeft();
}

void http_exchange::onCallerLeft(std::function<void()> hook)
{
    m_connection.onCallerLeft(std::move(hook));
}

asio::yield_context http_exchange::yield() const
{
    return m_connection.yield();
}

http_server::http_server(asio::io_context &ioContext, http_server_limits limits,
                         http_handler handler)
    : m_core(std::make_shared<detail::http_server_core>(ioContext, limits, std::move(handler)))
{
}

http_server::~http_server()
{
    m_core->stopAccepting();
    m_core->closeAll();
}

void http_server::onHandlerException(std::function<void(const std::string &)> hook)
{
    m_core->exceptionHook = std::move(hook);
}

void http_server::onConnectionEnd(std::function<void(const connection_end &)> hook)
{
    m_core->endHook = std::move(hook);
}

void http_server::useMemory(memory_account &account, memory_owner owner)
{
    m_core->memory = &account;
    m_core->bodyOwner = owner;
}

std::error_code http_server::listen(const std::string &address)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint)
        return endpoint.error().code;
    return m_core->listen(endpoint.value());
}

void http_server::setLimits(const http_server_limits &limits)
{
    m_core->setLimits(limits);
}

std::uint16_t http_server::port() const
{
    return m_core->port();
}

void http_server::stopKeepingConnections()
{
    m_core->keepsConnections = false;
}

void http_server::drainConnections()
{
    m_core->drainConnections();
}

void http_server::stopAccepting()
{
    m_core->stopAccepting();
}

int http_server::openExchanges() const
{
    return m_core->openExchanges;
}

int http_server::openConnections() const
{
    return m_core->openConnections;
}

} // namespace fescuedeck
