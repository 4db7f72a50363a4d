#include "fescuedeck/net/http_server.h"

#include <optional>
#include <stdexcept>
#include <thread>

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fescuedeck/net/echo_handler.h"
#include "fescuedeck/net/test_io.h"

namespace fescuedeck {
namespace {

std::string outcomeOf(const std::string &response)
{
    return nlohmann::json::parse(response.substr(response.find("\r\n\r\n")))["outcome"];
}

// Begins a request with a head of 15 KiB, most of which are the shortest fields.
std::string beginWithManyFields(const std::string &target)
{
    std::string head = "POST " + target + " HTTP/1.1\r\n";
    for (int i = 0; i < 15 * 1024 / 4; ++i)
        head += "a:\r\n";
    return head;
}

} // namespace

TEST_CASE("a connection carries several requests, also sent ahead", "[net]")
{
    test_io io;
    http_server server(io.context(), {}, echo);
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection caller(server.port());
    caller.send(get("/1"));
    CHECK(caller.receiveUntil("echo /1").find("HTTP/1.1 200 OK") == 0);
    caller.send(get("/2") + get("/3"));
    CHECK(caller.receiveUntil("echo /3").find("echo /2") != std::string::npos);
    caller.send("GET /4 HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(caller.receiveAll().find("echo /4") != std::string::npos);
}

TEST_CASE("malformed and oversized requests get an error and the server stays up", "[net]")
{
    http_server_limits limits;
    limits.maxBodyBytes = 1000;
    limits.maxHeaderBytes = 1000;
    test_io io;
    std::atomic<int> calls{ 0 };
    http_server server(io.context(), limits, [&](http_exchange &exchange) {
        ++calls;
        echo(exchange);
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));

    const auto answerTo = [&](const std::string &bytes) {
        raw_connection caller(server.port());
        caller.send(bytes);
        return caller.receiveAll();
    };
    const std::string malformed = answerTo("\x01\x02 nonsense\r\n\r\n");
    CHECK(malformed.find("HTTP/1.1 400") == 0);
    CHECK(outcomeOf(malformed) == "not-run");
    CHECK(answerTo("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n").find("HTTP/1.1 400") == 0);
    const std::string head = "POST / HTTP/1.1\r\nContent-Length: ";
    const std::string tooLarge = answerTo(head + "2000000\r\n\r\n" + std::string(2000000, 'x'));
    CHECK(tooLarge.find("HTTP/1.1 413") == 0);
    CHECK(outcomeOf(tooLarge) == "not-run");
    const std::string chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    CHECK(answerTo(chunked + "7d0\r\n" + std::string(2000, 'x')).find("HTTP/1.1 413") == 0);
    const std::string longHeader = "GET / HTTP/1.1\r\nX: " + std::string(90000, 'x') + "\r\n\r\n";
    CHECK(answerTo(longHeader).find("HTTP/1.1 431") == 0);
    CHECK(calls == 0);
    CHECK(answerTo("GET /ok HTTP/1.0\r\n\r\n").find("echo /ok") != std::string::npos);
}

// Guards against taking the bytes of a body for further requests.
TEST_CASE("a body whose end cannot be found is refused and ends the connection", "[net]")
{
    const std::string encoding = GENERATE(as<std::string>{}, "gzip", "chunked, gzip", "identity");
    test_io io;
    std::atomic<int> handled{ 0 };
    http_server server(io.context(), {}, [&](http_exchange &exchange) {
        ++handled;
        exchange.respond({});
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection caller(server.port());
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + encoding
                + "\r\n\r\nGET /inner HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string answer = caller.receiveAll();
    CHECK(answer.rfind("HTTP/1.1 400 ", 0) == 0);
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(handled == 0);
}

TEST_CASE("a handler that throws gives status 500 and an unknown outcome", "[net]")
{
    test_io io;
    awaited_value<std::string> reported;
    http_server server(io.context(), {}, echo);
    server.onHandlerException([&](const std::string &what) { reported.set(what); });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection caller(server.port());
    caller.send(get("/throw"));
    const std::string response = caller.receiveUntil("unknown\"}");
    CHECK(response.find("HTTP/1.1 500") == 0);
    CHECK(reported.wait() == "fault in a handler");
    caller.send(get("/after"));
    CHECK(caller.receiveUntil("echo /after").find("200 OK") != std::string::npos);
}

TEST_CASE("a waiting handler learns that its caller has left", "[net]")
{
    // Guards against an endpoint working on for a caller that has gone.
    test_io io;
    awaited_value<bool> started;
    awaited_value<bool> left;
    http_server server(io.context(), {}, [&](http_exchange &exchange) {
        boost::asio::steady_timer wait(io.context(), testWaitLimit);
        exchange.onCallerLeft([&] { wait.cancel(); });
        started.set(true);
        boost::system::error_code error;
        wait.async_wait(exchange.yield()[error]);
        left.set(error == boost::asio::error::operation_aborted && exchange.callerLeft());
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection caller(server.port());
    caller.send(get("/"));
    started.wait();
    caller.close();
    CHECK(left.wait());
    CHECK(eventually([&] { return server.openConnections() == 0; }));
}

TEST_CASE("a stream ends with the last chunk, an abandoned one does not", "[net]")
{
    test_io io;
    http_server server(io.context(), {}, [](http_exchange &exchange) {
        exchange.startStream({ 200, { { "Content-Type", "text/event-stream" } }, "" });
        exchange.writeChunk("data: 1\n\n");
        if (exchange.request().target == "/whole")
            exchange.finishStream();
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection whole(server.port());
    whole.send(get("/whole"));
    CHECK(whole.receiveUntil("\r\n0\r\n\r\n").find("9\r\ndata: 1\n\n\r\n") != std::string::npos);
    raw_connection abandoned(server.port());
    abandoned.send(get("/abandoned"));
    CHECK(abandoned.receiveAll().find("\r\n0\r\n") == std::string::npos);
}

namespace {

// How a connection ends after the request: end of file, or the error of a reset.
boost::system::error_code endAfter(std::uint16_t port, const std::string &request)
{
    boost::asio::io_context ioContext;
    boost::asio::ip::tcp::socket socket(ioContext);
    socket.connect(parseAddress(loopback(port)).value());
    boost::asio::write(socket, boost::asio::buffer(request));
    std::string received;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
    CHECK(received.find("data: 1") != std::string::npos);
    return error;
}

const boost::system::error_code resetError = make_error_code(boost::asio::error::connection_reset);

} // namespace

// Guards against a part of a stream that a caller of version 1.0 takes for the whole, because it
// gets no chunks and its stream ends with the connection.
TEST_CASE("an abandoned stream to a caller of version 1.0 ends with a reset", "[net]")
{
    test_io io;
    http_server server(io.context(), {}, [](http_exchange &exchange) {
        const std::string target = exchange.request().target;
        exchange.startStream({ 200, { { "Content-Type", "text/event-stream" } }, "" });
        exchange.writeChunk("data: 1\n\n");
        if (target == "/whole")
            exchange.finishStream();
        if (target == "/throws")
            throw std::runtime_error("broken");
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    const std::string version = " HTTP/1.0\r\n\r\n";
    const std::string keepAlive = " HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
    const auto end = make_error_code(boost::asio::error::eof);
    CHECK(endAfter(server.port(), "GET /whole" + version) == end);
    CHECK(endAfter(server.port(), "GET /whole" + keepAlive) == end);
    CHECK(endAfter(server.port(), "GET /abandoned" + version) == resetError);
    CHECK(endAfter(server.port(), "GET /abandoned" + keepAlive) == resetError);
    CHECK(endAfter(server.port(), "GET /throws" + version) == resetError);
}

// Guards against the same where the server is destroyed during the stream.
TEST_CASE("the end of a server resets the streams of callers of version 1.0", "[net]")
{
    std::optional<test_io> io(std::in_place);
    awaited_value<bool> started;
    std::optional<http_server> server;
    server.emplace(io->context(), http_server_limits(), [&](http_exchange &exchange) {
        exchange.startStream({});
        exchange.writeChunk("data: 1\n\n");
        started.set(true);
        boost::asio::steady_timer timer(io->context(), testWaitLimit);
        timer.async_wait(exchange.yield());
    });
    REQUIRE_FALSE(server->listen("127.0.0.1:0"));
    std::thread ending([&] {
        started.wait();
        io->stop();
        server.reset();
        io.reset();
    });
    const auto error = endAfter(server->port(), "GET / HTTP/1.0\r\n\r\n");
    ending.join();
    CHECK(error == resetError);
}

TEST_CASE("a caller that does not read its stream is cut off", "[net]")
{
    // Guards against a slow caller holding its stream for ever.
    http_server_limits limits;
    limits.writeTimeout = std::chrono::milliseconds(50);
    test_io io;
    awaited_value<bool> cutOff;
    http_server server(io.context(), limits, [&](http_exchange &exchange) {
        exchange.startStream({});
        bool isOpen = true;
        for (int i = 0; i < 10000 && isOpen; ++i)
            isOpen = exchange.writeChunk(std::string(65536, 'x'));
        cutOff.set(!isOpen && exchange.callerLeft());
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection caller(server.port());
    caller.send(get("/"));
    CHECK(cutOff.wait());
}

// Guards against a lost request of which neither log nor metric tells.
TEST_CASE("the server reports why each connection has ended", "[net]")
{
    http_server_limits limits;
    limits.headerTimeout = limits.bodyTimeout = std::chrono::milliseconds(40);
    const auto endAfter = [&](const std::string &bytes, bool isClosed = false) {
        test_io io;
        awaited_value<connection_end> reported;
        http_server server(io.context(), limits, [](http_exchange &exchange) {
            if (exchange.request().target == "/broken")
                exchange.startStream({});
            else
                echo(exchange);
        });
        server.onConnectionEnd([&](const connection_end &end) { reported.set(end); });
        REQUIRE_FALSE(server.listen("127.0.0.1:0"));
        raw_connection caller(server.port());
        caller.send(bytes);
        if (isClosed)
            caller.close();
        else
            caller.receiveAll();
        return reported.wait();
    };

    const connection_end head = endAfter(get("/1") + "GET /2 HT");
    CHECK(head.reason == connection_end_reason::HeadTimeout);
    CHECK(head.answeredRequests == 1);
    CHECK(head.isUnusual());
    const connection_end body = endAfter("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n123");
    CHECK(body.reason == connection_end_reason::BodyTimeout);
    CHECK(body.hasPartialRequest);
    const connection_end broken = endAfter(get("/broken"));
    CHECK(broken.reason == connection_end_reason::ResponseBrokenOff);
    CHECK(broken.isUnusual());
    CHECK(broken.lastRequest.target == "/broken");
    CHECK(endAfter("nonsense\r\n\r\n").reason == connection_end_reason::MalformedRequest);
    const connection_end asked = endAfter("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(asked.reason == connection_end_reason::ResponseEndsConnection);
    CHECK_FALSE(asked.isUnusual());
    limits.headerTimeout = testWaitLimit;
    const connection_end closed = endAfter("GET /", true);
    CHECK(closed.reason == connection_end_reason::ClosedByCaller);
    CHECK(closed.hasPartialRequest);
    limits.idleTimeout = std::chrono::milliseconds(40);
    const connection_end idle = endAfter("");
    CHECK(idle.reason == connection_end_reason::IdleTimeout);
    CHECK_FALSE(idle.isUnusual());
}

// Guards against a caller that ends the process with one header, and against a request that is
// denied on a kept connection although the limits in force allow it.
TEST_CASE("a header limit beyond what the parser holds is safe", "[net]")
{
    http_server_limits limits;
    limits.maxHeaderBytes = 1000;
    test_io io;
    http_server server(io.context(), limits, echo);
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection kept(server.port());
    kept.send(get("/1"));
    kept.receiveUntil("echo /1");

    limits.maxHeaderBytes = 200'000;
    server.setLimits(limits);
    const auto getPadded = [](const std::string &target, std::size_t bytes) {
        return "GET " + target + " HTTP/1.1\r\nX-Padding: " + std::string(bytes, 'x') + "\r\n\r\n";
    };
    kept.send(getPadded("/2", 60'000));
    CHECK(kept.receiveUntil("echo /2").find("HTTP/1.1 200 OK") == 0);
    kept.send(getPadded("/3", 100'000));
    CHECK(kept.receiveAll().find("HTTP/1.1 431") == 0);
    raw_connection fresh(server.port());
    fresh.send(getPadded("/4", 100'000));
    CHECK(fresh.receiveAll().find("HTTP/1.1 431") == 0);
}

// Guards against a caller that ends the process with the trailer of a request.
TEST_CASE("an oversized trailer is refused", "[net]")
{
    const std::size_t bytes = GENERATE(65'600, 70'000, 200'000);
    test_io io;
    http_server server(io.context(), {}, echo);
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection caller(server.port());
    caller.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Padding: "
                + std::string(bytes, 'x') + "\r\n\r\n");
    const std::string answer = caller.receiveUntil("\r\n\r\n");
    CAPTURE(bytes, answer);
    CHECK(answer.find("HTTP/1.1 431") == 0);
}

TEST_CASE("connections beyond the limit are told to retry", "[net]")
{
    http_server_limits limits;
    limits.maxConnections = 1;
    test_io io;
    http_server server(io.context(), limits, echo);
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection first(server.port());
    first.send(get("/1"));
    first.receiveUntil("echo /1");
    raw_connection second(server.port());
    const std::string refusal = second.receiveAll();
    CHECK(refusal.find("HTTP/1.1 503") == 0);
    CHECK(outcomeOf(refusal) == "not-run");
    first.send(get("/2"));
    CHECK(first.receiveUntil("echo /2").find("200 OK") != std::string::npos);
}

// Guards against idle connections that keep new callers out, and against the loss of an answer.
TEST_CASE("the longest idle connection is closed for a new one", "[net]")
{
    http_server_limits limits;
    limits.maxConnections = 2;
    limits.closesWaitingForNew = true;
    test_io io(1);
    awaited_value<bool> hasBegun;
    std::atomic<bool> mayAnswer{ false };
    http_server server(io.context(), limits, [&](http_exchange &exchange) {
        if (exchange.request().target == "/slow") {
            hasBegun.set(true);
            boost::asio::steady_timer timer(io.context());
            while (!mayAnswer) {
                timer.expires_after(std::chrono::milliseconds(1));
                timer.async_wait(exchange.yield());
            }
        }
        echo(exchange);
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection busy(server.port());
    busy.send(get("/slow"));
    hasBegun.wait();
    raw_connection idle(server.port());
    idle.send(get("/1"));
    idle.receiveUntil("echo /1");
    raw_connection next(server.port());
    CHECK(idle.receiveAll().empty());
    next.send(get("/2"));
    CHECK(next.receiveUntil("echo /2").find("200 OK") != std::string::npos);
    mayAnswer = true;
    CHECK(busy.receiveUntil("echo /slow").find("200 OK") != std::string::npos);
}

// Guards against bodies that are read although there is no memory for them.
TEST_CASE("a body without memory is refused before it is read", "[net][memory]")
{
    memory_account account(4 * 1024 * 1024);
    memory_holder other(account, memory_owner::CollectedAnswers, "", steadyNow());
    test_io io(1);
    std::atomic<int> handled{ 0 };
    http_server server(io.context(), {}, [&](http_exchange &exchange) {
        ++handled;
        echo(exchange);
    });
    server.useMemory(account, memory_owner::CallerBodies);
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    other.charge(3 * 1024 * 1024, steadyNow());
    const std::string framing
            = GENERATE(as<std::string>{}, "Expect: 100-continue\r\nContent-Length: 1000000\r\n\r\n",
                       "Content-Length: 1000000\r\n\r\n",
                       "Transfer-Encoding: chunked\r\n\r\n80000\r\n" + std::string(0x80000, 'x'));
    raw_connection caller(server.port());
    caller.send("POST / HTTP/1.1\r\n" + framing);
    const std::string refusal = caller.receiveAll();
    CHECK(refusal.find("HTTP/1.1 503") == 0);
    CHECK(refusal.find("Retry-After: ") != std::string::npos);
    CHECK(outcomeOf(refusal) == "not-run");
    CHECK(handled == 0);
    // A small one is served.
    raw_connection ordinary(server.port());
    ordinary.send("POST /small HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
    CHECK(ordinary.receiveUntil("echo /small").find("200 OK") != std::string::npos);
}

// Guards against heads of many fields that use up the memory before a body is paid for.
TEST_CASE("a head without memory is refused before its end", "[net][memory]")
{
    memory_account account(4 * 1024 * 1024);
    memory_holder other(account, memory_owner::CollectedAnswers, "", steadyNow());
    test_io io(1);
    std::atomic<int> handled{ 0 };
    http_server server(io.context(), {}, [&](http_exchange &exchange) {
        ++handled;
        echo(exchange);
    });
    server.useMemory(account, memory_owner::CallerBodies);
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    other.charge(4 * 1024 * 1024 - 1024, steadyNow());
    raw_connection caller(server.port());
    caller.send(beginWithManyFields("/"));
    caller.endSending();
    const std::string refusal = caller.receiveAll();
    REQUIRE(refusal.find("HTTP/1.1 503") == 0);
    CHECK(refusal.find("Retry-After: ") != std::string::npos);
    CHECK(outcomeOf(refusal) == "not-run");
    CHECK(handled == 0);
    // One with the head of an ordinary request is served.
    raw_connection ordinary(server.port());
    ordinary.send(get("/small"));
    CHECK(ordinary.receiveUntil("echo /small").find("200 OK") != std::string::npos);
}

// Guards against a refusal whose body the caller takes for another answer.
TEST_CASE("the refusal of a HEAD request without memory has no body", "[net][memory]")
{
    memory_account account(1024);
    memory_holder other(account, memory_owner::CollectedAnswers, "", steadyNow());
    test_io io(1);
    http_server server(io.context(), {}, echo);
    server.useMemory(account, memory_owner::CallerBodies);
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    other.charge(1024, steadyNow());
    raw_connection caller(server.port());
    caller.send("HEAD / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n");
    const std::string refusal = caller.receiveAll();
    CHECK(refusal.find("HTTP/1.1 503") == 0);
    CHECK(refusal.find("\r\n\r\n") == refusal.size() - 4);
}

// Guards against charges that refuse a single head inside the limits, or that outlive a request.
TEST_CASE("heads with many fields are served one after the other", "[net][memory]")
{
    memory_account account(1);
    test_io io(1);
    http_server server(io.context(), {}, echo);
    server.useMemory(account, memory_owner::CallerBodies);
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    const std::string end = GENERATE(as<std::string>{}, "\r\n", "Content-Length: 3\r\n\r\nabc");
    raw_connection kept(server.port());
    for (int i = 0; i < 3; ++i) {
        kept.send(beginWithManyFields("/kept") + end);
        CHECK(kept.receiveUntil("echo /kept").find("200 OK") != std::string::npos);
    }
    CHECK(eventually([&] {
        raw_connection other(server.port());
        other.send(beginWithManyFields("/other") + end);
        return other.receiveUntil("echo /other").find("200 OK") != std::string::npos;
    }));
}

// Guards against heads that stop short and hold the memory which others need.
TEST_CASE("a head that stands still loses its memory to another", "[net][memory]")
{
    memory_account account(1);
    std::atomic<int> reclaimed{ 0 };
    account.onReclaimed([&](memory_owner) { ++reclaimed; });
    test_io io(1);
    http_server server(io.context(), {}, echo);
    server.useMemory(account, memory_owner::CallerBodies);
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection stopped(server.port());
    stopped.send(beginWithManyFields("/stopped"));
    CHECK(eventually([&] {
        raw_connection caller(server.port());
        caller.send(beginWithManyFields("/next") + "Connection: close\r\n\r\n");
        caller.receiveAll();
        return reclaimed > 0;
    }));
    CHECK(reclaimed == 1);
    CHECK(stopped.receiveAll().empty());
}

// Guards against heads that are paid for only until their end, and against requests that lose their
// connection while they are handled.
TEST_CASE("a head is paid for while its request is handled", "[net][memory]")
{
    memory_account account(1);
    test_io io(1);
    awaited_value<bool> hasBegun;
    std::atomic<bool> mayAnswer{ false };
    http_server server(io.context(), {}, [&](http_exchange &exchange) {
        hasBegun.set(true);
        boost::asio::steady_timer timer(io.context());
        while (!mayAnswer) {
            timer.expires_after(std::chrono::milliseconds(1));
            timer.async_wait(exchange.yield());
        }
        echo(exchange);
    });
    server.useMemory(account, memory_owner::CallerBodies);
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection busy(server.port());
    busy.send(beginWithManyFields("/busy") + "\r\n");
    hasBegun.wait();
    std::this_thread::sleep_for(memory_account::idleTime);
    raw_connection other(server.port());
    other.send(beginWithManyFields("/other"));
    other.endSending();
    CHECK(other.receiveAll().find("HTTP/1.1 503") == 0);
    mayAnswer = true;
    CHECK(busy.receiveUntil("echo /busy").find("200 OK") != std::string::npos);
}

// Guards against heads that pass the limit of their size because they come in pieces.
TEST_CASE("a head that comes in pieces is limited as a whole", "[net][memory]")
{
    http_server_limits limits;
    limits.maxHeaderBytes = 1000;
    test_io io;
    http_server server(io.context(), limits, echo);
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    raw_connection caller(server.port());
    caller.send("GET / HTTP/1.1\r\n");
    for (int i = 0; i < 12; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        caller.send("X-Padding: " + std::string(100, 'x') + "\r\n");
    }
    caller.send("Connection: close\r\n\r\n");
    CHECK(caller.receiveAll().find("HTTP/1.1 431") == 0);
}

} // namespace fescuedeck
