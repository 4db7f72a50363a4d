#include "fescuedeck/gateway/stale_choice.h"

#include <string>

#include <catch2/catch.hpp>

#include "fescuedeck/base/hash.h"

namespace fescuedeck {
namespace {

std::vector<int> choices(const std::vector<choice_candidate> &candidates, double unseenWork,
                         int requests)
{
    std::vector<int> chosen(candidates.size());
    for (int i = 0; i < requests; ++i)
        ++chosen[chooseByStaleLoad(candidates, unseenWork, stableHash(std::to_string(i)))];
    return chosen;
}

} // namespace

// Guards against a change for deployments whose figures are exact.
TEST_CASE("choice: fresh figures; every request goes to the least loaded candidate", "[load]")
{
    const std::vector<choice_candidate> candidates = { { 5, 8 }, { 3, 8 }, { 7, 16 } };
    CHECK(choices(candidates, 0, 100) == std::vector<int>{ 0, 100, 0 });
}

// Guards against gateways that all send to the least loaded endpoint until the next digest.
TEST_CASE("choice: 30 gateways with the same figures; the least loaded candidate is filled to the "
          "level of the others",
          "[load]")
{
    const std::vector<choice_candidate> candidates = { { 10, 20 }, { 4, 20 }, { 10, 20 } };
    // Six of the nine unseen requests even the loads out, one more goes to each candidate.
    CHECK(fillLevel(candidates, 9) == Approx(11.0 / 20));
    const std::vector<int> chosen = choices(candidates, 9, 9000);
    CHECK(chosen[0] == Approx(1000).margin(120));
    CHECK(chosen[1] == Approx(7000).margin(150));
    CHECK(chosen[2] == Approx(1000).margin(120));
}

TEST_CASE("choice: figures much older than the requests last; candidates get requests by capacity, "
          "and a full one none",
          "[load]")
{
    const std::vector<int> chosen = choices({ { 0, 10 }, { 0, 30 }, { 5000, 10 } }, 400, 4000);
    CHECK(chosen[0] == Approx(1000).margin(120));
    CHECK(chosen[1] == Approx(3000).margin(120));
    CHECK(chosen[2] == 0);
}

TEST_CASE("choice: the same request chooses the same candidate again", "[load]")
{
    const std::vector<choice_candidate> candidates = { { 0, 1 }, { 0, 1 }, { 0, 1 } };
    CHECK(chooseByStaleLoad(candidates, 3, 42) == chooseByStaleLoad(candidates, 3, 42));
}

// Guards against small deployments that are served worse than by the least loaded candidate.
TEST_CASE("choice: two gateways with equal work; nothing is spread", "[load]")
{
    CHECK(spreadPart(5, 5) == 0);
    CHECK(spreadPart(5, 15) == 0.5);
    CHECK(spreadPart(0, 15) == 1);
    CHECK(spreadPart(5, 0) == 0);
    CHECK(spreadPart(0, 0) == 0);
}

TEST_CASE("choice: offsets of loads are spread over their range; fresh figures have none", "[load]")
{
    CHECK(loadOffset("a", 0, 42) == 0);
    double sum = 0;
    for (int i = 0; i < 1000; ++i) {
        const double offset = loadOffset("a", 10, stableHash(std::to_string(i)));
        REQUIRE(offset >= 0);
        REQUIRE(offset < 10);
        sum += offset;
    }
    CHECK(sum == Approx(5000).margin(300));
    CHECK(loadOffset("a", 10, 1) != loadOffset("b", 10, 1));
}

} // namespace fescuedeck
