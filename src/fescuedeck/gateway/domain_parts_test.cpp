#include "fescuedeck/gateway/domain_parts.h"

#include <set>

#include <catch2/catch.hpp>

namespace fescuedeck::detail {

// Guards against parts that are empty, overlap or leave out layers for certain numbers of layers
// and domains. An engine that is ordered to load an empty range would serve nothing.
TEST_CASE("the parts of domains cover all layers once and none is empty", "[gateway]")
{
    for (int layers = 2; layers <= 24; ++layers) {
        for (int domains = 2; domains <= 9; ++domains) {
            for (int capacity = 1; capacity < layers; ++capacity) {
                std::map<std::string, int> capacities;
                for (int domain = 0; domain < domains; ++domain)
                    capacities["d" + std::to_string(domain)] = capacity;
                const auto parts = partsOfDomains(layers, {}, capacities);
                CHECK(parts.empty() == (capacity * domains < layers));
                std::set<std::pair<int, int>> distinct;
                for (const auto &[domain, part] : parts) {
                    CHECK(part.size() > 0);
                    CHECK(part.size() <= capacity);
                    distinct.insert({ part.begin, part.end });
                }
                int next = 0;
                for (const auto &[begin, end] : distinct) {
                    CHECK(begin == next);
                    next = end;
                }
                CHECK((parts.empty() || next == layers));
            }
        }
    }
}

TEST_CASE("domains whose engines hold layers of several parts get none", "[gateway]")
{
    const std::map<std::string, int> capacities = { { "a", 5 }, { "b", 5 } };
    placement_engine engine{ "e", "a", "card", layer_range{ 5, 10 }, false };
    CHECK(partsOfDomains(10, { engine }, capacities).at("a") == layer_range{ 5, 10 });
    CHECK(partsOfDomains(10, { engine }, capacities).at("b") == layer_range{ 0, 5 });
    engine.range = layer_range{ 3, 8 };
    CHECK(partsOfDomains(10, { engine }, capacities).empty());
}

TEST_CASE("the held part of a range is counted from the target", "[gateway]")
{
    CHECK(heldPart(layer_range{ 3, 8 }, { 5, 10 }) == layer_range{ 0, 3 });
    CHECK_FALSE(heldPart(layer_range{ 3, 5 }, { 5, 10 }));
    CHECK_FALSE(heldPart(std::nullopt, { 5, 10 }));
}

} // namespace fescuedeck::detail
