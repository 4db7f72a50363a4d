#include "fescuedeck/gateway/config_requests.h"

#include <set>

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };
const std::vector<config_holder> holders = { { "a", 7 }, { "b", 6 }, { "c", 7 } };

} // namespace

TEST_CASE("one peer with the newest configuration is asked at a time", "[gateway]")
{
    config_requests requests(seededRandom(1));
    CHECK_FALSE(requests.choose({}, start));
    const auto first = requests.choose(holders, start);
    REQUIRE(first);
    CHECK(first->version == 7);
    CHECK_FALSE(requests.choose(holders, start + std::chrono::milliseconds(600)));
    const auto second = requests.choose(holders, start + std::chrono::milliseconds(700));
    REQUIRE(second);
    CHECK(second->version == 7);
    CHECK(second->peer != first->peer);
}

TEST_CASE("a peer that is gone, or an older version, is not waited for", "[gateway]")
{
    config_requests requests(seededRandom(1));
    REQUIRE(requests.choose({ { "a", 7 } }, start));
    CHECK(requests.choose({ { "c", 7 } }, start + duration(1))->peer == "c");
    CHECK(requests.choose({ { "c", 8 } }, start + duration(2))->version == 8);
    CHECK_FALSE(requests.choose({ { "c", 8 } }, start + duration(3)));
}

// Guards against many gateways that all ask the same peer, whose link is full for seconds.
TEST_CASE("gateways ask different peers", "[gateway]")
{
    std::set<std::string> asked;
    for (int seed = 1; seed <= 20; ++seed) {
        config_requests requests(seededRandom(seed));
        asked.insert(requests.choose(holders, start)->peer);
    }
    CHECK(asked == std::set<std::string>{ "a", "c" });
}

} // namespace fescuedeck
