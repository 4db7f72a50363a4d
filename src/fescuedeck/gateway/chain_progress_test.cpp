#include "fescuedeck/gateway/chain_progress.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

constexpr auto ms = [](int count) { return std::chrono::milliseconds(count); };
const time_point start{ std::chrono::hours(1) };
const duration limit = ms(120);

std::vector<endpoint_ptr> engines(int count)
{
    std::vector<endpoint_ptr> stages;
    for (int i = 0; i < count; ++i)
        stages.push_back(std::make_shared<endpoint_record>());
    return stages;
}

} // namespace

// Guards against the cascade after the loss of a domain: its streams move to one other chain, whose
// own streams then wait while the moved prompts are read, count as stalled, and move on as well.
TEST_CASE("a silent stream is not stalled while its engines serve others", "[gateway]")
{
    const auto chain = engines(3);
    for (int at = 0; at <= 1000; at += 50) {
        recordProgress(chain, start + ms(at));
        CHECK(timeUntilStall(chain, start, limit, start + ms(at)) > duration::zero());
    }
    recordProgress(chain, start + ms(1200));
    CHECK(timeUntilStall(chain, start, limit, start + ms(1200)) <= duration::zero());
}

TEST_CASE("a stream is stalled at the limit if one engine of its chain serves nobody", "[gateway]")
{
    const auto chain = engines(3);
    recordProgress(chain, start);
    const std::vector<endpoint_ptr> others{ chain[0], chain[2] };
    recordProgress(others, start + ms(100));
    CHECK(timeUntilStall(chain, start, limit, start + ms(100)) == ms(20));
    CHECK(timeUntilStall(chain, start, limit, start + ms(120)) <= duration::zero());
}

TEST_CASE("the loss of an engine during a long wait is noticed within the limit", "[gateway]")
{
    const auto chain = engines(2);
    recordProgress(chain, start + ms(400));
    CHECK(timeUntilStall(chain, start, limit, start + ms(400)) == limit);
    CHECK(timeUntilStall(chain, start, limit, start + ms(520)) <= duration::zero());
}

} // namespace fescuedeck
