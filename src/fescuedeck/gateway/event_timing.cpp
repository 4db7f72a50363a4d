#include "fescuedeck/gateway/event_timing.h"

#include <algorithm>

namespace fescuedeck {
namespace {

// A chain that gives no event for this share of the pause that callers bear has most likely lost an
// engine; the rest of the pause is needed to go on at another chain.
constexpr double silentShareOfPause = 0.6;
// The same for the first event, as a share of the objective.
constexpr double silentShareOfObjective = 0.5;
// Chains under load are slower: a pause counts only if it is several times the stream's usual one.
constexpr int silentFactor = 4;
constexpr int firstEventFactor = 3;
constexpr duration shortestSilence = std::chrono::milliseconds(100);
// A stream that cannot go on elsewhere bears so many times the longest silence.
constexpr int patienceFactor = 4;
constexpr int pauseSmoothing = 4;

} // namespace

event_timing::event_timing(time_point sentAt, duration usualFirst)
    : m_sentAt(sentAt)
    , m_usualFirst(usualFirst)
{
}

void event_timing::noteEvent(time_point now)
{
    if (hasBegun())
        m_usualPause += (now - m_lastEvent - m_usualPause) / pauseSmoothing;
    m_lastEvent = now;
}

duration event_timing::limit(const silence_objectives &objectives, bool canGoOn) const
{
    constexpr duration patience = longestSilence * patienceFactor;
    if (!canGoOn)
        return patience;
    const duration borne = hasBegun() ? objectives.pause : objectives.firstEvent;
    const double share = hasBegun() ? silentShareOfPause : silentShareOfObjective;
    duration limit = borne > duration::zero() ? std::chrono::duration_cast<duration>(borne * share)
                                              : longestSilence;
    limit = std::max<duration>(limit, m_usualPause * silentFactor);
    if (!hasBegun())
        limit = std::max<duration>(limit, m_usualFirst * firstEventFactor);
    return std::clamp<duration>(limit, shortestSilence, patience);
}

} // namespace fescuedeck
