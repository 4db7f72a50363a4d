#include "fescuedeck/gateway/crash_correlator.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace fescuedeck {
namespace {

std::set<std::string> intersection(const std::set<std::string> &a, const std::set<std::string> &b)
{
    std::set<std::string> common;
    std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                          std::inserter(common, common.end()));
    return common;
}

} // namespace

crash_correlator::crash_correlator(crash_correlator_settings settings)
    : m_settings(settings)
{
}

void crash_correlator::recordBegun(const std::vector<std::string> &segments, time_point now)
{
    for (const std::string &segment : segments)
        setBegun(segment, now);
}

void crash_correlator::setBegun(const std::string &segment, time_point at)
{
    const auto known = begunAt(segment);
    if (known && *known >= at)
        return;
    m_begun[segment] = at;
    if (m_begun.size() > m_settings.maxSegments / 2) {
        m_begunEarlier = std::move(m_begun);
        m_begun.clear();
    }
    for (auto &[incarnation, crash] : m_crashes) {
        if (!crash.isExplained && crash.at <= at)
            crash.suspects.erase(segment);
    }
}

std::optional<time_point> crash_correlator::begunAt(const std::string &segment) const
{
    for (const auto *begun : { &m_begun, &m_begunEarlier }) {
        const auto found = begun->find(segment);
        if (found != begun->end())
            return found->second;
    }
    return std::nullopt;
}

crash_correlator::crash &crash_correlator::crashOf(const std::string &incarnation, time_point at)
{
    crash &of = m_crashes[incarnation];
    if (of.at == time_point{} || at < of.at)
        of.at = at;
    return of;
}

void crash_correlator::addSuspect(crash &of, const std::string &segment,
                                  const crash_suspect &suspect)
{
    const auto begun = begunAt(segment);
    const bool isCleared = begun && *begun >= of.at;
    const bool isFull = of.suspects.size() >= m_settings.maxSuspects;
    if (isCleared || (isFull && of.suspects.count(segment) == 0))
        return;
    crash_suspect &known = of.suspects[segment];
    known.depth = std::max(known.depth, suspect.depth);
    known.requests.insert(suspect.requests.begin(), suspect.requests.end());
}

void crash_correlator::addRequest(crash &of, const std::string &fingerprint) const
{
    if (of.requests.size() < m_settings.maxRequests)
        of.requests.insert(fingerprint);
}

void crash_correlator::recordCrash(const std::string &incarnation, const std::string &fingerprint,
                                   const std::vector<std::string> &segments, time_point now)
{
    crash &of = crashOf(incarnation, now);
    addRequest(of, fingerprint);
    for (std::size_t depth = 0; depth < segments.size(); ++depth)
        addSuspect(of, segments[depth], { static_cast<int>(depth), { fingerprint } });
    evictOldest();
}

void crash_correlator::merge(const crash_reports &reports, time_point now)
{
    for (const auto &[segment, age] : reports.begun)
        setBegun(segment, now - age);
    for (const auto &[incarnation, report] : reports.crashes) {
        if (report.age >= m_settings.crashExpiry)
            continue;
        crash &of = crashOf(incarnation, now - report.age);
        for (const auto &[segment, suspect] : report.suspects)
            addSuspect(of, segment, suspect);
        for (const std::string &fingerprint : report.requests)
            addRequest(of, fingerprint);
        evictOldest();
    }
}

crash_reports crash_correlator::reports(time_point now) const
{
    std::vector<std::pair<time_point, std::string>> newest; // incarnation names by time
    for (const auto &[incarnation, crash] : m_crashes) {
        if (!crash.isExplained && now - crash.at < m_settings.reportTime)
            newest.emplace_back(crash.at, incarnation);
    }
    std::sort(newest.rbegin(), newest.rend());
    newest.resize(std::min(newest.size(), m_settings.maxReportedCrashes));
    crash_reports all;
    for (const auto &[at, incarnation] : newest) {
        const crash &reported = m_crashes.at(incarnation);
        all.crashes[incarnation] = { now - at, reported.suspects, reported.requests };
        for (const auto &[segment, suspect] : reported.suspects) {
            if (const auto begun = begunAt(segment))
                all.begun[segment] = now - *begun;
        }
    }
    return all;
}

std::optional<std::string>
crash_correlator::findCause(const std::function<bool(const std::string &)> &isDown)
{
    for (auto &[incarnation, crash] : m_crashes)
        crash.isDown = crash.isDown || isDown(incarnation);
    return bestCandidate();
}

std::map<std::string, crash_correlator::segment_crashes> crash_correlator::crashesBySegment() const
{
    std::map<std::string, segment_crashes> bySegment;
    for (const auto &[incarnation, crash] : m_crashes) {
        if (!crash.isDown || crash.isExplained)
            continue;
        for (const auto &[segment, suspect] : crash.suspects) {
            segment_crashes &crashes = bySegment[segment];
            crashes.commonRequests = crashes.times.empty()
                                             ? crash.requests
                                             : intersection(crashes.commonRequests, crash.requests);
            crashes.times.push_back(crash.at);
            crashes.all.depth = std::max(crashes.all.depth, suspect.depth);
            crashes.all.requests.insert(suspect.requests.begin(), suspect.requests.end());
        }
    }
    return bySegment;
}

std::vector<crash_correlator::correlation> crash_correlator::correlate() const
{
    std::vector<correlation> correlations;
    for (auto &[segment, of] : crashesBySegment()) {
        std::vector<time_point> times = of.times;
        std::sort(times.begin(), times.end());
        const auto end
                = std::unique(times.begin(), times.end(), [this](time_point a, time_point b) {
                      return b - a < m_settings.simultaneity;
                  });
        const auto crashes = static_cast<int>(end - times.begin());
        const int needed
                = begunAt(segment) ? m_settings.establishedMinCrashes : m_settings.minCrashes;
        correlations.push_back({ segment, crashes, crashes - needed, of.all.depth,
                                 of.all.requests.size(), !of.commonRequests.empty() });
    }
    return correlations;
}

bool crash_correlator::shareCrash(const std::string &segment, const std::string &other) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(), [&](const auto &entry) {
        const crash &crash = entry.second;
        return crash.isDown && !crash.isExplained && crash.suspects.count(segment) > 0
               && crash.suspects.count(other) > 0;
    });
}

std::optional<std::string> crash_correlator::bestCandidate() const
{
    const std::vector<correlation> correlations = correlate();
    const auto isLess = [](const correlation &a, const correlation &b) {
        return std::tie(a.surplus, a.depth) < std::tie(b.surplus, b.depth);
    };
    const correlation *best = nullptr;
    for (const correlation &candidate : correlations) {
        const bool isCandidate = candidate.surplus >= 0
                                 && candidate.requests >= m_settings.minRequests
                                 && !candidate.hasCommonRequest;
        if (isCandidate && (best == nullptr || isLess(*best, candidate)))
            best = &candidate;
    }
    if (best == nullptr)
        return std::nullopt;
    const bool isTied
            = std::any_of(correlations.begin(), correlations.end(), [&](const correlation &other) {
                  return other.segment != best->segment && other.surplus >= best->surplus
                         && shareCrash(best->segment, other.segment);
              });
    if (isTied && best->crashes < m_settings.tiedMinCrashes)
        return std::nullopt;
    return best->segment;
}

std::vector<std::string> crash_correlator::explainBy(const std::string &segment)
{
    std::vector<std::string> explained;
    for (auto &[incarnation, crash] : m_crashes) {
        if (crash.isExplained || crash.suspects.count(segment) == 0)
            continue;
        crash.isExplained = true;
        explained.push_back(incarnation);
    }
    return explained;
}

bool crash_correlator::isExplained(const std::string &incarnation) const
{
    const auto found = m_crashes.find(incarnation);
    return found != m_crashes.end() && found->second.isExplained;
}

std::map<std::string, std::set<std::string>> crash_correlator::requestsOfUnexplained() const
{
    std::map<std::string, std::set<std::string>> requests;
    for (const auto &[incarnation, crash] : m_crashes) {
        if (crash.isDown && !crash.isExplained)
            requests[incarnation] = crash.requests;
    }
    return requests;
}

void crash_correlator::withdrawCrashes(time_point since)
{
    for (auto it = m_crashes.begin(); it != m_crashes.end();)
        it = it->second.at >= since ? m_crashes.erase(it) : std::next(it);
}

void crash_correlator::expire(time_point now)
{
    for (auto it = m_crashes.begin(); it != m_crashes.end();)
        it = now - it->second.at >= m_settings.crashExpiry ? m_crashes.erase(it) : std::next(it);
}

void crash_correlator::evictOldest()
{
    if (m_crashes.size() <= m_settings.maxCrashes)
        return;
    m_crashes.erase(
            std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto &a, const auto &b) {
                return a.second.at < b.second.at;
            }));
}

} // namespace fescuedeck
