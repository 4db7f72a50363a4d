#include "fescuedeck/rerouting/stall_finder.h"

#include <algorithm>
#include <map>
#include <optional>

namespace fescuedeck {
namespace {

// Gaps of a sound stream vary with the load, mostly by less than this factor.
constexpr double usualGapFactor = 2.5;
// Engines report with this delay, so an earlier report does not list the wait.
constexpr duration reportLag = std::chrono::milliseconds(200);
// Beyond this share of the gap objective, a gap that is longer than usual by a smaller factor
// counts too. The rest of the objective is needed for the order and for reading the tokens again.
constexpr double urgentShare = 0.5;
constexpr double urgentGapFactor = 1.6;
// A single silent stream is weak evidence. It is used only before the stream would get a new run
// elsewhere, at 0.6 of its gap objective, and in time for the order.
constexpr double loneStreamShare = 0.4;

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

// The engines that may stall one silent stream.
struct silent_chain
{
    std::vector<std::string> possible;
    bool isLate = false;
};

// Several engines may be lost at once, so that streams only vote about engines of their own chain.
std::optional<std::string> mostProbable(const silent_chain &chain,
                                        const std::map<std::string, int> &votes)
{
    int most = 0;
    std::vector<std::string> best;
    for (const std::string &engine : chain.possible) {
        const int count = votes.at(engine);
        if (count > most)
            best.clear();
        most = std::max(most, count);
        if (count == most)
            best.push_back(engine);
    }
    const bool isShared = most >= 2 && best.size() == 1;
    const bool isLone = chain.possible.size() == 1 && chain.isLate;
    return isShared || isLone ? std::optional<std::string>(best.front()) : std::nullopt;
}

bool isLate(const stream_progress &stream, time_point now)
{
    return stream.gapObjective > duration::zero()
           && now - stream.activeAt >= stream.gapObjective * loneStreamShare;
}

duration explainedSilence(const stream_progress &stream)
{
    return std::chrono::duration_cast<duration>(stream.usualGap * usualGapFactor);
}

} // namespace

duration unusualSilence(const stream_progress &stream)
{
    const duration explained = explainedSilence(stream);
    const auto urgent
            = std::max(std::chrono::duration_cast<duration>(stream.usualGap * urgentGapFactor),
                       std::chrono::duration_cast<duration>(stream.gapObjective * urgentShare));
    const bool hasObjective = stream.gapObjective > duration::zero();
    return std::max(minUnusualSilence, hasObjective ? std::min(explained, urgent) : explained);
}

duration reportDelay(const stream_progress &stream)
{
    // The engine may have stopped up to one gap after the last event.
    return std::max<duration>(explainedSilence(stream), reportLag + stream.usualGap);
}

bool isSilent(const stream_progress &stream, time_point now)
{
    return stream.isWatched && stream.usualGap > duration::zero()
           && now - stream.activeAt >= unusualSilence(stream);
}

stall_findings findStalledEngines(const std::vector<stream_progress> &streams, time_point now)
{
    const evidence_by_engine evidence = collect(streams, now);
    std::vector<silent_chain> chains;
    std::map<std::string, int> votes; // of silent streams, by possible engine
    stall_findings findings;
    for (const stream_progress &stream : streams) {
        if (!isSilent(stream, now))
            continue;
        chains.push_back({ {}, isLate(stream, now) });
        for (const std::string &engine : stream.engines) {
            if (!mayHaveStalled(evidence.at(engine), stream, now))
                continue;
            chains.back().possible.push_back(engine);
            findings.doubtful.insert(engine);
            ++votes[engine];
        }
    }
    for (const silent_chain &chain : chains) {
        const std::optional<std::string> found = mostProbable(chain, votes);
        if (found && !evidence.at(*found).isFirst)
            findings.stalled.insert(*found);
    }
    return findings;
}

} // namespace fescuedeck
