// The listener of an HTTP server and the state that its connections share. Only the sources of the
// server include this file.
#ifndef FESCUEDECK_NET_HTTP_SERVER_CORE_H
#define FESCUEDECK_NET_HTTP_SERVER_CORE_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "fescuedeck/net/connection_places.h"
#include "fescuedeck/net/http_server.h"

namespace fescuedeck::detail {

// Thread-safe. Hooks are set before listen().
class http_server_core : public std::enable_shared_from_this<http_server_core>
{
public:
    using connection_number = connection_places::connection_number;

    http_server_core(boost::asio::io_context &ioContext, http_server_limits serverLimits,
                     http_handler requestHandler)
        : handler(std::move(requestHandler))
        , m_ioContext(ioContext)
        , m_strand(boost::asio::make_strand(ioContext))
        , m_acceptor(ioContext)
        , m_pause(ioContext)
        , m_limits(std::make_shared<const http_server_limits>(serverLimits))
    {
    }

    boost::system::error_code listen(const boost::asio::ip::tcp::endpoint &endpoint);
    std::uint16_t port() const { return m_port; }
    void drainConnections();
    void stopAccepting();
    void closeAll();
    void remove(connection_number number);
    // The next two tell what decides about the connection's place.
    void setPhase(connection_number number, connection_phase phase);
    void noteProgress(connection_number number);

    std::shared_ptr<const http_server_limits> limits() const { return std::atomic_load(&m_limits); }
    void setLimits(const http_server_limits &limits)
    {
        std::atomic_store(&m_limits, std::make_shared<const http_server_limits>(limits));
    }

    const http_handler handler;
    std::function<void(const std::string &)> exceptionHook;
    std::function<void(const connection_end &)> endHook;
    memory_account *memory = nullptr; // null if bodies are not accounted
    memory_owner bodyOwner = memory_owner::CallerBodies;
    std::atomic<bool> keepsConnections{ true };
    std::atomic<bool> isDraining{ false };
    std::atomic<int> openExchanges{ 0 };
    std::atomic<int> openConnections{ 0 };

private:
    void acceptNext();
    void onAccept(const boost::system::error_code &error, boost::asio::ip::tcp::socket socket);
    void startConnection(boost::asio::ip::tcp::socket socket);
    void closeAcceptor();
    bool makeRoomFor(const std::string &host);
    template <class Function>
    void forEachConnection(Function function);

    boost::asio::io_context &m_ioContext;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::ip::tcp::acceptor m_acceptor; // used on m_strand after listen()
    boost::asio::steady_timer m_pause;
    std::shared_ptr<const http_server_limits> m_limits; // read and replaced atomically
    std::atomic<bool> m_hasStoppedAccepting{ false };
    std::uint16_t m_port = 0;
    // Leaf lock: nothing else is locked or called while it is held.
    std::mutex m_mutex;
    std::unordered_map<connection_number, std::weak_ptr<http_connection>> m_connections;
    connection_places m_places;
    connection_number m_lastNumber = 0;
};

} // namespace fescuedeck::detail

#endif
