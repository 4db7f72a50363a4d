#include "fescuedeck/rerouting/stall_finder.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

constexpr time_point now{ std::chrono::seconds(100) };

duration ms(int count)
{
    return std::chrono::milliseconds(count);
}

stream_progress stream(std::vector<std::string> engines, int silentMs, int usualGapMs = 40)
{
    return { std::move(engines), now - ms(silentMs), ms(usualGapMs), ms(250), true };
}

std::string found(const std::vector<stream_progress> &streams)
{
    std::string names;
    for (const std::string &engine : findStalledEngines(streams, now).stalled)
        names += (names.empty() ? "" : " ") + engine;
    return names.empty() ? "none" : names;
}

} // namespace

// Guards against waiting for each stream's own limit after one engine of many chains is lost.
TEST_CASE("an engine lost under two chains is found from what they share", "[rerouting]")
{
    CHECK(found({ stream({ "a", "x", "c" }, 110), stream({ "b", "x", "d" }, 120) }) == "x");
    CHECK(found({ stream({ "a", "x", "c" }, 110), stream({ "b", "x", "c" }, 120),
                  stream({ "e", "c" }, 20) })
          == "x");
}

// Guards against no guess at all, or only one at a time, after several engines crashed together.
TEST_CASE("engines that are lost at once under different chains are all found", "[rerouting]")
{
    const std::vector<stream_progress> streams = {
        stream({ "a", "x", "c" }, 110), stream({ "b", "x", "d" }, 120),
        stream({ "e", "y", "c" }, 110), stream({ "f", "y", "d" }, 120),
        stream({ "g", "c", "d" }, 20),
    };
    CHECK(found(streams) == "x y");
    // Neither is a good new part for a stream of the other one.
    const std::set<std::string> doubtful = findStalledEngines(streams, now).doubtful;
    CHECK(doubtful == std::set<std::string>{ "a", "b", "e", "f", "x", "y" });
}

// Guards against a guess among engines that nothing distinguishes.
TEST_CASE("two silent streams of one chain distinguish no engine", "[rerouting]")
{
    CHECK(found({ stream({ "a", "x", "c" }, 110), stream({ "a", "x", "c" }, 120) }) == "none");
    CHECK(found({ stream({ "a", "x" }, 110), stream({ "b", "y" }, 120) }) == "none");
}

// Guards against moving streams away from a sound engine that reads the prompts of a burst.
TEST_CASE("an engine that serves others under load is never found", "[rerouting]")
{
    CHECK(found({ stream({ "a", "x" }, 110), stream({ "b", "x" }, 120), stream({ "c", "x" }, 10) })
          == "none");
    // The last event of the other stream is some time ago, but later than the silence began.
    CHECK(found({ stream({ "a", "x" }, 200), stream({ "b", "x" }, 200), stream({ "c", "x" }, 90) })
          == "none");
}

// Guards against guesses on slow chains, at the first event, and while a caller reads slowly.
TEST_CASE("a silence that the stream itself explains is none", "[rerouting]")
{
    CHECK(found({ stream({ "a", "x" }, 120, 80), stream({ "b", "x" }, 120, 80) }) == "none");
    CHECK(found({ stream({ "a", "x" }, 190, 125), stream({ "b", "x" }, 190, 125) }) == "none");
    CHECK(found({ stream({ "a", "x" }, 190, 0), stream({ "b", "x" }, 190, 0) }) == "none");
    auto slowCaller = stream({ "a", "x" }, 190);
    slowCaller.isWatched = false;
    CHECK(found({ slowCaller, stream({ "b", "x" }, 100) }) == "none");
}

// Guards against a guess that comes too late for the gap objective on a chain that is slow by load.
TEST_CASE("a silence is unusual in time for the gap objective", "[rerouting]")
{
    CHECK(unusualSilence(stream({ "a" }, 0, 40)) == ms(100));
    CHECK(unusualSilence(stream({ "a" }, 0, 70)) == ms(125));
    CHECK(unusualSilence(stream({ "a" }, 0, 100)) == ms(160));
    auto withoutObjective = stream({ "a" }, 0, 80);
    withoutObjective.gapObjective = {};
    CHECK(unusualSilence(withoutObjective) == ms(200));
    CHECK(found({ stream({ "a", "x" }, 130, 70), stream({ "b", "x" }, 135, 70) }) == "x");
}

// Guards against a whole new run of the only stream on an engine that is lost at low load.
TEST_CASE("the only engine without progress is found shortly before a replacement", "[rerouting]")
{
    const auto others = { stream({ "a", "d" }, 10), stream({ "e", "c" }, 20) };
    std::vector<stream_progress> streams = others;
    streams.push_back(stream({ "a", "x", "c" }, 99, 35));
    CHECK(found(streams) == "none");
    streams.back() = stream({ "a", "x", "c" }, 101, 35);
    CHECK(found(streams) == "x");
}

// Guards against an order that cannot help, because the first part of a path stays.
TEST_CASE("a lost first engine is not found", "[rerouting]")
{
    CHECK(found({ stream({ "x", "a" }, 110), stream({ "x", "b" }, 120) }) == "none");
}

// Guards against a report that is asked for before the engine can name the lost one.
TEST_CASE("a report is due once it can list the wait", "[rerouting]")
{
    CHECK(reportDelay(stream({ "a" }, 0, 40)) == ms(240));
    CHECK(reportDelay(stream({ "a" }, 0, 200)) == ms(500));
}

} // namespace fescuedeck
