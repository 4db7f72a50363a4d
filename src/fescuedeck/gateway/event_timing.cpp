#include "fescuedeck/gateway/event_timing.h"

#include <algorithm>

namespace fescuedeck {
namespace {

// A chain that gives no event for this share of the pause that callers bear has most likely lost an
// engine; the rest of the pause is needed to go on at another chain.
constexpr double gapObjectiveShare = 0.6;
// The same for the first event, as a share of the objective.
constexpr double firstEventObjectiveShare = 0.5;
// Chains under load are slower: a pause counts only if it is several times the stream's usual one.
constexpr int usualGapFactor = 4;
constexpr int usualFirstEventFactor = 3;
constexpr duration minStallLimit = std::chrono::milliseconds(100);
// A stream that cannot go on elsewhere bears so many times the longest silence.
constexpr int noContinuationFactor = 4;
constexpr int gapSmoothing = 4;

} // namespace

event_timing::event_timing(time_point sentAt, duration usualFirstEvent)
    : m_sentAt(sentAt)
    , m_usualFirstEvent(usualFirstEvent)
{
}

void event_timing::recordEvent(time_point now)
{
    if (hasBegun())
        m_usualGap += (now - m_lastEventAt - m_usualGap) / gapSmoothing;
    m_lastEventAt = now;
}

duration event_timing::stallLimit(const event_objectives &objectives, bool canContinue) const
{
    constexpr duration maxStallLimit = defaultStallLimit * noContinuationFactor;
    if (!canContinue)
        return maxStallLimit;
    const duration objective = hasBegun() ? objectives.gap : objectives.firstEvent;
    const double share = hasBegun() ? gapObjectiveShare : firstEventObjectiveShare;
    duration limit = objective > duration::zero()
                             ? std::chrono::duration_cast<duration>(objective * share)
                             : defaultStallLimit;
    limit = std::max<duration>(limit, m_usualGap * usualGapFactor);
    if (!hasBegun())
        limit = std::max<duration>(limit, m_usualFirstEvent * usualFirstEventFactor);
    return std::clamp<duration>(limit, minStallLimit, maxStallLimit);
}

} // namespace fescuedeck
