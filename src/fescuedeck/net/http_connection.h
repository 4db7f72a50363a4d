// One connection of an HTTP server: reads requests, calls the handler and writes the responses.
// Only the sources of the server include this file.
#ifndef FESCUEDECK_NET_HTTP_CONNECTION_H
#define FESCUEDECK_NET_HTTP_CONNECTION_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "fescuedeck/net/deadline_reader.h"
#include "fescuedeck/net/http_server_core.h"
#include "fescuedeck/net/tcp_socket.h"

namespace fescuedeck::detail {

// All members but the constructor and the destructor run on the strand.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(std::shared_ptr<http_server_core> core,
                    http_server_core::connection_number number, boost::asio::ip::tcp::socket socket,
                    const boost::asio::any_io_executor &strand);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    void run(boost::asio::yield_context yield);
    void refuse(boost::asio::yield_context yield);
    void beginDrain();
    // Closes the connection for a new one. Does nothing once a whole request has arrived, or a byte
    // of one since the connection was idle.
    void giveUpPlace();
    void close();

    const http_request &request() const { return m_request; }
    std::string callerAddress() const;
    void respond(const http_response &response);
    bool startStream(const http_response &head);
    bool writeChunk(const std::string &data);
    void finishStream();
    bool callerLeft();
    void onCallerLeft(std::function<void()> hook);
    const boost::asio::any_io_executor &strand() const { return m_strand; }
    boost::asio::yield_context yield() const { return *m_yield; }

private:
    void serveRequest();
    void enter(connection_phase phase);
    void noteProgress(std::size_t bytes);
    void closeIfIdle();
    bool mustEndWithResponse();
    void endSending();
    bool waitForRequest();
    duration idleTimeLeft() const;
    bool readRequest();
    void readHead(const http_server_limits &limits, boost::system::error_code &error);
    void parseHead(const http_server_limits &limits, boost::system::error_code &error);
    void receiveHead(boost::system::error_code &error);
    bool reserveHead();
    std::size_t extraHeadCost() const;
    bool sendContinue();
    bool reserveBody(std::size_t size);
    bool reserve(std::size_t size);
    void readBody(const http_server_limits &limits, boost::system::error_code &error);
    bool reserveGrowth();
    void refuseForMemory();
    void forgetContent();
    void loseMemory();
    void reject(const boost::system::error_code &error);
    void rejectFraming();
    connection_end_reason reasonOfFailedRead(const boost::system::error_code &error) const;
    bool isAnswered() const { return m_headSent && !m_isStreaming && !m_callerLeft; }
    void handleRequest();
    void runExchange();
    std::optional<std::string> callHandler();
    void endExchange();
    void lingerAndClose();
    void startWatch();
    void onReadable(std::uint64_t exchange, const boost::system::error_code &error);
    void markLeft(connection_end_reason reason);
    void setEndReason(connection_end_reason reason);
    connection_end_reason reasonAfterResponse() const;
    void noteInput();
    void reportEnd();
    template <class Operation>
    bool write(Operation operation);

    const std::shared_ptr<http_server_core> m_core;
    const http_server_core::connection_number m_number;
    const boost::asio::any_io_executor m_strand;
    boost::asio::ip::tcp::socket m_socket;
    socket_deadline m_deadline;
    deadline_reader m_reader;
    boost::beast::flat_buffer m_buffer;
    boost::asio::yield_context *m_yield = nullptr;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;

    std::optional<memory_holder> m_memory; // of the current request
    std::size_t m_bodyAllowance = 0;       // bytes of the body that are paid for
    std::size_t m_headBytes = 0;           // of the current request, as far as it is parsed
    std::size_t m_headLines = 0;

    http_request m_request;
    unsigned m_version = 11;
    connection_phase m_phase = connection_phase::Handling;
    std::size_t m_progress = 0; // bytes of the body since the last note of progress
    bool m_isIdle = false;
    bool m_isIdleTimeOver = false; // others need the connection
    time_point m_idleSince{};
    bool m_keepAlive = false;
    bool m_isHead = false;
    bool m_headSent = false;
    bool m_isStreaming = false;
    bool m_hasEndedSending = false; // the last response and the connection have ended
    bool m_callerLeft = false;
    bool m_isWatching = false;
    std::uint64_t m_exchange = 0; // tells the wait of an earlier exchange from the current one
    std::function<void()> m_leftHook;
    connection_end m_end;
    bool m_hasEndReason = false; // the first reason counts
    bool m_hasNotedInput = false;
};

} // namespace fescuedeck::detail

#endif
