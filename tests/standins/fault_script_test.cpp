#include "standins/fault_script.h"

#include <catch2/catch.hpp>

namespace fescuedeck::standins {

TEST_CASE("a fault applies to the scripted calls only", "[standins]")
{
    // Guards against process tests that pass because their fault never happened.
    fault_script script;
    script.add(parseFaultRule({ { "kind", "crash" },
                                { "path", "/v1/stage/run" },
                                { "first", 2 },
                                { "marker", "cursed" } })
                       .value());
    CHECK(script.match("/v1/stage/run", "a cursed vase").empty());
    CHECK(script.match("/v1/report", "a cursed vase").empty());
    CHECK(script.match("/v1/stage/run", "a vase").empty());
    CHECK(script.match("/v1/stage/run", "a cursed vase").size() == 1);
    CHECK(script.match("/v1/stage/run", "a cursed vase").empty());
    CHECK(script.status()[0]["fired"] == 1);
}

TEST_CASE("an unknown fault is reported", "[standins]")
{
    CHECK_FALSE(parseFaultRule({ { "kind", "melt" } }));
    CHECK_FALSE(parseFaultRule({ { "path", "/" } }));
}

} // namespace fescuedeck::standins
