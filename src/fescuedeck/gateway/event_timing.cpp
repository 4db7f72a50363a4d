#include "fescuedeck/gateway/event_timing.h"

#include <algorithm>

namespace fescuedeck {
namespace {

// A chain that produces no event for this share of the accepted gap has most likely lost an engine.
// The rest of the gap is needed to resume the stream at another chain.
constexpr double gapObjectiveShare = 0.6;
// The same for the first event, as a share of its objective.
constexpr double firstEventObjectiveShare = 0.5;
// Chains under load are slower. A gap therefore counts as a stall only if it is several times the
// usual gap of the stream, or for the first event several times the usual time until it.
constexpr int usualGapFactor = 4;
constexpr int usualFirstEventFactor = 3;
constexpr duration minStallLimit = std::chrono::milliseconds(100);
// The limit without another destination is this many times the default.
constexpr int noAlternativeFactor = 4;
// The usual gap moves towards each new gap by one part in this many.
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

duration event_timing::stallLimit(const event_objectives &objectives, bool hasAlternative) const
{
    constexpr duration maxStallLimit = defaultStallLimit * noAlternativeFactor;
    if (!hasAlternative)
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
