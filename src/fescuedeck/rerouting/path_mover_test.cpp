#include "fescuedeck/rerouting/path_mover.h"

#include <catch2/catch.hpp>

namespace fescuedeck {

// Guards against late streams while the engine of many streams is lost and all want to move.
TEST_CASE("of many streams of a lost engine the one nearest its limit moves first", "[rerouting]")
{
    const auto candidate = [](int number, int timeLeftMs, int rank) {
        return move_candidate{
            number, path_change_cause::Lost, { "x" }, std::chrono::milliseconds(timeLeftMs), rank
        };
    };
    std::vector<move_candidate> candidates = { candidate(1, 200, 0), candidate(2, 90, 2),
                                               candidate(3, 90, 1), candidate(4, 50, 5) };
    sortByUrgency(candidates);
    std::vector<int> order;
    for (const move_candidate &each : candidates)
        order.push_back(each.number);
    CHECK(order == std::vector<int>{ 4, 3, 2, 1 });
}

// Guards against filling the slots of one engine when several gateways move streams to it.
TEST_CASE("streams that move to one engine at once use half of its free slots", "[rerouting]")
{
    endpoint_record engine;
    engine.entry.slots = 16;
    engine.inFlight = 3;
    engine.peerInFlight = 5;
    CHECK(maxMovesAtOnce(engine) == 4);
    engine.peerInFlight = 20;
    CHECK(maxMovesAtOnce(engine) == 1);
}

} // namespace fescuedeck
