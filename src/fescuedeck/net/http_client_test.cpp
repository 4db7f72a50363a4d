#include "fescuedeck/net/http_client.h"

#include <future>
#include <set>
#include <thread>

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "fescuedeck/net/http_server.h"
#include "fescuedeck/net/scripted_server.h"
#include "fescuedeck/net/test_io.h"

namespace fescuedeck {
namespace {

using tcp = boost::asio::ip::tcp;
using namespace std::string_literals;

call_options options()
{
    call_options result;
    result.timeout = testWaitLimit;
    return result;
}

call_result call(test_io &io, http_client &client, std::uint16_t port,
                 const call_options &callOptions = options(),
                 const http_request &request = { "POST", "/", {}, "body" })
{
    return io.run([&](boost::asio::yield_context yield) {
        return client.send(loopback(port), request, callOptions, yield);
    });
}

// More than the buffers of both ends of a connection hold.
constexpr std::size_t longUploadBytes = 32 * 1024 * 1024;
const std::string okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("addresses are read by number", "[net]")
{
    CHECK(toAddress(parseAddress("127.0.0.1:80").value()) == "127.0.0.1:80");
    CHECK(toAddress(parseAddress("[::1]:65535").value()) == "[::1]:65535");
    for (const char *invalid : { "", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:70000",
                                 "::1:80", "127.0.0.1:8x" })
        CHECK_FALSE(parseAddress(invalid));
}

TEST_CASE("calls reuse a connection unless a fresh one is asked for", "[net]")
{
    test_io io;
    http_server server(io.context(), {}, [](http_exchange &exchange) {
        exchange.respond({ 200, { { "X-Seen", exchange.request().body } }, "answer" });
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    http_client client(io.context());
    for (int i = 0; i < 3; ++i) {
        const auto outcome = call(io, client, server.port());
        REQUIRE(outcome.response);
        CHECK(outcome.response.value().body == "answer");
        CHECK(*findHeader(outcome.response.value().headers, "x-seen") == "body");
        CHECK(outcome.mayHaveBeenSent);
    }
    CHECK(server.openConnections() == 1);
    call_options fresh = options();
    fresh.freshConnection = true;
    CHECK(call(io, client, server.port(), fresh).response);
    CHECK(server.openConnections() == 2);
    CHECK(client.idleConnections() == 2);
}

TEST_CASE("a refused connection proves that nothing was sent", "[net]")
{
    test_io io;
    std::uint16_t unusedPort = 0;
    {
        tcp::acceptor acceptor(io.context(),
                               tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        unusedPort = acceptor.local_endpoint().port();
    }
    http_client client(io.context());
    const auto outcome = call(io, client, unusedPort);
    REQUIRE_FALSE(outcome.response);
    CHECK(outcome.response.error().code == errc::ConnectionFailed);
    CHECK_FALSE(outcome.mayHaveBeenSent);
}

TEST_CASE("a silent server ends the call and its connection", "[net]")
{
    // Guards against waiting for ever, and against reusing a connection that hangs.
    std::promise<void> connectionEnded;
    scripted_server server([&](tcp::acceptor &acceptor) {
        raw_connection silent(acceptor);
        silent.receiveAll();
        connectionEnded.set_value();
    });
    test_io io;
    http_client client(io.context());
    call_options brief = options();
    brief.timeout = std::chrono::milliseconds(30);
    const auto outcome = call(io, client, server.port(), brief);
    REQUIRE_FALSE(outcome.response);
    CHECK(outcome.response.error().code == errc::Timeout);
    CHECK(outcome.mayHaveBeenSent);
    CHECK(client.idleConnections() == 0);
    CHECK(connectionEnded.get_future().wait_for(testWaitLimit) == std::future_status::ready);
}

TEST_CASE("an answer lost after the request was sent may have run", "[net]")
{
    // Guards against reporting "not run" for a request that the endpoint has run.
    scripted_server server(
            [](tcp::acceptor &acceptor) { raw_connection(acceptor).receiveUntil("body"); });
    test_io io;
    http_client client(io.context());
    const auto outcome = call(io, client, server.port());
    REQUIRE_FALSE(outcome.response);
    CHECK(outcome.response.error().code == errc::ConnectionClosed);
    CHECK(outcome.mayHaveBeenSent);
}

// Guards against a part of an answer that passes as the whole because the write of a long request
// has met the reset of its connection before the read.
TEST_CASE("a response without a length that is reset during the upload is no answer", "[net]")
{
    const bool isStreamed = GENERATE(false, true);
    scripted_server server([](tcp::acceptor &acceptor) {
        raw_connection connection(acceptor);
        connection.receiveUntil("\r\n\r\n");
        connection.send("HTTP/1.1 200 OK\r\n\r\nid: 1\n\n");
        connection.close(); // resets it, because the rest of the upload is not read
    });
    test_io io;
    http_client client(io.context());
    call_options callOptions = options();
    if (isStreamed)
        callOptions.onBodyPart = [](std::string_view) {};
    const http_request upload{ "POST", "/", {}, std::string(longUploadBytes, 'a') };
    const auto outcome = call(io, client, server.port(), callOptions, upload);
    REQUIRE_FALSE(outcome.response);
    CHECK(outcome.response.error().code == errc::ConnectionClosed);
    CHECK(outcome.mayHaveBeenSent);
}

// Guards against a whole answer that is refused because its sender closes the connection afterwards
// without having read the rest of the upload.
TEST_CASE("a response without a length that ends before the reset of an upload is read", "[net]")
{
    scripted_server server([](tcp::acceptor &acceptor) {
        raw_connection connection(acceptor);
        connection.receiveUntil("\r\n\r\n");
        connection.send("HTTP/1.1 200 OK\r\n\r\nwhole");
        connection.endSending();
        connection.close(); // resets it, because the rest of the upload is not read
    });
    test_io io;
    http_client client(io.context());
    const http_request upload{ "POST", "/", {}, std::string(longUploadBytes, 'a') };
    const auto outcome = call(io, client, server.port(), options(), upload);
    REQUIRE(outcome.response);
    CHECK(outcome.response.value().body == "whole");
}

// Guards against a part of an answer that passes as the whole because its connection was reset.
TEST_CASE("a response is complete only if it is reset behind its announced end", "[net]")
{
    struct reset_case
    {
        std::string name;
        std::string text; // sent before the reset
        bool isWhole = false;
        std::string method = "GET";
    };
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string length = head + "Content-Length: 4\r\n\r\n";
    const std::string chunks = head + "Transfer-Encoding: chunked\r\n\r\n";
    const auto current = GENERATE_COPY(values<reset_case>(
            { { "before the head", "" },
              { "in the head", head + "Date: x" },
              { "behind an interim response", "HTTP/1.1 100 Continue\r\n\r\n" },
              { "behind a head without a length", head + "\r\n" },
              { "in a body without a length", head + "\r\nid: 1\n\n" },
              { "in a body of version 1.0", "HTTP/1.0 200 OK\r\n\r\nid: 1\n\n" },
              { "behind a head with a length", length },
              { "in a body with a length", length + "abc" },
              { "behind a body with a length", length + "abcd", true },
              { "behind a head that announces chunks", chunks },
              { "in the size of a chunk", chunks + "4" },
              { "in a chunk", chunks + "4\r\nab" },
              { "at the end of a chunk", chunks + "4\r\nabcd" },
              { "between chunks", chunks + "4\r\nabcd\r\n" },
              { "in the last chunk", chunks + "4\r\nabcd\r\n0\r\n" },
              { "in a trailer", chunks + "4\r\nabcd\r\n0\r\nDigest: x\r\n" },
              { "behind the last chunk", chunks + "4\r\nabcd\r\n0\r\n\r\n", true },
              { "behind the head of a response to HEAD", head + "\r\n", true, "HEAD" },
              { "behind a status without a body", "HTTP/1.1 204 None\r\n\r\n", true } }));
    const bool isStreamed = GENERATE(false, true);
    scripted_server server([&](tcp::acceptor &acceptor) {
        raw_connection connection(acceptor);
        connection.receiveUntil("\r\n\r\n");
        connection.send(current.text);
        connection.reset();
    });
    test_io io;
    http_client client(io.context());
    call_options callOptions = options();
    if (isStreamed)
        callOptions.onBodyPart = [](std::string_view) {};
    CAPTURE(current.name, isStreamed);
    const auto outcome
            = call(io, client, server.port(), callOptions, { current.method, "/", {}, "" });
    CHECK(static_cast<bool>(outcome.response) == current.isWhole);
}

TEST_CASE("only an idempotent call is repeated after a reused connection fails", "[net]")
{
    const bool isIdempotent = GENERATE(false, true);
    std::atomic<int> requests{ 0 };
    scripted_server server([&, isIdempotent](tcp::acceptor &acceptor) {
        raw_connection reused(acceptor);
        reused.receiveUntil("body");
        reused.send(okResponse);
        reused.receiveUntil("body");
        requests = 2;
        reused.close();
        if (!isIdempotent)
            return;
        raw_connection fresh(acceptor);
        fresh.receiveUntil("body");
        requests = 3;
        fresh.send(okResponse);
    });
    test_io io;
    http_client client(io.context());
    REQUIRE(call(io, client, server.port()).response);
    call_options second = options();
    second.idempotent = isIdempotent;
    const auto outcome = call(io, client, server.port(), second);
    CHECK(outcome.response.has_value() == isIdempotent);
    CHECK(outcome.mayHaveBeenSent);
    CHECK(requests == (isIdempotent ? 3 : 2));
}

TEST_CASE("a connection that was closed or has surplus bytes is not reused", "[net]")
{
    // Guards against taking an answer that belongs to nobody for the next call's answer.
    const std::string surplus = GENERATE("", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    std::promise<void> mayProceed;
    std::promise<void> hasFailed;
    scripted_server server([&, surplus](tcp::acceptor &acceptor) {
        raw_connection first(acceptor);
        first.receiveUntil("body");
        first.send(okResponse);
        mayProceed.get_future().wait();
        first.send(surplus);
        if (surplus.empty())
            first.close();
        hasFailed.set_value();
        raw_connection second(acceptor);
        second.receiveUntil("body");
        second.send(okResponse);
    });
    test_io io;
    http_client client(io.context());
    REQUIRE(call(io, client, server.port()).response);
    mayProceed.set_value();
    hasFailed.get_future().wait();
    const auto outcome = call(io, client, server.port());
    REQUIRE(outcome.response);
    CHECK(outcome.response.value().body == "ok");
}

// Guards against taking the copy of an error response for the response to the same request, which
// was sent again on the same connection. The connection may have served others in between.
TEST_CASE("a request that has failed on a connection does not use it again", "[net]")
{
    test_io io;
    std::vector<std::string> callers;
    http_server server(io.context(), {}, [&](http_exchange &exchange) {
        callers.push_back(exchange.callerAddress());
        exchange.respond({ exchange.request().target == "/good" ? 200 : 503, {}, "" });
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    http_client client(io.context());
    const auto send = [&](const std::string &id, const std::string &target) {
        call_options sameId = options();
        sameId.requestId = id;
        REQUIRE(call(io, client, server.port(), sameId, { "POST", target, {}, "body" }).response);
    };
    send("a", "/full");
    send("b", "/good");
    send("a", "/full"); // on a second connection, used last
    send("b", "/good");
    send("c", "/full"); // the second connection remembers a and c
    send("c", "/good"); // on the first one, which is not the last of the pool
    CHECK(callers[1] == callers[0]);
    CHECK(callers[2] != callers[0]);
    CHECK(callers[3] == callers[2]);
    CHECK(callers[4] == callers[2]);
    CHECK(callers[5] == callers[0]);
}

// Guards against connections that remember failed requests without a limit or forget one that may
// be sent again, and against closing them for requests that cannot be sent again.
TEST_CASE("a connection is closed if it cannot remember another failed request", "[net]")
{
    constexpr int maxFailures = 64;
    constexpr duration shortTimeout = std::chrono::seconds(2);
    const bool areOver = GENERATE(true, false);
    test_io io;
    http_server server(io.context(), {}, [](http_exchange &exchange) {
        exchange.respond({ 503, {}, "" });
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    http_client client(io.context());
    for (int i = 1; i <= maxFailures; ++i) {
        call_options numbered = options();
        numbered.requestId = std::to_string(i);
        if (areOver && i < maxFailures)
            numbered.timeout = shortTimeout;
        else if (areOver)
            std::this_thread::sleep_for(shortTimeout);
        REQUIRE(call(io, client, server.port(), numbered).response);
        CHECK(client.idleConnections() == (i < maxFailures || areOver ? 1 : 0));
    }
}

TEST_CASE("an aged idle connection is not reused", "[net]")
{
    http_client_limits limits;
    limits.maxIdleAge = duration(-1); // every idle connection is too old
    test_io io;
    std::set<std::string> callers;
    http_server server(io.context(), {}, [&](http_exchange &exchange) {
        callers.insert(exchange.callerAddress());
        exchange.respond({});
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    http_client client(io.context(), limits);
    REQUIRE(call(io, client, server.port()).response);
    REQUIRE(call(io, client, server.port()).response);
    CHECK(callers.size() == 2);
}

TEST_CASE("oversized and malformed responses are failures", "[net]")
{
    const auto answer = GENERATE(
            std::make_pair("HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n\r\n", errc::TooLarge),
            std::make_pair("SMTP ready\r\n\r\n", errc::InvalidMessage));
    scripted_server server([&](tcp::acceptor &acceptor) {
        raw_connection connection(acceptor);
        connection.receiveUntil("body");
        connection.send(answer.first);
        connection.receiveAll();
    });
    test_io io;
    http_client client(io.context());
    const auto outcome = call(io, client, server.port());
    REQUIRE_FALSE(outcome.response);
    CHECK(outcome.response.error().code == answer.second);
}

// Guards against an endpoint or a store that ends the process with the trailer or a header of a
// response.
TEST_CASE("a response with an oversized field is a failure", "[net]")
{
    const bool isTrailer = GENERATE(true, false);
    const bool isStreamed = GENERATE(true, false);
    const std::string field = "X-Padding: " + std::string(70'000, 'x') + "\r\n";
    const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n";
    const std::string answer
            = "HTTP/1.1 200 OK\r\n" + (isTrailer ? chunks + field : field + chunks) + "\r\n";
    scripted_server server([&](tcp::acceptor &acceptor) {
        raw_connection connection(acceptor);
        connection.receiveUntil("\r\n\r\n");
        connection.send(answer);
    });
    test_io io;
    http_client_limits limits;
    limits.maxResponseHeaderBytes = 200'000;
    http_client client(io.context(), limits);
    call_options streamed = options();
    if (isStreamed)
        streamed.onBodyPart = [](std::string_view) {};
    const auto outcome = call(io, client, server.port(), streamed);
    REQUIRE_FALSE(outcome.response);
    CHECK(outcome.response.error().code != errc::Timeout);
    CHECK(client.idleConnections() == 0);
}

// Guards against servers that send without end and use up the memory which all calls need.
TEST_CASE("responses that outgrow the memory of all calls fail, and small ones do not", "[net]")
{
    constexpr std::size_t limit = 1024 * 1024;
    std::atomic<bool> isOver{ false };
    const auto sendWithoutEnd = [&](tcp::acceptor &acceptor) {
        raw_connection connection(acceptor);
        connection.receiveUntil("body");
        connection.send("HTTP/1.1 500 Error\r\n\r\n" + std::string(limit / 2, 'x'));
        while (!isOver)
            connection.send(std::string(64 * 1024, 'x'));
    };
    scripted_server first(sendWithoutEnd);
    scripted_server second(sendWithoutEnd);
    http_client_limits limits;
    limits.maxCollectedBytes = limit;
    test_io io;
    http_client client(io.context(), limits);
    http_server sound(io.context(), {}, [](http_exchange &exchange) {
        exchange.respond({ 200, {}, std::string(1000, 'x') });
    });
    REQUIRE_FALSE(sound.listen("127.0.0.1:0"));
    auto one = std::async([&] { return call(io, client, first.port()); });
    auto other = std::async([&] { return call(io, client, second.port()); });
    for (int i = 0; i < 20; ++i)
        CHECK(call(io, client, sound.port()).response);
    const auto oneOutcome = one.get();
    const auto otherOutcome = other.get();
    isOver = true;
    REQUIRE_FALSE(oneOutcome.response);
    REQUIRE_FALSE(otherOutcome.response);
    CHECK(oneOutcome.response.error().code == errc::TooLarge);
    CHECK(otherOutcome.response.error().code == errc::TooLarge);
}

// Guards against a server in trouble that sends bytes which are no answer until its client closes
// the connection. The parts are repeated without end after the beginning.
TEST_CASE("a response without end fails soon and closes its connection", "[net]")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto [begin, part] = GENERATE_COPY(table<std::string, std::string>({
            { "HTTP/1.1 200 ", "x" },                     // status line
            { "HTTP/1.1 200 OK\r\nName: ", "x" },         // header
            { "HTTP/1.1 200 OK\r\n", "Name: value\r\n" }, // headers
            { "", "HTTP/1.1 100 Continue\r\n\r\n" },      // interim responses
            { chunked, "0" },                             // size of a chunk
            { chunked + "1;", "x" },                      // extension of a chunk
            { chunked, "1000\r\n" + std::string(4096, 'x') + "\r\n" },
            { "HTTP/1.1 200 OK\r\n\r\n", "x" }, // body without length
    }));
    const bool isStreamed = GENERATE(false, true);
    INFO("begins with " << begin << ", repeats " << part.substr(0, 24));
    std::string block;
    while (block.size() < 64 * 1024)
        block += part;
    std::atomic<bool> isOver{ false };
    scripted_server server([&, beginning = begin](tcp::acceptor &acceptor) {
        raw_connection connection(acceptor);
        connection.receiveUntil("body");
        connection.send(beginning);
        while (!isOver)
            connection.send(block);
    });
    test_io io;
    http_client client(io.context());
    call_options limited = options();
    // Shorter than the limit of io.run(), so that a call that lasts until its deadline fails the
    // check below instead of leaving the server running.
    limited.timeout = testWaitLimit / 4;
    std::size_t received = 0;
    if (isStreamed) {
        limited.collectsBody = false;
        limited.onBodyPart = [&](std::string_view bytes) { received += bytes.size(); };
    }
    const auto outcome = call(io, client, server.port(), limited);
    isOver = true;
    REQUIRE_FALSE(outcome.response);
    CHECK(outcome.response.error().code != errc::Timeout);
    CHECK(received <= http_client_limits().maxResponseBytes + 64 * 1024);
    CHECK(client.idleConnections() == 0);
}

TEST_CASE("a call in progress is cancelled from elsewhere", "[net]")
{
    std::promise<void> received;
    scripted_server server([&](tcp::acceptor &acceptor) {
        raw_connection connection(acceptor);
        connection.receiveUntil("body");
        received.set_value();
        connection.receiveAll();
    });
    test_io io;
    http_client client(io.context());
    call_options cancellable = options();
    cancellable.cancellation.emplace();
    std::thread canceller([&, cancellation = *cancellable.cancellation]() mutable {
        received.get_future().wait();
        cancellation.cancel();
    });
    const auto outcome = call(io, client, server.port(), cancellable);
    canceller.join();
    REQUIRE_FALSE(outcome.response);
    CHECK(outcome.response.error().code == errc::ConnectionClosed);
    CHECK(outcome.mayHaveBeenSent);
    CHECK_FALSE(call(io, client, server.port(), cancellable).mayHaveBeenSent);
}

TEST_CASE("a streamed response is delivered in parts", "[net]")
{
    test_io io;
    std::atomic<bool> firstArrived{ false };
    http_server server(io.context(), {}, [&](http_exchange &exchange) {
        exchange.startStream({});
        exchange.writeChunk("first ");
        boost::asio::steady_timer wait(io.context());
        while (!firstArrived && !exchange.callerLeft()) {
            wait.expires_after(std::chrono::milliseconds(1));
            wait.async_wait(exchange.yield());
        }
        exchange.writeChunk("second");
        exchange.finishStream();
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    http_client client(io.context());
    std::string parts;
    call_options streaming = options();
    streaming.onBodyPart = [&](std::string_view part) {
        parts += part;
        firstArrived = true;
    };
    const auto outcome = call(io, client, server.port(), streaming);
    REQUIRE(outcome.response);
    CHECK(parts == "first second");
    CHECK(outcome.response.value().body == parts);
}

// Guards against taking a response that was cut off for a whole one, and the other way round.
TEST_CASE("a response without a length is whole only if its connection ends in order", "[net]")
{
    const bool isReset = GENERATE(false, true);
    scripted_server server([isReset](tcp::acceptor &acceptor) {
        tcp::socket socket = acceptor.accept();
        readRequest(socket);
        boost::asio::write(socket, boost::asio::buffer("HTTP/1.1 200 OK\r\n\r\nhalf"s));
        socket.set_option(tcp::socket::linger(isReset, 0)); // closing then resets the connection
        if (!isReset)
            boost::asio::write(socket, boost::asio::buffer("full"s));
        socket.close(); // the destructor would not reset it
    });
    test_io io;
    http_client client(io.context());
    const auto outcome = call(io, client, server.port());
    CHECK(static_cast<bool>(outcome.response) == !isReset);
    if (!isReset)
        CHECK(outcome.response.value().body == "halffull");
    CHECK(client.idleConnections() == 0);
}

TEST_CASE("a request that would change its own framing is not sent", "[net]")
{
    test_io io;
    http_client client(io.context());
    const http_request split = { "GET", "/", { { "X", "a\r\nContent-Length: 9" } }, "" };
    const auto outcome = call(io, client, 1, options(), split);
    CHECK(outcome.response.error().code == errc::InvalidRequest);
    CHECK_FALSE(outcome.mayHaveBeenSent);
    const http_request spaced = { "GET", "/ HTTP/1.1", {}, "" };
    CHECK(call(io, client, 1, options(), spaced).response.error().code == errc::InvalidRequest);
}

// Guards against a gateway that takes refused connections for sound ones, or learns nothing of
// them.
TEST_CASE("attempts to connect are reported, and a connection opened ahead is used", "[net]")
{
    test_io io;
    http_server server(io.context(), {}, [](http_exchange &exchange) {
        exchange.respond({ 200, {}, "" });
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    http_client client(io.context());
    std::vector<std::string> addresses;
    std::vector<connection_outcome> outcomes;
    connection_observer observer;
    observer.onBegin
            = [&](std::uint64_t, const std::string &address) { addresses.push_back(address); };
    observer.onEnd
            = [&](std::uint64_t, connection_outcome outcome) { outcomes.push_back(outcome); };
    client.observeConnections(observer);
    const auto open = [&](std::uint16_t port) {
        return io.run([&](boost::asio::yield_context yield) {
            return client.openIdle(loopback(port), testWaitLimit, yield);
        });
    };
    CHECK(open(server.port()));
    CHECK_FALSE(open(1)); // nothing listens there
    CHECK(addresses == std::vector<std::string>{ loopback(server.port()), loopback(1) });
    const std::vector expected{ connection_outcome::Connected, connection_outcome::Failed };
    CHECK(outcomes == expected);
    CHECK(call(io, client, server.port()).reusedConnection);
    CHECK(outcomes.size() == 2);
}

// Guards against counting a connection that was never answered as refused: a caller may have left.
TEST_CASE("an attempt that is given up on is reported as such", "[net]")
{
    // The queue of a listening socket that accepts nothing is full after a few connections, and
    // further attempts hang.
    boost::asio::io_context idle;
    tcp::acceptor acceptor(idle);
    const tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
    acceptor.open(any.protocol());
    acceptor.bind(any);
    acceptor.listen(0);
    test_io io;
    http_client client(io.context());
    std::vector<connection_outcome> outcomes;
    connection_observer observer;
    observer.onEnd
            = [&](std::uint64_t, connection_outcome outcome) { outcomes.push_back(outcome); };
    client.observeConnections(observer);
    const std::string address = loopback(acceptor.local_endpoint().port());
    constexpr int attempts = 3;
    for (int i = 0; i < attempts; ++i) {
        io.run([&](boost::asio::yield_context yield) {
            return client.openIdle(address, std::chrono::milliseconds(100), yield);
        });
    }
    CHECK(outcomes.back() == connection_outcome::GivenUpOn);
}

} // namespace fescuedeck
