#include "fescuedeck/net/http_connection.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/coroutine/exceptions.hpp>
#include <sys/socket.h>

namespace fescuedeck {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

using boost::system::error_code;

// Time and bytes for which a closing connection is still read, because closing a socket with unread
// input discards the response that was just sent.
constexpr duration lingerTimeout = std::chrono::seconds(1);
constexpr std::size_t maxLingerBytes = 8 * 1024 * 1024;
// Buffers of connections that wait or linger, of which there may be many.
constexpr std::size_t idleBufferBytes = 8 * 1024;
// What is paid for a body: the buffer and stack that its connection uses meanwhile, and the body
// itself, the copy that is forwarded, and a second such copy or one for the fingerprint.
constexpr std::size_t bodyOverheadBytes = 32 * 1024;
constexpr std::size_t bodyCopies = 3;
// A body without an announced length is paid for in steps, from this size on, each twice the last.
// The cost of a chunk is that of its bytes, because the parser keeps nothing else of it.
constexpr std::size_t firstAllowanceBytes = 8 * 1024;
// What a head costs: for each line, the field of the parser, its copy in the request and the one
// that is forwarded; and the bytes themselves, as often. The connections' own memory covers heads
// up to freeHeadCost, which is several times that of an ordinary head.
constexpr std::size_t headLineCost = 256;
constexpr std::size_t headCopies = 3;
constexpr std::size_t freeHeadCost = 16 * 1024;
// A response and the answer of the endpoint that it was made from.
constexpr std::size_t answerCopies = 2;

bool isHttpError(const error_code &error)
{
    return error.category() == http::make_error_code(http::error::bad_target).category();
}

// Without the port.
std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

std::optional<http_response> rejection(const error_code &error, const http_server_limits &limits)
{
    if (error == http::error::body_limit) {
        const std::string limit = std::to_string(limits.maxBodyBytes);
        return errorResponse(413,
                             makeFailure(errc::TooLarge, "the body exceeds " + limit + " bytes"),
                             "not-run");
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        const std::string limit = std::to_string(limits.maxHeaderBytes);
        return errorResponse(431,
                             makeFailure(errc::TooLarge, "the headers exceed " + limit + " bytes"),
                             "not-run");
    }
    const bool isClosed
            = error == http::error::end_of_stream || error == http::error::partial_message;
    if (!isHttpError(error) || isClosed)
        return std::nullopt;
    return errorResponse(
            400, makeFailure(errc::InvalidRequest, "malformed HTTP request: " + error.message()),
            "not-run");
}

template <class Body>
http::response<Body> toBeastHead(const http_response &response, unsigned version, bool keepAlive)
{
    http::response<Body> message;
    message.version(version);
    message.result(static_cast<unsigned>(response.status));
    for (const http_header &header : response.headers) {
        if (isValidHeader(header) && !detail::isFramingHeader(header.name))
            message.insert(header.name, header.value);
    }
    message.keep_alive(keepAlive);
    return message;
}

http_request toRequest(http::request<http::string_body> &&message)
{
    http_request request;
    request.headers.reserve(
            static_cast<std::size_t>(std::distance(message.begin(), message.end())));
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    request.body = std::move(message.body());
    return request;
}

// Whether the parser cannot tell where the body ends. It would take the body's bytes for further
// requests.
bool hasUnknownFraming(const http::request<http::string_body> &message)
{
    return message.find(http::field::transfer_encoding) != message.end() && !message.chunked();
}

bool hasBody(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

// Whether the kernel ends the connection with a reset, also if the process ends or the socket is
// destroyed. The socket's own option does not serve, because its destructor would clear it.
void setEndsWithReset(tcp::socket &socket, bool isEnabled)
{
    linger option{};
    option.l_onoff = isEnabled ? 1 : 0;
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

} // namespace

namespace detail {

http_connection::http_connection(std::shared_ptr<http_server_core> core,
                                 http_server_core::connection_number number, tcp::socket socket,
                                 const asio::any_io_executor &strand)
    : m_core(std::move(core))
    , m_number(number)
    , m_strand(strand)
    , m_socket(std::move(socket))
    , m_deadline(strand, m_socket)
    , m_reader(m_socket, m_deadline)
    , m_buffer(parseBufferBytes)
{
    m_deadline.beforeClose([this] { noteInput(); });
    m_end.caller = callerAddress();
}

http_connection::~http_connection()
{
    m_core->remove(m_number);
}

void http_connection::run(asio::yield_context yield)
{
    m_yield = &yield;
    while (waitForRequest()) {
        serveRequest();
        if (!m_keepAlive || m_hasEndedSending)
            break;
    }
    close();
    reportEnd();
}

void http_connection::serveRequest()
{
    ++m_core->openExchanges;
    m_keepAlive = false;
    enter(connection_phase::Reading);
    const bool isRead = readRequest();
    enter(connection_phase::Handling);
    if (isRead)
        handleRequest();
    endExchange();
    --m_core->openExchanges;
    if (m_keepAlive)
        return;
    setEndReason(reasonAfterResponse());
    if (isAnswered())
        lingerAndClose();
}

void http_connection::refuse(asio::yield_context yield)
{
    m_yield = &yield;
    http_response response
            = errorResponse(503, makeFailure(errc::Overloaded, "too many connections"), "not-run");
    response.headers.push_back({ "Retry-After", "1" });
    respond(response);
    setEndReason(connection_end_reason::TooManyConnections);
    lingerAndClose();
    reportEnd();
}

void http_connection::beginDrain()
{
    if (m_isIdle)
        m_deadline.startReading(m_core->limits()->drainGrace);
}

void http_connection::enter(connection_phase phase)
{
    m_phase = phase;
    m_core->setPhase(m_number, phase);
}

void http_connection::noteProgress(std::size_t bytes)
{
    m_progress += bytes;
    if (m_progress < memory_account::minProgress)
        return;
    m_progress = 0;
    m_core->noteProgress(m_number);
}

void http_connection::giveUpPlace()
{
    if (m_phase == connection_phase::Idle)
        return closeIfIdle();
    if (m_phase == connection_phase::Handling)
        return;
    setEndReason(connection_end_reason::PlaceTaken);
    noteInput();
    error_code ignored;
    m_socket.close(ignored);
}

void http_connection::closeIfIdle()
{
    if (!m_isIdle)
        return;
    m_isIdleTimeOver = true;
    m_deadline.startReading(duration::zero());
}

void http_connection::close()
{
    setEndReason(connection_end_reason::Shutdown);
    noteInput();
    error_code ignored;
    m_socket.close(ignored);
    m_deadline.stop();
}

std::string http_connection::callerAddress() const
{
    error_code error;
    const tcp::endpoint endpoint = m_socket.remote_endpoint(error);
    return error ? std::string() : toAddress(endpoint);
}

// True for a connection that a response has promised to keep before the server knew that it will
// stop, unless the next request is here already.
bool http_connection::mustEndWithResponse()
{
    return m_keepAlive && !m_core->keepsConnections && m_buffer.size() == 0
           && probeSocket(m_socket) == socket_state::Quiet;
}

bool http_connection::waitForRequest()
{
    if (m_buffer.size() > 0)
        return true;
    m_isIdle = true;
    m_isIdleTimeOver = false;
    m_idleSince = steadyNow();
    const auto timeLeft = [this] { return idleTimeLeft(); };
    m_deadline.startReading(m_core->isDraining ? m_core->limits()->drainGrace : timeLeft());
    m_deadline.onExpiry(timeLeft);
    error_code error;
    m_buffer.shrink_to_fit();
    enter(connection_phase::Idle);
    const auto space = m_buffer.prepare(idleBufferBytes);
    const std::size_t count = m_reader.async_read_some(space, (*m_yield)[error]);
    m_buffer.commit(count);
    m_deadline.onExpiry({});
    m_isIdle = false;
    if (error)
        setEndReason(reasonOfFailedRead(error));
    return !error;
}

// By the newest limit, because callers keep their connections by that.
duration http_connection::idleTimeLeft() const
{
    if (m_core->isDraining || m_isIdleTimeOver)
        return duration::zero();
    return m_idleSince + m_core->limits()->idleTimeout - steadyNow();
}

bool http_connection::readRequest()
{
    const http_server_limits limits = *m_core->limits();
    m_headSent = false;
    m_isStreaming = false;
    m_isHead = false;
    m_version = 11;
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    m_parser->body_limit(limits.maxBodyBytes);

    error_code error;
    readHead(limits, error);
    if (!error && !m_parser->is_done()) {
        const auto length = m_parser->content_length();
        if (!reserveBody(length ? *length : firstAllowanceBytes)) {
            refuseForMemory();
            return false;
        }
        if (sendContinue())
            readBody(limits, error);
    }
    m_deadline.stop();
    if (error == asio::error::no_memory) {
        refuseForMemory();
        return false;
    }
    if (error) {
        m_end.hasPartialRequest = true;
        setEndReason(reasonOfFailedRead(error));
        reject(error);
        return false;
    }
    if (!m_parser->is_done()) {
        m_end.hasPartialRequest = true;
        return false;
    }
    if (hasUnknownFraming(m_parser->get())) {
        rejectFraming();
        return false;
    }
    m_keepAlive = m_parser->get().keep_alive();
    m_version = m_parser->get().version() == 10 ? 10 : 11;
    m_isHead = m_parser->get().method() == http::verb::head;
    m_request = toRequest(m_parser->release());
    return true;
}

// error is no_memory if the request must be refused.
void http_connection::readHead(const http_server_limits &limits, error_code &error)
{
    m_headBytes = 0;
    m_headLines = 0;
    m_deadline.startReading(limits.headerTimeout);
    parseHead(limits, error);
    while (error == http::error::need_more) {
        receiveHead(error);
        if (error)
            return;
        parseHead(limits, error);
    }
    if (!m_memory)
        return;
    m_memory->allowReclaim(nullptr);
    m_memory->noteProgress(memory_account::minProgress, steadyNow()); // the body counts anew
}

// Parses what has been received. error is need_more if that is not the whole head.
void http_connection::parseHead(const http_server_limits &limits, error_code &error)
{
    const auto input = m_buffer.data();
    const auto *const begin = static_cast<const char *>(input.data());
    const std::size_t count = m_parser->put(input, error);
    m_headBytes += count;
    m_headLines += static_cast<std::size_t>(std::count(begin, begin + count, '\n'));
    m_buffer.consume(count);
    if (error && error != http::error::need_more)
        return;
    // The parser limits only what it gets at once.
    if (m_headBytes > limits.maxHeaderBytes)
        error = http::error::header_limit;
    else if (!reserveHead())
        error = asio::error::no_memory;
}

void http_connection::receiveHead(error_code &error)
{
    error.clear();
    const std::size_t size = beast::read_size(m_buffer, idleBufferBytes);
    if (size == 0) {
        error = http::error::buffer_overflow;
        return;
    }
    const std::size_t count = m_reader.async_read_some(m_buffer.prepare(size), (*m_yield)[error]);
    m_buffer.commit(count);
    if (error == asio::error::eof && m_parser->got_some())
        error = http::error::partial_message;
    else if (error == asio::error::eof)
        error = http::error::end_of_stream;
    else if (!error && !m_socket.is_open())
        error = asio::error::operation_aborted;
}

bool http_connection::reserveHead()
{
    if (extraHeadCost() == 0)
        return true;
    if (!reserve(bodyOverheadBytes + extraHeadCost()))
        return false;
    if (m_memory)
        m_memory->allowReclaim([this] { loseMemory(); });
    return true;
}

// Beyond that of ordinary heads.
std::size_t http_connection::extraHeadCost() const
{
    const std::size_t cost = headLineCost * m_headLines + headCopies * m_headBytes;
    return cost > freeHeadCost ? cost - freeHeadCost : 0;
}

// size is that of the body. Returns false if the body must be refused.
bool http_connection::reserveBody(std::size_t size)
{
    m_bodyAllowance = size;
    return reserve(bodyOverheadBytes + extraHeadCost() + bodyCopies * size);
}

bool http_connection::reserve(std::size_t size)
{
    if (m_core->memory == nullptr)
        return true;
    const time_point now = steadyNow();
    if (!m_memory) {
        // Peers are not limited to a share, because each sends requests of many callers.
        const bool isCallers = m_core->bodyOwner == memory_owner::CallerBodies;
        m_memory.emplace(*m_core->memory, m_core->bodyOwner,
                         isCallers ? hostOf(m_end.caller) : std::string(), now);
    }
    return m_memory->reserve(size, now);
}

// error is no_memory if the body must be refused.
void http_connection::readBody(const http_server_limits &limits, error_code &error)
{
    m_deadline.startReading(limits.bodyTimeout);
    m_parser->eager(true);
    if (m_memory)
        m_memory->allowReclaim([this] { loseMemory(); });
    while (!error && !m_parser->is_done()) {
        const std::size_t count
                = http::async_read_some(m_reader, m_buffer, *m_parser, (*m_yield)[error]);
        noteProgress(count);
        if (!m_memory || error || !m_socket.is_open())
            continue;
        m_memory->noteProgress(count, steadyNow());
        if (!reserveGrowth())
            error = asio::error::no_memory;
    }
    if (m_memory)
        m_memory->allowReclaim(nullptr);
}

bool http_connection::reserveGrowth()
{
    const std::size_t size = m_parser->get().body().size();
    if (size <= m_bodyAllowance)
        return true;
    const std::size_t step = std::max(size, 2 * m_bodyAllowance);
    return reserveBody(std::max(size, std::min(step, m_core->limits()->maxBodyBytes)));
}

// The request is not read any further, because others need the memory.
void http_connection::refuseForMemory()
{
    m_deadline.stop();
    m_isHead = m_parser->get().method() == http::verb::head;
    m_parser.emplace(); // frees what was read
    m_memory.reset();
    setEndReason(connection_end_reason::BodyRefused);
    http_response response = errorResponse(
            503, makeFailure(errc::Overloaded, "no memory for the request"), "not-run");
    response.headers.push_back({ "Retry-After", "1" });
    respond(response);
}

void http_connection::loseMemory()
{
    setEndReason(connection_end_reason::MemoryReclaimed);
    noteInput();
    error_code ignored;
    m_socket.close(ignored);
}

bool http_connection::sendContinue()
{
    if (!beast::iequals(m_parser->get()[http::field::expect], "100-continue"))
        return true;
    static const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    return write([&](const asio::yield_context &yield) {
        asio::async_write(m_socket, asio::buffer(interim), yield);
    });
}

void http_connection::reject(const error_code &error)
{
    const auto response = rejection(error, *m_core->limits());
    if (!response || !m_socket.is_open())
        return;
    m_end.hasPartialRequest = false;
    respond(*response);
}

void http_connection::rejectFraming()
{
    setEndReason(connection_end_reason::MalformedRequest);
    const char *detail = "the last transfer encoding of the body must be chunked";
    respond(errorResponse(400, makeFailure(errc::InvalidRequest, detail), "not-run"));
}

connection_end_reason http_connection::reasonOfFailedRead(const error_code &error) const
{
    const bool isTimeout = error == asio::error::timed_out;
    if (isTimeout && !m_parser && m_isIdleTimeOver)
        return connection_end_reason::IdleClosedForOthers;
    if (isTimeout && !m_parser)
        return m_core->isDraining ? connection_end_reason::Shutdown
                                  : connection_end_reason::IdleTimeout;
    if (isTimeout)
        return m_parser->is_header_done() ? connection_end_reason::BodyTimeout
                                          : connection_end_reason::HeadTimeout;
    if (rejection(error, *m_core->limits()))
        return connection_end_reason::MalformedRequest;
    return connection_end_reason::ClosedByCaller;
}

// A request that cannot be answered any more is not handled.
void http_connection::handleRequest()
{
    m_end.hasUnansweredRequest = true;
    if (m_socket.is_open())
        runExchange();
    else
        setEndReason(connection_end_reason::ClosedBeforeHandler);
    if (!isAnswered())
        return;
    m_end.hasUnansweredRequest = false;
    ++m_end.answeredRequests;
}

void http_connection::runExchange()
{
    const auto exceptionText = callHandler();
    if (exceptionText && m_core->exceptionHook)
        m_core->exceptionHook(*exceptionText);
    if (!m_headSent && !m_callerLeft) {
        const std::string what = exceptionText ? "failed" : "gave no response";
        respond(errorResponse(
                500, makeFailure(errc::Internal, "the handler of the request " + what), "unknown"));
    }
    if (m_isStreaming || m_callerLeft)
        m_keepAlive = false;
}

std::optional<std::string> http_connection::callHandler()
{
    http_exchange exchange(*this);
    try {
        m_core->handler(exchange);
    } catch (const boost::coroutines::detail::forced_unwind &) {
        throw; // The coroutine is being destroyed with its io_context.
    } catch (const std::exception &exception) {
        return exception.what();
    } catch (...) {
        return "unknown exception";
    }
    return std::nullopt;
}

void http_connection::endExchange()
{
    ++m_exchange;
    m_leftHook = nullptr;
    m_parser.reset();
    forgetContent();
    m_memory.reset();
    if (!m_isWatching)
        return;
    m_isWatching = false;
    error_code ignored;
    m_socket.cancel(ignored);
}

// Keeps of the last request only what costs next to nothing.
void http_connection::forgetContent()
{
    m_request.body = std::string();
    if (extraHeadCost() > 0)
        m_request.headers = {};
}

void http_connection::lingerAndClose()
{
    noteInput();
    enter(connection_phase::Closing);
    error_code error;
    m_socket.shutdown(tcp::socket::shutdown_send, error);
    m_deadline.start(lingerTimeout);
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    for (std::size_t total = 0; !error && total < maxLingerBytes;) {
        const auto space = m_buffer.prepare(idleBufferBytes);
        total += m_socket.async_read_some(space, (*m_yield)[error]);
    }
    close();
}

template <class Operation>
bool http_connection::write(Operation operation)
{
    if (m_callerLeft)
        return false;
    error_code error;
    m_deadline.start(m_core->limits()->writeTimeout);
    operation((*m_yield)[error]);
    m_deadline.stop();
    if (error)
        markLeft(m_deadline.hasExpired() ? connection_end_reason::WriteTimeout
                                         : connection_end_reason::WriteFailed);
    return !error;
}

void http_connection::respond(const http_response &response)
{
    if (m_headSent)
        return;
    m_headSent = true;
    m_keepAlive = m_keepAlive && m_core->keepsConnections;
    using body_type = http::span_body<const char>;
    auto message = toBeastHead<body_type>(response, m_version, m_keepAlive);
    message.body() = { response.body.data(), response.body.size() };
    if (hasBody(response.status))
        message.content_length(response.body.size());
    http::response_serializer<body_type> serializer(message);
    const bool sendsBody = hasBody(response.status) && !m_isHead;
    write([&](const asio::yield_context &yield) {
        if (!sendsBody) {
            http::async_write_header(m_socket, serializer, yield);
            return;
        }
        std::optional<memory_holder> memory;
        if (m_core->memory != nullptr) {
            memory.emplace(*m_core->memory, memory_owner::PendingAnswers, "", steadyNow());
            memory->charge(answerCopies * response.body.size(), steadyNow());
            memory->allowReclaim([this] { loseMemory(); });
        }
        error_code &error = *yield.ec_;
        do {
            const std::size_t count = http::async_write_some(m_socket, serializer, yield);
            if (memory)
                memory->noteProgress(count, steadyNow());
        } while (!error && !serializer.is_done());
    });
}

bool http_connection::startStream(const http_response &head)
{
    if (m_headSent)
        return false;
    m_headSent = true;
    const bool isChunked = m_version == 11;
    m_keepAlive = m_keepAlive && isChunked && m_core->keepsConnections;
    auto message = toBeastHead<http::empty_body>(head, m_version, m_keepAlive);
    message.chunked(isChunked);
    http::response_serializer<http::empty_body> serializer(message);
    m_isStreaming = true;
    // Without chunks, the caller takes the end of the connection for that of the stream.
    if (!isChunked)
        setEndsWithReset(m_socket, true);
    return write([&](const asio::yield_context &yield) {
        http::async_write_header(m_socket, serializer, yield);
    });
}

bool http_connection::writeChunk(const std::string &data)
{
    if (!m_isStreaming)
        return false;
    if (data.empty() || m_isHead) // An empty chunk would end the stream.
        return !m_callerLeft;
    return write([&](const asio::yield_context &yield) {
        if (m_version == 11)
            asio::async_write(m_socket, http::make_chunk(asio::buffer(data)), yield);
        else
            asio::async_write(m_socket, asio::buffer(data), yield);
    });
}

void http_connection::finishStream()
{
    if (!m_isStreaming)
        return;
    const bool needsEnd = m_version == 11 && !m_isHead;
    const bool endsConnection = needsEnd && mustEndWithResponse();
    if (endsConnection)
        holdBackWrites(m_socket);
    const bool isWritten = !needsEnd || write([&](const asio::yield_context &yield) {
        asio::async_write(m_socket, http::make_chunk_last(), yield);
    });
    m_isStreaming = !isWritten;
    if (m_version == 10 && !m_callerLeft)
        setEndsWithReset(m_socket, false);
    if (endsConnection && isWritten)
        endSending();
}

// The caller sees the end of the connection together with that of the response, so that its next
// request cannot cross the close.
void http_connection::endSending()
{
    m_hasEndedSending = true;
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

bool http_connection::callerLeft()
{
    if (!m_callerLeft && probeSocket(m_socket) == socket_state::Closed)
        markLeft(connection_end_reason::CallerLeft);
    return m_callerLeft;
}

void http_connection::onCallerLeft(std::function<void()> hook)
{
    m_leftHook = std::move(hook);
    if (!m_callerLeft) {
        startWatch();
        return;
    }
    asio::post(m_strand, [self = shared_from_this(), exchange = m_exchange] {
        if (self->m_exchange == exchange && self->m_leftHook)
            std::exchange(self->m_leftHook, nullptr)();
    });
}

void http_connection::startWatch()
{
    if (m_isWatching)
        return;
    m_isWatching = true;
    m_socket.async_wait(tcp::socket::wait_read,
                        asio::bind_executor(m_strand, [self = shared_from_this(),
                                                       exchange = m_exchange](error_code error) {
                            self->onReadable(exchange, error);
                        }));
}

void http_connection::onReadable(std::uint64_t exchange, const error_code &error)
{
    if (exchange != m_exchange || m_hasEndedSending)
        return;
    m_isWatching = false;
    if (error)
        return;
    const socket_state state = probeSocket(m_socket);
    if (state == socket_state::Closed)
        markLeft(connection_end_reason::CallerLeft);
    else if (state == socket_state::Quiet)
        startWatch();
}

void http_connection::setEndReason(connection_end_reason reason)
{
    if (!std::exchange(m_hasEndReason, true))
        m_end.reason = reason;
}

connection_end_reason http_connection::reasonAfterResponse() const
{
    if (m_isStreaming)
        return connection_end_reason::ResponseBrokenOff;
    return m_core->isDraining ? connection_end_reason::Shutdown
                              : connection_end_reason::ResponseEndsConnection;
}

// Notes what the caller has sent beyond its last request. Does nothing once the socket is closed or
// is only read to be closed.
void http_connection::noteInput()
{
    if (!m_socket.is_open() || std::exchange(m_hasNotedInput, true))
        return;
    m_end.unreadBytes = unreadBytes(m_socket);
    m_end.bufferedBytes = m_buffer.size();
}

void http_connection::reportEnd()
{
    if (!m_core->endHook)
        return;
    m_end.lastRequest = std::move(m_request);
    m_core->endHook(m_end);
}

void http_connection::markLeft(connection_end_reason reason)
{
    if (std::exchange(m_callerLeft, true))
        return;
    setEndReason(reason);
    m_keepAlive = false;
    if (m_leftHook)
        std::exchange(m_leftHook, nullptr)();
}

} // namespace detail
} // namespace fescuedeck
