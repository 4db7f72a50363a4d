// Finds the engine that silent streams wait for, by the progress of all streams of one gateway.
//
// A stream that gets no event for much longer than usual may wait for a lost engine or for a sound
// one that is busy. An engine that gave another stream an event since the silence began is not the
// reason. A finding is a guess: it is enough for a change of path, which does no harm if the engine
// is sound, but never for marking an engine as lost.
#ifndef FESCUEDECK_REROUTING_STALL_FINDER_H
#define FESCUEDECK_REROUTING_STALL_FINDER_H

#include <set>
#include <string>
#include <vector>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

// The last progress of one stream.
struct stream_progress
{
    std::vector<std::string> engines; // ids, in the order of the chain
    time_point activeAt{};            // last event, or later if the silence has another reason
    duration usualGap{};              // between events, smoothed; zero while unknown
    duration gapObjective{};          // longest gap that callers accept; zero if none is stated
    bool isWatched = true; // false: its silence says nothing, because it has not begun or its
                           // caller is slow
};

// Shorter silences are within the variation of timers and links.
constexpr duration minUnusualSilence = std::chrono::milliseconds(60);

// Silence that the usual gap of the stream does not explain.
duration unusualSilence(const stream_progress &stream);

// Silence after which a report of the first engine can list what the stream waits for. An earlier
// report has a cost and no use.
duration reportDelay(const stream_progress &stream);

// Whether the stream is silent for longer than its usual gap explains.
bool isSilent(const stream_progress &stream, time_point now);

struct stall_findings
{
    // Engines that most probably stall silent streams, apart from first engines of such streams,
    // whose part of a path cannot change.
    std::set<std::string> stalled;
    // Engines of silent streams through which no stream got an event since the silence of one of
    // them began. Several engines may be lost at once, so these are the last choice for new parts.
    std::set<std::string> doubtful;
};

// For each silent stream, finds the engine of its chain that most probably stalls it, if one is
// distinguished:
// - no stream got an event through it since the silence of this stream began, and
// - at least two silent streams run through it, more than through any other such engine of this
//   chain; or only this one, which has used up a part of its gap objective, if it is the only such
//   engine of the chain.
stall_findings findStalledEngines(const std::vector<stream_progress> &streams, time_point now);

} // namespace fescuedeck

#endif
