#include "fescuedeck/fleet/fleet_state.h"

#include <algorithm>
#include <utility>

namespace fescuedeck {
namespace {

std::string cohortKey(const wanted_endpoint &wanted)
{
    return wanted.model + '/' + wanted.version + '/' + wanted.accelerator;
}

bool isSameModel(const wanted_endpoint &a, const wanted_endpoint &b)
{
    return a.model == b.model && a.version == b.version;
}

// A smaller cohort has no meaningful median.
constexpr std::size_t minCohortSize = 3;
// A slow endpoint's rate is divided by at most this factor, because an endpoint that is much slower
// than usual is ejected instead.
constexpr double largestSlowdown = 20.0;

} // namespace

fleet_state::fleet_state(endpoint_settings settings)
    : m_settings(settings)
{
}

int fleet_state::slotOf(const std::string &id) const
{
    const auto found = m_slots.find(id);
    return found == m_slots.end() ? -1 : found->second;
}

const endpoint_state *fleet_state::find(const std::string &id) const
{
    const int slot = slotOf(id);
    return slot < 0 ? nullptr : &m_endpoints[slot];
}

void fleet_state::setWanted(const std::vector<wanted_endpoint> &wanted, time_point now)
{
    std::vector<endpoint_state> endpoints;
    std::vector<endpoint_view> views;
    std::unordered_map<std::string, int> slots;
    endpoints.reserve(wanted.size());
    for (const wanted_endpoint &one : wanted) {
        const int slot = slotOf(one.id);
        const bool isSame = slot >= 0 && m_endpoints[slot].wanted().layers == one.layers
                            && isSameModel(m_endpoints[slot].wanted(), one);
        slots[one.id] = static_cast<int>(endpoints.size());
        const bool keep
                = isSame || (slot >= 0 && m_endpoints[slot].phase() == endpoint_phase::Leaving);
        endpoints.push_back(keep ? std::move(m_endpoints[slot]) : endpoint_state(one, m_settings));
        endpoints.back().updateWanted(one);
        views.push_back(keep ? m_view.endpoints[slot] : endpoint_view{});
    }
    m_endpoints = std::move(endpoints);
    m_slots = std::move(slots);
    m_view.endpoints = std::move(views);
    m_cohortStepTimes.assign(m_endpoints.size(), 0);
    updateCohortStepTimes();
    ++m_view.topology;
    for (int slot = 0; slot < static_cast<int>(m_endpoints.size()); ++slot) {
        if (isHostLeaving(m_endpoints[slot].wanted().host))
            m_endpoints[slot].markLeaving({});
        updateView(slot, now);
    }
    restoreCoverage(now);
}

bool fleet_state::isHostLeaving(const std::string &host) const
{
    if (m_drainedHosts.count(host) > 0)
        return true;
    const auto left = m_leftHosts.find(host);
    if (left == m_leftHosts.end())
        return false;
    const auto listed = m_hostIncarnations.find(host);
    return listed != m_hostIncarnations.end() && listed->second == left->second;
}

void fleet_state::applyHostList(const std::vector<listed_host> &hosts, time_point now)
{
    for (const listed_host &entry : hosts) {
        m_hostIncarnations[entry.host] = entry.incarnation;
        if (entry.leaving)
            m_leftHosts[entry.host] = entry.incarnation;
    }
    for (int slot = 0; slot < static_cast<int>(m_endpoints.size()); ++slot) {
        if (isHostLeaving(m_endpoints[slot].wanted().host)) {
            m_endpoints[slot].markLeaving({});
            reevaluate(slot, now);
        }
    }
}

void fleet_state::setDrainedHosts(const std::set<std::string> &hosts, time_point now)
{
    m_drainedHosts = hosts;
    for (int slot = 0; slot < static_cast<int>(m_endpoints.size()); ++slot) {
        if (m_drainedHosts.count(m_endpoints[slot].wanted().host) > 0) {
            m_endpoints[slot].markLeaving({});
            reevaluate(slot, now);
        }
    }
}

void fleet_state::applyReport(const std::string &id, const endpoint_report &report, time_point now)
{
    const int slot = slotOf(id);
    if (slot < 0)
        return;
    m_endpoints[slot].recordReport(report, now);
    reevaluate(slot, now);
}

void fleet_state::assign(const std::string &id, const layer_range &layers, time_point now)
{
    const int slot = slotOf(id);
    if (slot < 0)
        return;
    m_endpoints[slot].assign(layers);
    updateView(slot, now);
}

void fleet_state::release(const std::string &id, const layer_range &layers, time_point now)
{
    const int slot = slotOf(id);
    if (slot < 0)
        return;
    m_endpoints[slot].release(layers);
    updateView(slot, now);
}

void fleet_state::callSucceeded(const std::string &id, const std::string &incarnation,
                                const hop_timing &timing, time_point now)
{
    const int slot = slotOf(id);
    if (slot < 0)
        return;
    m_endpoints[slot].recordSuccess(incarnation, timing, now);
    reevaluate(slot, now);
}

void fleet_state::callFailed(const std::string &id, time_point now)
{
    const int slot = slotOf(id);
    if (slot < 0)
        return;
    m_endpoints[slot].recordFailure(now);
    reevaluate(slot, now);
}

void fleet_state::callTimedOut(const std::string &id, const hop_timing &timing, time_point now)
{
    const int slot = slotOf(id);
    if (slot < 0)
        return;
    m_endpoints[slot].recordTimeout(timing, now);
    reevaluate(slot, now);
}

void fleet_state::callRefusedLeaving(const std::string &id, const std::string &incarnation,
                                     time_point now)
{
    const int slot = slotOf(id);
    if (slot < 0)
        return;
    m_endpoints[slot].markLeaving(incarnation);
    reevaluate(slot, now);
}

void fleet_state::setExclusive(const std::string &id, bool exclusive, time_point now)
{
    const int slot = slotOf(id);
    if (slot < 0)
        return;
    m_endpoints[slot].setExclusive(exclusive);
    updateView(slot, now);
}

void fleet_state::setLimit(const std::string &id, double limit)
{
    const int slot = slotOf(id);
    if (slot >= 0)
        m_view.endpoints[slot].limit = limit;
}

void fleet_state::setPeerInFlight(const std::string &peer,
                                  const std::map<std::string, double> &inFlight, time_point now)
{
    for (int slot = 0; slot < static_cast<int>(m_endpoints.size()); ++slot) {
        const auto found = inFlight.find(m_endpoints[slot].wanted().id);
        m_endpoints[slot].setPeerInFlight(peer, found == inFlight.end() ? 0 : found->second, now);
        updateView(slot, now);
    }
}

void fleet_state::peerLost(const std::string &peer, time_point now)
{
    setPeerInFlight(peer, {}, now);
}

void fleet_state::peerSuspects(const std::string &id, time_point now)
{
    const int slot = slotOf(id);
    if (slot < 0)
        return;
    m_endpoints[slot].requestProbe();
    updateView(slot, now);
}

void fleet_state::peerSawLeaving(const std::string &id, const std::string &incarnation,
                                 time_point now)
{
    callRefusedLeaving(id, incarnation, now);
}

std::vector<std::string> fleet_state::takeProbes(time_point now)
{
    std::vector<std::string> due;
    for (endpoint_state &endpoint : m_endpoints) {
        if (endpoint.takeProbe(now))
            due.push_back(endpoint.wanted().id);
    }
    return due;
}

void fleet_state::recordProbe(const std::string &id, bool alive, const std::string &incarnation,
                              time_point now)
{
    const int slot = slotOf(id);
    if (slot < 0)
        return;
    m_endpoints[slot].recordProbe(alive, incarnation, now);
    reevaluate(slot, now);
}

void fleet_state::refresh(time_point now)
{
    updateCohortStepTimes();
    for (int slot = 0; slot < static_cast<int>(m_endpoints.size()); ++slot)
        reevaluate(slot, now);
}

void fleet_state::updateCohortStepTimes()
{
    std::map<std::string, std::vector<double>> times;
    for (const endpoint_state &endpoint : m_endpoints) {
        if (endpoint.isUsable() && endpoint.stepTime().isKnown())
            times[cohortKey(endpoint.wanted())].push_back(endpoint.stepTime().mean());
    }
    for (auto &[key, values] : times) {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
    }
    for (std::size_t slot = 0; slot < m_endpoints.size(); ++slot) {
        const auto &values = times[cohortKey(m_endpoints[slot].wanted())];
        m_cohortStepTimes[slot] = values.size() < minCohortSize ? 0 : values[values.size() / 2];
    }
}

void fleet_state::reevaluate(int slot, time_point now)
{
    endpoint_state &endpoint = m_endpoints[slot];
    if (isHostLeaving(endpoint.wanted().host))
        endpoint.markLeaving({});
    if (endpoint.shouldEject(m_cohortStepTimes[slot]) && othersCover(slot))
        endpoint.eject(now);
    const bool wasUsable = m_view.endpoints[slot].usable;
    updateView(slot, now);
    if (wasUsable && !endpoint.isUsable())
        restoreCoverage(now);
}

void fleet_state::updateView(int slot, time_point now)
{
    const endpoint_state &endpoint = m_endpoints[slot];
    const wanted_endpoint &wanted = endpoint.wanted();
    endpoint_view &view = m_view.endpoints[slot];
    if (view.id.empty()) {
        view.id = wanted.id;
        view.host = wanted.host;
        view.failureDomain = wanted.failureDomain;
        view.model = wanted.model;
        view.version = wanted.version;
    }
    view.layers = wanted.layers;
    if (view.phase != endpoint.phase())
        m_changes.push_back({ wanted.id, view.phase, endpoint.phase() });
    if (view.usable != endpoint.isUsable())
        ++m_view.topology;
    view.phase = endpoint.phase();
    view.usable = endpoint.isUsable();
    view.exclusive = endpoint.isExclusive();
    view.weight = endpoint.weight(now);
    view.inFlight = endpoint.inFlight(now);
    view.ownInFlight = endpoint.ownInFlight();
    view.hopSeconds = endpoint.longTermStepTime() * wanted.layers.size();
    const double iteration = endpoint.iterationTime();
    view.waitSeconds = iteration > 0 ? std::max(0.0, view.hopSeconds - iteration) : 0;
    const double step = endpoint.stepTime().mean();
    const double cohortStepTime = m_cohortStepTimes[slot];
    const double cohortSlowdown = cohortStepTime > 0 && step > 0 ? step / cohortStepTime : 1;
    const double slowdown
            = std::clamp(std::min(endpoint.slowdown(), cohortSlowdown), 1.0, largestSlowdown);
    view.tokensPerSecond = wanted.tokensPerSecond * view.weight / slowdown;
}

bool fleet_state::othersCover(int slot) const
{
    const wanted_endpoint &wanted = m_endpoints[slot].wanted();
    std::vector<bool> covered(static_cast<std::size_t>(std::max(0, wanted.layers.size())), false);
    for (int other = 0; other < static_cast<int>(m_endpoints.size()); ++other) {
        const endpoint_state &candidate = m_endpoints[other];
        if (other == slot || !candidate.isUsable() || !isSameModel(candidate.wanted(), wanted))
            continue;
        const int begin = std::max(wanted.layers.begin, candidate.wanted().layers.begin);
        const int end = std::min(wanted.layers.end, candidate.wanted().layers.end);
        for (int layer = begin; layer < end; ++layer)
            covered[layer - wanted.layers.begin] = true;
    }
    return std::all_of(covered.begin(), covered.end(), [](bool one) { return one; });
}

void fleet_state::restoreCoverage(time_point now)
{
    for (int slot = 0; slot < static_cast<int>(m_endpoints.size()); ++slot) {
        if (m_endpoints[slot].phase() != endpoint_phase::Ejected || othersCover(slot))
            continue;
        m_endpoints[slot].revertEjection();
        updateView(slot, now);
    }
}

std::map<std::string, double> fleet_state::ownInFlight() const
{
    std::map<std::string, double> loads;
    for (const endpoint_state &endpoint : m_endpoints) {
        if (endpoint.ownInFlight() > 0)
            loads[endpoint.wanted().id] = endpoint.ownInFlight();
    }
    return loads;
}

std::vector<std::string> fleet_state::withPhase(endpoint_phase phase) const
{
    std::vector<std::string> ids;
    for (const endpoint_state &endpoint : m_endpoints) {
        if (endpoint.phase() == phase)
            ids.push_back(endpoint.wanted().id);
    }
    return ids;
}

std::vector<endpoint_change> fleet_state::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace fescuedeck
