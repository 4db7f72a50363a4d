#include "fescuedeck/rerouting/stall_finder.h"

#include <algorithm>
#include <map>

namespace fescuedeck {
namespace {

// Gaps of a sound stream vary with the load, mostly by less than this factor.
constexpr double usualGapFactor = 2.5;
// Engines report with this delay, so an earlier report does not list the wait.
constexpr duration reportLag = std::chrono::milliseconds(200);
// A single silent stream is weak evidence. It is used only shortly before the stream would get a
// new run elsewhere, at 0.6 of its gap objective.
constexpr double loneStreamShare = 0.5;

struct engine_evidence
{
    time_point progressAt{}; // last event of any watched stream through the engine
    bool isFirst = false;    // of a silent stream
};

using evidence_by_engine = std::map<std::string, engine_evidence>;

evidence_by_engine collect(const std::vector<stream_progress> &streams, time_point now)
{
    evidence_by_engine evidence;
    for (const stream_progress &stream : streams) {
        const bool isStalled = isSilent(stream, now);
        for (const std::string &engine : stream.engines) {
            engine_evidence &known = evidence[engine];
            if (stream.isWatched)
                known.progressAt = std::max(known.progressAt, stream.activeAt);
            known.isFirst = known.isFirst || (isStalled && engine == stream.engines.front());
        }
    }
    return evidence;
}

// Whether no stream has got an event through the engine since the silence of the given one began.
// Streams that wait for the same engine got their last events within about one gap of each other.
bool mayHaveStalled(const engine_evidence &engine, const stream_progress &stream, time_point now)
{
    const duration tolerance = stream.usualGap + stream.usualGap / 4;
    return engine.progressAt - stream.activeAt <= tolerance
           && now - engine.progressAt >= minUnusualSilence;
}

bool isLate(const stream_progress &stream, time_point now)
{
    return stream.gapObjective > duration::zero()
           && now - stream.activeAt >= stream.gapObjective * loneStreamShare;
}

} // namespace

duration unusualSilence(const stream_progress &stream)
{
    const auto explained = std::chrono::duration_cast<duration>(stream.usualGap * usualGapFactor);
    return std::max(minUnusualSilence, explained);
}

duration reportDelay(const stream_progress &stream)
{
    // The engine may have stopped up to one gap after the last event.
    return std::max<duration>(unusualSilence(stream), reportLag + stream.usualGap);
}

bool isSilent(const stream_progress &stream, time_point now)
{
    return stream.isWatched && stream.usualGap > duration::zero()
           && now - stream.activeAt >= unusualSilence(stream);
}

std::optional<std::string> findStalledEngine(const std::vector<stream_progress> &streams,
                                             time_point now)
{
    const evidence_by_engine evidence = collect(streams, now);
    std::map<std::string, int> votes; // of silent streams, by possible engine
    std::optional<std::string> lone;
    for (const stream_progress &stream : streams) {
        if (!isSilent(stream, now))
            continue;
        std::vector<std::string> possible;
        for (const std::string &engine : stream.engines) {
            if (mayHaveStalled(evidence.at(engine), stream, now))
                possible.push_back(engine);
        }
        for (const std::string &engine : possible)
            ++votes[engine];
        if (possible.size() == 1 && isLate(stream, now))
            lone = possible.front();
    }
    int most = 0;
    std::vector<std::string> best;
    for (const auto &[engine, count] : votes) {
        if (count > most)
            best.clear();
        most = std::max(most, count);
        if (count == most)
            best.push_back(engine);
    }
    std::optional<std::string> found;
    if (most >= 2 && best.size() == 1)
        found = best.front();
    else if (most == 1)
        found = lone;
    const bool isMovable = found && !evidence.at(*found).isFirst;
    return isMovable ? found : std::nullopt;
}

} // namespace fescuedeck
