#include "fescuedeck/gateway/background_call.h"

#include <atomic>
#include <memory>
#include <thread>

#include <catch2/catch.hpp>

#include "fescuedeck/net/http_server.h"
#include "fescuedeck/net/test_io.h"
#include "fescuedeck/router/wait_event.h"

namespace fescuedeck {
namespace {

// A server, and the owner of a call to it. The owner runs on the thread of the io_context.
class call_fixture
{
public:
    explicit call_fixture(http_handler handler)
        : m_client(m_io.context())
        , m_server(m_io.context(), {}, std::move(handler))
    {
        REQUIRE_FALSE(m_server.listen("127.0.0.1:0"));
    }
    ~call_fixture()
    {
        destroyCall();
        m_io.stop();
    }

    void start(const std::function<void()> &onNews)
    {
        onThread([&] {
            call_options options;
            options.cancellation.emplace();
            options.collectsBody = false;
            options.onHead = [this](const http_response &) { ++hookCalls; };
            background_call_hooks hooks;
            hooks.readPart = [this](std::string_view part) {
                ++hookCalls;
                return std::string(part);
            };
            hooks.onNews = onNews;
            call = std::make_unique<background_call>(
                    m_io.context(), m_client, loopback(m_server.port()),
                    http_request{ "GET", "/", {}, "" }, options, std::move(hooks));
        });
    }
    void onThread(const std::function<void()> &function)
    {
        m_io.run([&](boost::asio::yield_context) {
            function();
            return true;
        });
    }
    void destroyCall()
    {
        onThread([this] { call.reset(); });
    }
    // Takes what waits, as soon as something does.
    std::string takeNext()
    {
        std::string taken;
        CHECK(eventually([&] {
            onThread([&] { taken = call->takePart(); });
            return !taken.empty();
        }));
        return taken;
    }
    bool hasEnded()
    {
        bool ended = false;
        onThread([&] { ended = call->result().has_value(); });
        return ended;
    }

    std::atomic<int> hookCalls{ 0 };
    std::unique_ptr<background_call> call;

private:
    test_io m_io{ 1 };
    http_client m_client;
    http_server m_server;
};

} // namespace

// Guards against a body that fills the memory because its owner does not take it.
TEST_CASE("a background call reads on only when its owner takes a part", "[gateway]")
{
    std::atomic<int> partsSent{ 0 };
    call_fixture fixture([&](http_exchange &exchange) {
        exchange.startStream({ 200, {}, "" });
        while (partsSent < 64 && exchange.writeChunk(std::string(1024 * 1024, 'x')))
            ++partsSent;
        exchange.finishStream();
    });
    fixture.start([] {});
    const std::string first = fixture.takeNext();
    CHECK(first.size() <= 1024 * 1024);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(partsSent < 32); // the rest waits in the sockets
    CHECK_FALSE(fixture.hasEnded());
    CHECK_FALSE(fixture.takeNext().empty());
}

TEST_CASE("a background call hands over all parts and then its result", "[gateway]")
{
    call_fixture fixture([](http_exchange &exchange) {
        exchange.startStream({ 200, {}, "" });
        for (const char *part : { "a", "b", "c" }) {
            exchange.writeChunk(part);
            sleepFor(std::chrono::milliseconds(10), exchange.yield());
        }
        exchange.finishStream();
    });
    std::atomic<int> news{ 0 };
    fixture.start([&] { ++news; });
    std::string body;
    while (body.size() < 3)
        body += fixture.takeNext();
    CHECK(body == "abc");
    CHECK(eventually([&] { return fixture.hasEnded(); }));
    CHECK(news >= 2);
    fixture.onThread([&] {
        REQUIRE(fixture.call->result()->response);
        CHECK(fixture.call->result()->response.value().status == 200);
    });
}

// Guards against a stream that lacks events, because a part replaces the one before it that its
// owner has not taken yet.
TEST_CASE("a background call loses no part that its owner takes late", "[gateway]")
{
    std::atomic<bool> isSent{ false };
    call_fixture fixture([&](http_exchange &exchange) {
        exchange.startStream({ 200, {}, "" });
        for (const char *part : { "a", "b", "c" }) {
            exchange.writeChunk(part);
            sleepFor(std::chrono::milliseconds(10), exchange.yield());
        }
        exchange.finishStream();
        isSent = true;
    });
    fixture.start([] {});
    REQUIRE(eventually([&] { return isSent.load(); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50)); // in which it could read on
    std::string body = fixture.takeNext();
    REQUIRE(body[0] == 'a');
    while (body.size() < 3)
        body += fixture.takeNext();
    CHECK(body == "abc");
}

// Guards against hooks that use an owner which has gone.
TEST_CASE("a background call whose owner has gone is cancelled and calls no hook", "[gateway]")
{
    std::atomic<bool> isCancelled{ false };
    std::atomic<bool> mayAnswer{ false };
    call_fixture fixture([&](http_exchange &exchange) {
        while (!mayAnswer && !exchange.callerLeft())
            sleepFor(std::chrono::milliseconds(2), exchange.yield());
        isCancelled = exchange.callerLeft();
        exchange.respond({ 200, {}, "late" });
    });
    std::atomic<int> news{ 0 };
    const bool isStarted = GENERATE(true, false);
    fixture.start([&] { ++news; });
    if (isStarted)
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    fixture.destroyCall();
    if (isStarted)
        CHECK(eventually([&] { return isCancelled.load(); }));
    mayAnswer = true;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(fixture.hookCalls == 0);
    CHECK(news == 0);
}

// Guards against an owner that waits for ever, because a call that fails at once has no news.
TEST_CASE("a background call that cannot connect ends with a failure", "[gateway]")
{
    test_io io{ 1 };
    http_client client(io.context());
    awaited_value<bool> hasFailed;
    std::unique_ptr<background_call> call;
    io.run([&](boost::asio::yield_context) {
        call_options options;
        options.cancellation.emplace();
        background_call_hooks hooks;
        // A hook may destroy the call.
        hooks.onNews = [&] {
            const bool isFailure = !call->result()->response;
            call.reset();
            hasFailed.set(isFailure);
        };
        call = std::make_unique<background_call>(io.context(), client, "127.0.0.1:1",
                                                 http_request{ "GET", "/", {}, "" }, options,
                                                 std::move(hooks));
        return true;
    });
    CHECK(hasFailed.wait());
    io.stop(); // the hook may still be returning
}

} // namespace fescuedeck
