#include "fescuedeck/stream/coverage_check.h"

#include <catch2/catch.hpp>

namespace fescuedeck {

TEST_CASE("layer ranges pass the check only if they partition the layers in order", "[stream]")
{
    // Guards against tokens that were computed with a layer skipped, repeated or out of order.
    CHECK_FALSE(partitionFault({ { 0, 8 }, { 8, 24 }, { 24, 32 } }, 32));
    CHECK(partitionFault({}, 32));
    CHECK(partitionFault({ { 0, 8 }, { 16, 32 } }, 32));
    CHECK(partitionFault({ { 0, 16 }, { 8, 32 } }, 32));
    CHECK(partitionFault({ { 8, 32 }, { 0, 8 } }, 32));
    CHECK(partitionFault({ { 0, 8 }, { 8, 8 }, { 8, 32 } }, 32));
    CHECK(partitionFault({ { 0, 16 } }, 32));
}

TEST_CASE("hops of another attempt or position fail the coverage check", "[stream]")
{
    // Guards against a token whose layers ran on the KV caches of different attempts.
    const std::vector<accepted_hop> hops
            = { { 2, 5, { 0, 16 }, "a", "1" }, { 2, 5, { 16, 32 }, "b", "1" } };
    CHECK_FALSE(coverageFault(hops, 2, 5, 32));
    CHECK(coverageFault(hops, 1, 5, 32));
    CHECK(coverageFault(hops, 2, 6, 32));
}

} // namespace fescuedeck
