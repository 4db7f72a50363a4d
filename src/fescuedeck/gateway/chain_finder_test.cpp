#include "fescuedeck/gateway/chain_finder.h"

#include <set>

#include <catch2/catch.hpp>

#include "fescuedeck/base/random.h"

namespace fescuedeck {
namespace {

double changeCost(const std::string &, const std::string &)
{
    return 100;
}

const chain_costs costs{ 0.1, changeCost, 32 };

chain_stage stage(const std::string &id, int begin, int end, double cost = 1)
{
    return { id, id + ":80", { begin, end }, cost, "", 0 };
}

chain_stage stageIn(const std::string &domain, const std::string &id, int begin, int end,
                    double cost = 1)
{
    return { id, id + ":80", { begin, end }, cost, domain, 0 };
}

std::string describe(const std::optional<layer_chain> &chain)
{
    std::string text;
    if (!chain)
        return "none";
    for (const chain_part &part : chain->parts)
        text += part.endpoint + "=" + toString(part.layers) + " ";
    return text;
}

// Whether the chain runs every layer once and in order, each engine holds the layers of its part,
// and no engine appears twice.
bool isValidChain(const layer_chain &chain, const std::vector<chain_stage> &stages, int layers)
{
    int next = 0;
    std::set<std::string> used;
    for (const chain_part &part : chain.parts) {
        const auto holder
                = std::find_if(stages.begin(), stages.end(), [&](const chain_stage &candidate) {
                      return candidate.endpoint == part.endpoint;
                  });
        if (holder == stages.end() || !holder->heldLayers.contains(part.layers))
            return false;
        if (part.layers.begin != next || part.layers.size() <= 0
            || !used.insert(part.endpoint).second)
            return false;
        next = part.layers.end;
    }
    return next == layers;
}

} // namespace

TEST_CASE("a chain runs every layer once and in order", "[gateway]")
{
    const std::vector<chain_stage> stages
            = { stage("b", 4, 10), stage("a", 0, 6), stage("c", 8, 12) };
    const auto chain = findChain(stages, 12, costs);
    REQUIRE(chain);
    CHECK(isValidChain(*chain, stages, 12));
}

TEST_CASE("no chain is found if no engine holds some layer", "[gateway]")
{
    CHECK_FALSE(findChain({ stage("a", 0, 5), stage("b", 6, 10) }, 10, costs));
    CHECK_FALSE(findChain({ stage("a", 0, 5) }, 10, costs));
    CHECK_FALSE(findChain({}, 10, costs));
}

TEST_CASE("the faster of two engines is used, and a chain with fewer parts is preferred",
          "[gateway]")
{
    CHECK(describe(findChain({ stage("slow", 0, 10, 5), stage("fast", 0, 10, 1) }, 10, costs))
          == "fast=0-10 ");
    CHECK(describe(findChain({ stage("all", 0, 10), stage("a", 0, 5), stage("b", 5, 10) }, 10,
                             costs))
          == "all=0-10 ");
}

TEST_CASE("an engine never appears twice in a chain", "[gateway]")
{
    // The cheapest path runs the slow engine, then the fast one, then the slow one again.
    const std::vector<chain_stage> stages = { stage("slow", 0, 12, 10), stage("fast", 4, 8, 0.1) };
    const auto chain = findChain(stages, 12, costs);
    REQUIRE(chain);
    CHECK(isValidChain(*chain, stages, 12));
}

TEST_CASE("a chain with more than the maximum number of parts is not returned", "[gateway]")
{
    CHECK_FALSE(findChain({ stage("a", 0, 1), stage("b", 1, 2), stage("c", 2, 3) }, 3,
                          { 0.1, changeCost, 2 }));
}

TEST_CASE("random fleets have a valid chain if and only if all layers are held", "[gateway]")
{
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        const random_fn random = seededRandom(seed);
        const int layers = 1 + static_cast<int>(uniformBelow(random, 40));
        std::vector<chain_stage> stages;
        std::vector<int> holders(static_cast<std::size_t>(layers));
        const std::size_t count = 1 + uniformBelow(random, 14);
        for (std::size_t i = 0; i < count; ++i) {
            const int begin
                    = static_cast<int>(uniformBelow(random, static_cast<std::uint64_t>(layers)));
            const int end = begin + 1
                            + static_cast<int>(uniformBelow(
                                    random, static_cast<std::uint64_t>(layers - begin)));
            stages.push_back(stage("e" + std::to_string(i), begin, end, 0.1 + uniformReal(random)));
            for (int layer = begin; layer < end; ++layer)
                ++holders[static_cast<std::size_t>(layer)];
        }
        const bool isCovered = std::find(holders.begin(), holders.end(), 0) == holders.end();
        const auto chain = findChain(stages, layers, costs);
        INFO("seed " << seed);
        CHECK(chain.has_value() == isCovered);
        if (chain)
            CHECK(isValidChain(*chain, stages, layers));
    }
}

// Guards against chains that send each prompt over the links between domains many times.
TEST_CASE("a chain changes domains as rarely as possible, even if that is slower", "[gateway]")
{
    const std::vector<chain_stage> stages = {
        stageIn("x", "x1", 0, 4, 5), stageIn("x", "x2", 4, 7, 5), stageIn("y", "y1", 0, 3),
        stageIn("y", "y2", 3, 5),    stageIn("y", "y3", 6, 10),   stageIn("z", "z1", 5, 7),
    };
    CHECK(describe(findChain(stages, 10, costs)) == "x1=0-4 x2=4-6 y3=6-10 ");
}

} // namespace fescuedeck
