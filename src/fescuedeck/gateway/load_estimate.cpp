#include "fescuedeck/gateway/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace fescuedeck {
namespace {

using seconds = std::chrono::duration<double>;

// Requests begin and end one by one, so the change between two reports is mostly chance. Over this
// time a sustained change stands out.
constexpr seconds changeSmoothing{ 2.0 };
// A change that was seen at the age of a usual report, 300 ms, continues for most of that time;
// beyond a second it is as likely to have turned.
constexpr seconds changeLifetime{ 0.5 };

} // namespace

void recordFigures(peer_figures &figures, double loadBefore, double load,
                   std::optional<time_point> at)
{
    if (!at) {
        figures = {};
        return;
    }
    if (figures.at && *at > *figures.at) {
        const seconds elapsed = *at - *figures.at;
        const double change = (load - loadBefore) / elapsed.count();
        const double weight = 1 - std::exp(-elapsed / changeSmoothing);
        figures.changePerSecond += weight * (change - figures.changePerSecond);
    }
    figures.at = at;
}

load_estimate estimateLoad(double ownLoad, double peerLoad, const peer_figures &figures,
                           time_point now)
{
    if (!figures.at)
        return { ownLoad + peerLoad, {} };
    const duration age = std::max(duration::zero(), now - *figures.at);
    const double damping = std::exp(-seconds(age) / changeLifetime);
    const double moved = figures.changePerSecond * seconds(age).count() * damping;
    return { ownLoad + std::max(0.0, peerLoad + moved), age };
}

double expectedArrivals(double peerLoad, duration age, duration holdTime)
{
    if (age <= duration::zero())
        return 0;
    if (age >= holdTime)
        return peerLoad;
    return peerLoad * (seconds(age) / seconds(holdTime));
}

} // namespace fescuedeck
