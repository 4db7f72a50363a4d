#include "fescuedeck/gateway/event_splitter.h"

#include <catch2/catch.hpp>

namespace fescuedeck {

TEST_CASE("take returns only complete events", "[gateway]")
{
    event_splitter splitter;
    splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
    CHECK(splitter.take() == "id: 1\ndata: a\n\n");
    CHECK(splitter.hasPartialEvent());
    splitter.feed("ta: b\n\n");
    CHECK(splitter.take() == "id: 2\ndata: b\n\n");
    CHECK_FALSE(splitter.hasPartialEvent());
    CHECK(splitter.lastId() == 2);
    CHECK_FALSE(splitter.isInvalid());
}

TEST_CASE("a stream split between any two bytes gives the same events", "[gateway]")
{
    const std::string stream = "id: 7\r\ndata: x\r\n\r\nversion: 1\nid: 8\ndata: y\n\nid: 9\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        event_splitter splitter;
        splitter.feed(std::string_view(stream).substr(0, cut));
        std::string taken = splitter.take();
        splitter.feed(std::string_view(stream).substr(cut));
        taken += splitter.take();
        CHECK(taken == stream);
        CHECK(splitter.lastId() == 9);
    }
}

TEST_CASE("a resumed stream omits the events that the caller already has", "[gateway]")
{
    event_splitter splitter(4);
    splitter.feed("id: 3\n\nid: 4\n\nid: 5\n\n");
    CHECK(splitter.take() == "id: 5\n\n");
    CHECK_FALSE(splitter.isInvalid());
}

TEST_CASE("an event whose id skips one, cannot be parsed or is absent is not taken", "[gateway]")
{
    for (const char *damaged : { "id: 6\n\n", "id: x\n\n", "data: no id\n\n" }) {
        event_splitter splitter(4);
        splitter.feed(damaged);
        CHECK(splitter.take().empty());
        CHECK(splitter.isInvalid());
        CHECK(splitter.lastId() == 4);
    }
}

// Guards against two events that count as one, so that a resumed stream repeats the second one, and
// against a whole stream that counts as broken off.
TEST_CASE("an empty line ends an event whatever line end it has", "[gateway]")
{
    for (const char *emptyLine : { "\n", "\r\n" }) {
        for (const char *lineEnd : { "\n", "\r\n" }) {
            const std::string first = std::string("id: 1") + lineEnd + emptyLine;
            const std::string second = std::string("id: 2") + lineEnd + "data: x" + lineEnd;
            event_splitter splitter;
            splitter.feed(first + second);
            CHECK(splitter.take() == first);
            CHECK(splitter.lastId() == 1);
            splitter.feed(emptyLine);
            CHECK(splitter.take() == second + emptyLine);
            CHECK(splitter.lastId() == 2);
            splitter.feed(emptyLine); // one more than needed
            CHECK(splitter.take().empty());
            CHECK_FALSE(splitter.hasPartialEvent());
            CHECK_FALSE(splitter.isInvalid());
        }
    }
}

// Guards against cutting a sound stream whose endpoint sends comments to keep the connection open.
TEST_CASE("comments are dropped and are no progress", "[gateway]")
{
    event_splitter splitter;
    splitter.feed(": keep-alive\n\n:\r\n\r\n");
    CHECK(splitter.take().empty());
    CHECK(splitter.completeEvents() == 0);
    CHECK_FALSE(splitter.isInvalid());
    splitter.feed(": note\nid: 1\ndata: x\n\n");
    CHECK(splitter.take() == ": note\nid: 1\ndata: x\n\n");
    CHECK(splitter.completeEvents() == 1);
}

// Guards against filling the memory of the host with bytes that never end an event.
TEST_CASE("an event without end makes the stream invalid", "[gateway]")
{
    event_splitter splitter;
    const std::string part(64 * 1024, 'x');
    std::size_t fed = 0;
    while (!splitter.isInvalid() && fed <= 2 * maxEventBytes) {
        splitter.feed(part);
        CHECK(splitter.take().empty());
        fed += part.size();
    }
    CHECK(splitter.isInvalid());
    CHECK(fed <= maxEventBytes + part.size());
}

} // namespace fescuedeck
