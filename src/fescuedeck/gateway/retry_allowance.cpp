#include "fescuedeck/gateway/retry_allowance.h"

#include <algorithm>

namespace fescuedeck {
namespace {

// Retries arrive at endpoints a little later than they are counted here, and the windows in which
// others count them begin at any moment.
constexpr double usedPart = 0.9;
constexpr duration windowMargin = std::chrono::seconds(1);
constexpr duration sliceLength = std::chrono::milliseconds(250);
constexpr double firstWindowReserve = 0.25;
// Until the other gateways are known.
constexpr double assumedPart = 1.0 / 8;

} // namespace

double reservePart(const reserve_sharing &sharing)
{
    const double heard = sharing.livePeers + 1;
    const double pool = heard / std::max<double>(heard, sharing.knownGateways);
    const double load = sharing.ownLoad + sharing.peerLoad;
    return pool * (load > 0 ? sharing.ownLoad / load : 1 / heard);
}

retry_allowance::retry_allowance(retry_limits limits, time_point startedAt)
    : m_limits(limits)
    , m_startedAt(startedAt)
    , m_part(assumedPart)
{
}

void retry_allowance::approachPart(double part, duration sinceLast)
{
    const auto window = static_cast<double>(m_limits.window.count());
    const double step = static_cast<double>(sinceLast.count()) / window;
    m_part += (part - m_part) * std::min(1.0, step);
}

retry_allowance::slice &retry_allowance::currentSlice(const std::string &service, time_point now)
{
    slices &all = m_services[service];
    while (!all.empty() && now - all.front().begin > m_limits.window + windowMargin)
        all.pop_front();
    if (all.empty() || now - all.back().begin >= sliceLength)
        all.push_back({ now });
    return all.back();
}

void retry_allowance::recordRequest(const std::string &service, time_point now)
{
    ++currentSlice(service, now).requests;
}

bool retry_allowance::takeRetry(const std::string &service, time_point now)
{
    if (available(service, now) < 1)
        return false;
    ++currentSlice(service, now).retries;
    return true;
}

double retry_allowance::available(const std::string &service, time_point now) const
{
    double requests = 0;
    double retries = 0;
    if (const auto found = m_services.find(service); found != m_services.end()) {
        for (const slice &each : found->second) {
            const duration age = now - each.begin;
            requests += age <= m_limits.window - sliceLength ? each.requests : 0;
            retries += age <= m_limits.window + windowMargin ? each.retries : 0;
        }
    }
    const bool isFirstWindow = now - m_startedAt < m_limits.window;
    const double reserve = m_limits.reserve * m_part * (isFirstWindow ? firstWindowReserve : 1);
    return (m_limits.share * requests + reserve) * usedPart - retries;
}

} // namespace fescuedeck
