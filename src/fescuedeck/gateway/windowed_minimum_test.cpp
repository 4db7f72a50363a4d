#include "fescuedeck/gateway/windowed_minimum.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "fescuedeck/base/random.h"

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };
constexpr duration period = std::chrono::seconds(10);

} // namespace

TEST_CASE("a windowed minimum falls at once and rises a period later", "[gateway]")
{
    windowed_minimum minimum(0, period);
    CHECK(minimum.at(start) == 0);
    minimum.set(5, start);
    CHECK(minimum.at(start + period) == 0);
    CHECK(minimum.at(start + period + duration(1)) == 5);
    minimum.set(2, start + 2 * period);
    CHECK(minimum.at(start + 2 * period) == 2);
}

TEST_CASE("a windowed minimum equals the smallest of all values in the period", "[gateway]")
{
    const random_fn random = seededRandom(3);
    windowed_minimum minimum(0, period);
    std::vector<std::pair<time_point, int>> changes = { { time_point::min(), 0 } };
    time_point now = start;
    for (int i = 0; i < 1000; ++i) {
        now += std::chrono::milliseconds(uniformBelow(random, 3000));
        const int value = static_cast<int>(uniformBelow(random, 8));
        minimum.set(value, now);
        changes.emplace_back(now, value);
        int expected = value;
        for (std::size_t change = 0; change + 1 < changes.size(); ++change) {
            const bool wasInPeriod = changes[change + 1].first >= now - period;
            expected = wasInPeriod ? std::min(expected, changes[change].second) : expected;
        }
        REQUIRE(minimum.at(now) == expected);
    }
}

} // namespace fescuedeck
