// Stages that fail while they run streams. Guards against tokens that are repeated, missing or
// computed with a layer left out or run twice, after a new attempt on another route.
#include <csignal>

#include <catch2/catch.hpp>

#include "stream_group.h"

namespace fescuedeck::process_tests {
namespace {

constexpr int streamCount = 6;
constexpr int batchMicroseconds = 4000;

fleet_options slowFleet()
{
    fleet_options options;
    options.stages = slowStages(batchMicroseconds);
    options.routers = 2;
    options.services = 0;
    return options;
}

// A fleet with streams in flight.
struct running_streams
{
    fleet_fixture fleet;
    stream_group streams;

    explicit running_streams(const std::string &label)
        : fleet(slowFleet())
        , streams(fleet)
    {
        REQUIRE(fleet.waitUntilServing());
        streams.start(label, streamCount);
        REQUIRE(streams.waitForProgress(3));
        streams.mark();
    }
};

void reportTimes(const std::string &fault, const recovery_times &times)
{
    WARN("information: " << fault << ": next token after at most " << times.nextToken.count()
                         << " ms, longest gap " << times.longestGap.count() << " ms");
}

} // namespace

// Guards against a stream that ends, repeats or loses tokens when its engine's process dies.
TEST_CASE("streams go on elsewhere when their stage is killed", "[process]")
{
    running_streams running("killed stage");
    const std::size_t victim = busiestEngine(running.fleet);
    running.fleet.engines[victim].process->signal(SIGKILL);
    const recovery_times times = running.streams.watchToEnd();
    running.streams.checkWhole();
    reportTimes("stage killed", times);
}

// Guards against a stream that waits for an engine that never answers, and against late answers of
// that engine that are taken for answers of the new attempt.
TEST_CASE("streams go on elsewhere when their stage is frozen", "[process]")
{
    running_streams running("frozen stage");
    const std::size_t victim = busiestEngine(running.fleet);
    running.fleet.engines[victim].process->signal(SIGSTOP);
    std::thread continuing([&] {
        running.streams.waitForProgress(10);
        running.fleet.engines[victim].process->signal(SIGCONT);
    });
    const recovery_times times = running.streams.watchToEnd();
    continuing.join();
    running.streams.checkWhole();
    reportTimes("stage frozen", times);

    stream_group later(running.fleet);
    REQUIRE(running.fleet.waitUntilServing());
    later.start("after the stage continued", streamCount);
    later.checkWhole();
}

// Guards against a connection that is used again after it stopped answering, while the engine
// serves new connections.
TEST_CASE("streams go on when the open connections of their stage go silent", "[process]")
{
    running_streams running("silent connections");
    const std::string address = running.fleet.engines[busiestEngine(running.fleet)].address;
    addFault(running.fleet.client, address, { { "kind", "silent_connections" } });
    const recovery_times times = running.streams.watchToEnd();
    running.streams.checkWhole();
    reportTimes("connections silent", times);

    stream_group later(running.fleet);
    REQUIRE(running.fleet.waitUntilServing());
    later.start("on new connections", streamCount);
    later.checkWhole();
}

// Guards against a caller who gets tokens of another caller's draft.
TEST_CASE("streams are whole when a stage swaps two answers", "[process]")
{
    running_streams running("crossed answers");
    const std::string address = running.fleet.engines[busiestEngine(running.fleet)].address;
    addFault(running.fleet.client, address,
             { { "kind", "crossed_answer" }, { "path", "/v1/stage/run" }, { "count", 2 } });
    const recovery_times times = running.streams.watchToEnd();
    running.streams.checkWhole();
    CHECK(firedFaults(running.fleet.client, address) == 2);
    reportTimes("answers crossed", times);
}

// Guards against a token that is delivered twice because a stage gave an answer twice.
TEST_CASE("streams are whole when a stage repeats an earlier answer", "[process]")
{
    running_streams running("doubled answers");
    const std::string address = running.fleet.engines[busiestEngine(running.fleet)].address;
    addFault(running.fleet.client, address,
             { { "kind", "stale_answer" }, { "path", "/v1/stage/run" }, { "count", 3 } });
    const recovery_times times = running.streams.watchToEnd();
    running.streams.checkWhole();
    CHECK(firedFaults(running.fleet.client, address) == 3);
    reportTimes("answers doubled", times);
}

} // namespace fescuedeck::process_tests
