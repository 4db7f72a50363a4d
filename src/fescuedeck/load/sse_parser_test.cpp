#include "fescuedeck/load/sse_parser.h"

#include <catch2/catch.hpp>

namespace fescuedeck {

TEST_CASE("events are the same however the body is cut", "[load]")
{
    // Guards against tokens that are lost or doubled because a chunk ends inside an event.
    const std::string body
            = "data: {\"a\":1}\n\n: comment\r\ndata: x\r\ndata: y\r\n\r\ndata: [DONE]\n\n";
    for (std::size_t cut = 0; cut <= body.size(); ++cut) {
        sse_parser parser;
        std::vector<std::string> events = parser.feed(body.substr(0, cut));
        for (const std::string &event : parser.feed(body.substr(cut)))
            events.push_back(event);
        CHECK(events == std::vector<std::string>{ "{\"a\":1}", "x\ny", "[DONE]" });
    }
}

} // namespace fescuedeck
