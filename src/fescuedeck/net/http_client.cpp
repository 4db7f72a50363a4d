#include "fescuedeck/net/http_client.h"

#include <algorithm>
#include <atomic>
#include <mutex>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "fescuedeck/net/collected_bodies.h"
#include "fescuedeck/net/connection_pool.h"
#include "fescuedeck/net/deadline_reader.h"
#include "fescuedeck/net/response_check.h"
#include "fescuedeck/net/tcp_socket.h"

namespace fescuedeck {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr int firstErrorStatus = 400;
// A collected body and the response that is made from it.
constexpr std::size_t collectedCopies = 2;
// How often a body that waits for memory looks whether there is some: idle holders become so by
// the passing of time.
constexpr duration memoryPollInterval = std::chrono::milliseconds(20);
// A connection that has been made when its time is up is used: the event loop was busy. This is the
// time between two looks whether it has learned of it.
constexpr duration connectedCheckInterval = std::chrono::milliseconds(10);

bool isTargetCharacter(char c)
{
    const auto code = static_cast<unsigned char>(c);
    return code > 0x20U && code != 0x7fU;
}

bool isSendable(const http_request &request)
{
    return isValidHeader({ request.method, "" }) && !request.target.empty()
           && std::all_of(request.target.begin(), request.target.end(), isTargetCharacter)
           && std::all_of(request.headers.begin(), request.headers.end(), isValidHeader);
}

using request_body = http::span_body<const char>;

http::request<request_body> toBeast(const http_request &request, const std::string &address)
{
    http::request<request_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    if (findHeader(request.headers, "Host") == nullptr)
        message.set(http::field::host, address);
    for (const http_header &header : request.headers) {
        if (!detail::isFramingHeader(header.name))
            message.insert(header.name, header.value);
    }
    message.body() = { request.body.data(), request.body.size() };
    const bool mayHaveBody = request.method != "GET" && request.method != "HEAD";
    if (mayHaveBody || !request.body.empty())
        message.content_length(request.body.size());
    return message;
}

http_response toHead(const http::response<http::string_body> &message)
{
    http_response response;
    response.status = static_cast<int>(message.result_int());
    for (const auto &field : message) {
        response.headers.push_back(
                { std::string(field.name_string()), std::string(field.value()) });
    }
    return response;
}

http_response toResponse(http::response<http::string_body> &&message)
{
    http_response response = toHead(message);
    response.body = std::move(message.body());
    return response;
}

errc kindOfReadError(const error_code &error)
{
    if (error == http::error::body_limit || error == http::error::header_limit
        || error == http::error::buffer_overflow)
        return errc::TooLarge;
    if (error == http::error::end_of_stream || error == http::error::partial_message)
        return errc::ConnectionClosed;
    return faultOfParseError(error) ? errc::InvalidMessage : errc::ConnectionClosed;
}

} // namespace

namespace detail {

// A socket in use by a call, which a cancellation may close on the strand of the call.
struct cancellable_socket
{
    asio::any_io_executor strand;
    tcp::socket *socket; // null once the call has ended; used on the strand only
};

class cancellation_state
{
public:
    // False if the cancellation came first.
    bool attach(std::shared_ptr<cancellable_socket> socket)
    {
        const std::lock_guard lock(m_mutex);
        m_socket = std::move(socket);
        return !m_isCancelled;
    }

    void cancel()
    {
        std::shared_ptr<cancellable_socket> current;
        {
            const std::lock_guard lock(m_mutex);
            m_isCancelled = true;
            current = std::exchange(m_socket, nullptr);
        }
        if (!current)
            return;
        asio::post(current->strand, [current] {
            error_code ignored;
            if (current->socket != nullptr)
                current->socket->close(ignored);
        });
    }

    bool isCancelled()
    {
        const std::lock_guard lock(m_mutex);
        return m_isCancelled;
    }

private:
    std::mutex m_mutex; // leaf lock
    bool m_isCancelled = false;
    std::shared_ptr<cancellable_socket> m_socket;
};

// Shared by a client and its calls, which may outlive it.
class http_client_core
{
public:
    http_client_core(asio::io_context &io, http_client_limits clientLimits)
        : ioContext(io)
        , limits(clientLimits)
        , idle(clientLimits.maxIdlePerAddress, clientLimits.maxIdleAge)
        , bodies(clientLimits.maxCollectedBytes)
    {
    }

    asio::io_context &ioContext;
    const http_client_limits limits;
    connection_pool idle;
    collected_bodies bodies;
    memory_account *memory = nullptr; // null if bodies are not accounted
    connection_observer observer;
    std::function<void(const std::string &, response_fault)> onMalformedResponse
            = [](const std::string &, response_fault) {};
    std::atomic<std::uint64_t> lastAttempt{ 0 }; // number of the last attempt to connect
};

// Of interim and unexpected responses before the expected one. A faulty server may send them for
// ever.
constexpr int maxSkippedResponses = 16;

// One call: up to two attempts under one deadline.
class http_call
{
public:
    http_call(http_client_core &core, std::string address, const http_request &request,
              const call_options &options, asio::yield_context &yield)
        : m_core(core)
        , m_address(std::move(address))
        , m_request(request)
        , m_options(options)
        , m_yield(yield)
        , m_strand(executorOf(yield))
        , m_socket(core.ioContext)
        , m_deadline(m_strand, m_socket)
        , m_reader(m_socket, m_deadline)
        , m_cancellable(
                  std::make_shared<cancellable_socket>(cancellable_socket{ m_strand, &m_socket }))
    {
    }
    ~http_call()
    {
        m_cancellable->socket = nullptr;
        if (m_options.cancellation)
            m_options.cancellation->m_state->attach(nullptr);
    }
    http_call(const http_call &) = delete;
    http_call &operator=(const http_call &) = delete;

    call_result run(const tcp::endpoint &endpoint);
    // Connects without sending a request, and puts the connection into the pool.
    bool open(const tcp::endpoint &endpoint);

private:
    using response_parser = http::response_parser<http::string_body>;

    std::optional<failure> connect(const tcp::endpoint &endpoint);
    result<http_response> exchange();
    call_result resultOf(result<http_response> response) const;
    std::size_t writeRequest(error_code &error);
    result<http_response> readResponse();
    std::optional<failure> readExpectedHead();
    bool isExpected(const http_response &head) const;
    void readHead(error_code &error);
    failure malformed(response_fault fault);
    failure describeReadError(const error_code &error);
    void skipResponse(error_code &error);
    void readBody(error_code &error);
    void payForBody(memory_holder &memory, error_code &error);
    duration timeLeft(duration limit) const;
    void limitNextStep(duration limit);
    void limitReading(duration limit);
    void watchForStall();
    bool mayRetry() const;
    bool isAborted() const;
    failure describe(errc kind, const std::string &what) const;

    http_client_core &m_core;
    const std::string m_address;
    const http_request &m_request;
    const call_options &m_options;
    asio::yield_context &m_yield;
    const asio::any_io_executor m_strand;
    tcp::socket m_socket;
    socket_deadline m_deadline;
    deadline_reader m_reader;
    std::shared_ptr<cancellable_socket> m_cancellable;

    beast::flat_buffer m_buffer;
    std::optional<response_parser> m_parser;
    time_point m_end{};      // of the whole call
    bool m_isReused = false; // connection of the current attempt
    std::uint16_t m_localPort = 0;
    failed_requests m_failedRequests; // on the connection of the current attempt
    bool m_wroteBytes = false;        // by the current attempt
    bool m_isRequestCut = false;      // the current attempt could not write the whole request
    bool m_wasCutByReset = false;     // and the other end had not ended its sending before
    bool m_gotBytes = false;
    bool m_gotUnexpected = false; // a response that was skipped
    // The end of the response is not where its head says.
    bool m_mustClose = false;
    std::optional<response_fault> m_fault;
    bool m_mayHaveBeenSent = false;
};

call_result http_call::run(const tcp::endpoint &endpoint)
{
    if (m_options.timeout <= duration::zero())
        return { describe(errc::Timeout, "the deadline has passed"), false };
    if (m_options.cancellation && !m_options.cancellation->m_state->attach(m_cancellable))
        return { describe(errc::ConnectionClosed, "cancelled"), false };
    m_end = steadyNow() + m_options.timeout;
    limitNextStep({});
    if (!m_options.freshConnection) {
        if (auto idle = m_core.idle.take(m_address, m_options.requestId)) {
            m_socket = std::move(idle->socket);
            m_failedRequests = std::move(idle->failedRequests);
            m_isReused = true;
            auto response = exchange();
            if (response || !mayRetry())
                return resultOf(std::move(response));
        }
    }
    m_isReused = false;
    m_failedRequests = {};
    limitNextStep(m_options.connectTimeout);
    if (const auto error = connect(endpoint))
        return { *error, m_mayHaveBeenSent };
    limitNextStep({});
    return resultOf(exchange());
}

bool http_call::open(const tcp::endpoint &endpoint)
{
    m_end = steadyNow() + m_options.timeout;
    limitNextStep({});
    if (connect(endpoint))
        return false;
    m_core.idle.put(m_address, { std::move(m_socket), {} });
    return true;
}

call_result http_call::resultOf(result<http_response> response) const
{
    call_result ended{ std::move(response), m_mayHaveBeenSent, m_isReused, m_localPort, m_fault };
    ended.isRequestCut = m_isRequestCut;
    ended.endsWithConnection = m_parser && m_parser->is_header_done() && m_parser->need_eof();
    return ended;
}

// limit is zero if only the end of the whole call counts.
duration http_call::timeLeft(duration limit) const
{
    const duration left = m_end - steadyNow();
    return limit > duration::zero() ? std::min(limit, left) : left;
}

void http_call::limitNextStep(duration limit)
{
    m_deadline.onExpiry({});
    m_deadline.start(timeLeft(limit));
}

void http_call::limitReading(duration limit)
{
    m_deadline.onExpiry({});
    m_deadline.startReading(timeLeft(limit));
}

// Limits the next wait to the time that is left until the call counts as stalled.
void http_call::watchForStall()
{
    if (!m_options.timeUntilStall || !m_options.onBodyPart)
        return;
    const auto timeUntilStall = [this] {
        return std::min<duration>(m_options.timeUntilStall(), m_end - steadyNow());
    };
    m_deadline.onExpiry(timeUntilStall);
    m_deadline.startReading(timeUntilStall());
}

std::optional<failure> http_call::connect(const tcp::endpoint &endpoint)
{
    error_code error;
    m_socket = tcp::socket(m_core.ioContext);
    const std::uint64_t number = ++m_core.lastAttempt;
    m_core.observer.onBegin(number, m_address);
    m_deadline.onExpiry([this] {
        error_code notConnected;
        m_socket.remote_endpoint(notConnected);
        return notConnected ? duration::zero() : connectedCheckInterval;
    });
    m_socket.async_connect(endpoint, m_yield[error]);
    // A cancellation may close the socket just after it has connected.
    if (!error && isAborted())
        error = asio::error::operation_aborted;
    connection_outcome outcome = error ? connection_outcome::Failed : connection_outcome::Connected;
    if (isAborted())
        outcome = connection_outcome::GivenUpOn;
    m_core.observer.onEnd(number, outcome);
    if (error)
        return describe(errc::ConnectionFailed, error.message());
    m_socket.set_option(tcp::no_delay(true), error);
    return std::nullopt;
}

result<http_response> http_call::exchange()
{
    m_gotBytes = false;
    m_buffer.clear();
    m_buffer.max_size(detail::parseBufferBytes);

    error_code ignored;
    m_localPort = m_socket.local_endpoint(ignored).port();
    if (m_options.onSending)
        m_options.onSending();
    error_code writeError;
    m_wroteBytes = writeRequest(writeError) > 0;
    m_isRequestCut = writeError.failed();
    // The kernel reports a broken pipe if an orderly end has come before the reset.
    m_wasCutByReset = m_isRequestCut && writeError != asio::error::broken_pipe;
    m_mayHaveBeenSent = m_mayHaveBeenSent || m_wroteBytes;
    if (writeError && (!m_wroteBytes || isAborted()))
        return describe(errc::ConnectionClosed, writeError.message());
    // A server may reject a request and close before it has read all of it, so that the response is
    // read even if writing failed.
    auto response = readResponse();
    const bool mayReuse = response && !writeError && m_parser->keep_alive() && m_buffer.size() == 0
                          && !m_gotUnexpected && !m_mustClose && m_socket.is_open() && !isAborted();
    if (mayReuse) {
        if (response.value().status >= firstErrorStatus && !m_options.requestId.empty())
            m_failedRequests.add(m_options.requestId, m_end);
        m_core.idle.put(m_address, { std::move(m_socket), std::move(m_failedRequests) });
    }
    return response;
}

std::size_t http_call::writeRequest(error_code &error)
{
    auto message = toBeast(m_request, m_address);
    http::request_serializer<request_body> serializer(message);
    return http::async_write(m_socket, serializer, m_yield[error]);
}

result<http_response> http_call::readResponse()
{
    limitReading({});
    watchForStall();
    if (const auto failed = readExpectedHead())
        return *failed;
    if (m_options.onHead)
        m_options.onHead(toHead(m_parser->get()));
    error_code error;
    readBody(error);
    // The write has taken the error of a reset from the socket, so that reading reports an orderly
    // end.
    if (!error && m_wasCutByReset && m_parser->need_eof())
        error = asio::error::connection_reset;
    if (error)
        return describeReadError(error);
    return toResponse(m_parser->release());
}

// Reads heads until one belongs to the request.
std::optional<failure> http_call::readExpectedHead()
{
    for (int skipped = 0; skipped <= maxSkippedResponses; ++skipped) {
        error_code error;
        readHead(error);
        if (error)
            return describeReadError(error);
        const http_response head = toHead(m_parser->get());
        if (const auto fault = findFault(static_cast<int>(m_parser->get().version()), head))
            return malformed(*fault);
        if (isInterimStatus(head.status))
            continue;
        m_mustClose = announcesForbiddenBody(head);
        if (isExpected(head)) {
            limitReading({}); // ends the shorter limit after an unexpected response
            return std::nullopt;
        }
        if (m_options.waitAfterUnexpected <= duration::zero())
            return describe(errc::InvalidMessage, "the response belongs to another request");
        skipResponse(error);
        if (error)
            return describeReadError(error);
    }
    return malformed(response_fault::TooManyResponses);
}

bool http_call::isExpected(const http_response &head) const
{
    return !m_options.isExpected || m_options.isExpected(head, m_isReused);
}

failure http_call::malformed(response_fault fault)
{
    m_fault = fault;
    m_core.onMalformedResponse(m_address, fault);
    return describe(errc::InvalidMessage,
                    "malformed response: " + std::string(nameOf(responseFaultNames, fault)));
}

failure http_call::describeReadError(const error_code &error)
{
    const auto fault = faultOfParseError(error);
    return fault ? malformed(*fault) : describe(kindOfReadError(error), error.message());
}

void http_call::skipResponse(error_code &error)
{
    m_gotUnexpected = true;
    limitReading(m_options.waitAfterUnexpected);
    while (!error && !m_parser->is_done()) {
        http::async_read_some(m_reader, m_buffer, *m_parser, m_yield[error]);
        m_parser->get().body().clear();
    }
}

void http_call::readHead(error_code &error)
{
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_core.limits.maxResponseHeaderBytes));
    m_parser->body_limit(m_core.limits.maxResponseBytes);
    m_parser->skip(m_request.method == "HEAD");
    http::async_read_header(m_reader, m_buffer, *m_parser, m_yield[error]);
    m_gotBytes = m_gotBytes || m_buffer.size() > 0 || m_parser->got_some();
}

void http_call::readBody(error_code &error)
{
    // An eager parser would also wait for the header of the next chunk.
    m_parser->eager(!m_options.onBodyPart);
    collected_body collected(m_core.bodies);
    std::optional<memory_holder> memory;
    const bool isCollected = !m_options.onBodyPart || m_options.collectsBody;
    if (m_core.memory != nullptr && isCollected) {
        memory.emplace(*m_core.memory, memory_owner::CollectedAnswers, "", steadyNow());
        payForBody(*memory, error);
    }
    const bool isPaid = memory && memory->size() > 0;
    std::size_t delivered = 0;
    while (!error && !m_parser->is_done()) {
        watchForStall();
        http::async_read_some(m_reader, m_buffer, *m_parser, m_yield[error]);
        std::string &body = m_parser->get().body();
        if (m_options.onBodyPart && body.size() > delivered)
            m_options.onBodyPart(std::string_view(body).substr(delivered));
        if (m_options.onBodyPart && !m_options.collectsBody)
            body.clear();
        delivered = body.size();
        if (memory && collectedCopies * body.size() > memory->size())
            memory->charge(collectedCopies * body.size(), steadyNow());
        if (!isPaid && !collected.resize(body.size()) && !m_parser->is_done())
            error = http::error::body_limit;
    }
}

// The other end waits meanwhile, because its bytes stay in the kernel.
void http_call::payForBody(memory_holder &memory, error_code &error)
{
    const auto length = m_parser->content_length();
    if (!length)
        return;
    const std::size_t size = collectedCopies * *length;
    const bool mayWait = m_options.waitsForMemory && size > memory_account::smallSize;
    asio::steady_timer timer(m_strand);
    while (mayWait && !error && !memory.reserve(size, steadyNow())) {
        timer.expires_after(memoryPollInterval);
        timer.async_wait(m_yield[error]);
        if (isAborted())
            error = asio::error::timed_out;
    }
    if (!error)
        memory.charge(std::max(size, memory.size()), steadyNow());
}

bool http_call::mayRetry() const
{
    return !isAborted() && !m_gotBytes && (!m_wroteBytes || m_options.idempotent);
}

bool http_call::isAborted() const
{
    return m_deadline.hasExpired()
           || (m_options.cancellation && m_options.cancellation->isCancelled());
}

failure http_call::describe(errc kind, const std::string &what) const
{
    const std::string call = m_request.method + " " + m_address + m_request.target + ": ";
    if (m_options.cancellation && m_options.cancellation->isCancelled())
        return makeFailure(errc::ConnectionClosed, call + "cancelled");
    if (m_deadline.hasExpired()) {
        const auto millis
                = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.timeout);
        return makeFailure(errc::Timeout, call + "no answer in time, of at most "
                                                  + std::to_string(millis.count()) + " ms");
    }
    return makeFailure(kind, call + what);
}

} // namespace detail

call_cancellation::call_cancellation()
    : m_state(std::make_shared<detail::cancellation_state>())
{
}

void call_cancellation::cancel()
{
    m_state->cancel();
}

bool call_cancellation::isCancelled() const
{
    return m_state->isCancelled();
}

http_client::http_client(asio::io_context &ioContext, http_client_limits limits)
    : m_core(std::make_shared<detail::http_client_core>(ioContext, limits))
{
}

http_client::~http_client() = default;

call_result http_client::send(const std::string &address, const http_request &request,
                              const call_options &options, asio::yield_context yield)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint)
        return { endpoint.error(), false };
    if (!isSendable(request)) {
        return { makeFailure(errc::InvalidRequest,
                             "method, target or a header has characters that HTTP does not allow"),
                 false };
    }
    const auto core = m_core; // outlives the call even if this client does not
    detail::http_call call(*core, address, request, options, yield);
    return call.run(endpoint.value());
}

bool http_client::openIdle(const std::string &address, duration limit,
                           boost::asio::yield_context yield)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint)
        return false;
    const http_request none{ "CONNECT", address, {}, "" };
    call_options options;
    options.timeout = limit;
    const auto core = m_core; // outlives the call even if this client does not
    detail::http_call call(*core, address, none, options, yield);
    return call.open(endpoint.value());
}

void http_client::useMemory(memory_account &account)
{
    m_core->memory = &account;
}

void http_client::observeConnections(connection_observer observer)
{
    m_core->observer = std::move(observer);
}

void http_client::observeMalformedResponses(
        std::function<void(const std::string &, response_fault)> observer)
{
    m_core->onMalformedResponse = std::move(observer);
}

void http_client::dropIdle(const std::string &address)
{
    m_core->idle.drop(address);
}

int http_client::idleConnections() const
{
    return m_core->idle.size();
}

} // namespace fescuedeck
