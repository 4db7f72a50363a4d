#include "fescuedeck/telemetry/trace.h"

#include <catch2/catch.hpp>

namespace fescuedeck {

TEST_CASE("traceparent is parsed strictly", "[telemetry]")
{
    const std::string header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    const auto context = parseTraceparent(header);
    REQUIRE(context);
    CHECK(formatTraceparent(*context) == header);
    CHECK_FALSE(parseTraceparent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7"));
    CHECK_FALSE(parseTraceparent("00-00000000000000000000000000000000-00f067aa0ba902b7-01"));
    CHECK_FALSE(parseTraceparent("00-4BF92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"));
}

TEST_CASE("the trace store keeps a bounded number of traces", "[telemetry]")
{
    // Guards against memory that grows with the number of requests.
    trace_store store("router-1", 2);
    for (const char *id : { "a", "b", "c" })
        store.record({ { id, "1" }, "", "request", 1, 2, false, {} });
    CHECK(store.find("a").empty());
    CHECK(store.find("c").size() == 1);
    CHECK(store.findOtlp("c").find("\"service.name\"") != std::string::npos);
}

} // namespace fescuedeck
