#include "fescuedeck/gateway/crash_quarantine.h"

#include <algorithm>
#include <cstring>

namespace fescuedeck {
namespace {

// Keys of segments begin with this. Keys of requests are hexadecimal.
constexpr const char *segmentPrefix = "segment:";

// Within this time a crash is explained if gateways find its cause.
constexpr duration explanationTime = std::chrono::seconds(1);

// Time in which a run that was abandoned may still crash its endpoint.
constexpr duration abandonedRunTime = std::chrono::milliseconds(500);
// An endpoint that has crashed is known to be down within this time, at the latest when it has
// started again and announces itself.
constexpr duration maxDetectionTime = std::chrono::seconds(10);
constexpr std::size_t maxAbandonedRuns = 512; // beyond this, the oldest is dropped

std::string keyOfSegment(const std::string &segment)
{
    return segmentPrefix + segment;
}

bool isSegmentKey(const std::string &key)
{
    const std::string prefix = segmentPrefix;
    return key.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

std::vector<std::string> sharedSegmentsOf(const std::vector<std::string> &promptSegments)
{
    if (promptSegments.empty())
        return {};
    return { promptSegments.begin(), promptSegments.end() - 1 };
}

crash_quarantine::crash_quarantine(crash_tracker_settings trackerSettings,
                                   crash_correlator_settings correlatorSettings)
    : m_tracker(trackerSettings)
    , m_correlator(correlatorSettings)
{
}

bool crash_quarantine::isQuarantined(const request_identity &request, time_point now) const
{
    const auto &segments = request.sharedSegments;
    return m_tracker.isQuarantined(request.fingerprint, now)
           || std::any_of(segments.begin(), segments.end(), [&](const std::string &segment) {
                  return m_tracker.isQuarantined(keyOfSegment(segment), now);
              });
}

int crash_quarantine::recordCrash(const request_identity &request, const std::string &incarnation,
                                  time_point now)
{
    const bool isNew = !m_correlator.isExplained(incarnation)
                       && m_tracker.recordCrash(request.fingerprint, incarnation, now);
    if (isNew)
        m_untold.emplace(request.fingerprint, now);
    return m_tracker.crashesOf(request.fingerprint);
}

void crash_quarantine::recordEarlyEnd(const request_identity &request,
                                      const std::string &incarnation, time_point now)
{
    m_correlator.recordCrash(incarnation, request.fingerprint, request.sharedSegments, now);
    explainByKnownSegments(request.sharedSegments, now);
}

void crash_quarantine::recordAbandoned(const request_identity &request,
                                       const std::string &incarnation, time_point now)
{
    m_abandoned.push_back({ request, incarnation, now });
    if (m_abandoned.size() > maxAbandonedRuns)
        m_abandoned.pop_front();
}

void crash_quarantine::withdrawCrashes(time_point since, time_point now)
{
    m_correlator.withdrawCrashes(since);
    m_tracker.withdrawCrashes(since, now);
    const auto isWithdrawn = [since](const abandoned_run &run) { return run.at >= since; };
    m_abandoned.erase(std::remove_if(m_abandoned.begin(), m_abandoned.end(), isWithdrawn),
                      m_abandoned.end());
}

void crash_quarantine::checkAbandoned(time_point now)
{
    const auto isDone = [&](const abandoned_run &run) {
        const bool hasSurvived
                = lastProgress && lastProgress(run.incarnation) > run.at + abandonedRunTime;
        if (hasSurvived || now - run.at >= maxDetectionTime)
            return true;
        if (!isDown(run.incarnation))
            return false;
        recordEarlyEnd(run.request, run.incarnation, run.at);
        return true;
    };
    m_abandoned.erase(std::remove_if(m_abandoned.begin(), m_abandoned.end(), isDone),
                      m_abandoned.end());
}

void crash_quarantine::recordBegun(const request_identity &request, time_point now)
{
    m_correlator.recordBegun(request.sharedSegments, now);
}

void crash_quarantine::apply(const std::string &toldKey, duration remaining, time_point now)
{
    // Gateways of an earlier version tell longer fingerprints.
    const std::string key = isSegmentKey(toldKey) ? toldKey : toldKey.substr(0, fingerprintChars);
    if (m_tracker.isQuarantined(key, now))
        return;
    m_tracker.quarantineUntil(key, now + remaining, now);
    if (!m_tracker.isQuarantined(key, now))
        return;
    if (isSegmentKey(key))
        explainBy(key.substr(std::strlen(segmentPrefix)), now);
    cancelQuarantined(now);
}

std::map<std::string, duration> crash_quarantine::toTell(time_point now) const
{
    std::map<std::string, duration> told;
    for (const auto &[key, end] : m_tracker.quarantined(now)) {
        if (m_untold.count(key) == 0)
            told[key] = end - now;
    }
    return told;
}

std::map<std::string, duration>
crash_quarantine::missingIn(const std::vector<std::string> &storedKeys, time_point now) const
{
    std::map<std::string, duration> missing = toTell(now);
    for (const std::string &key : storedKeys)
        missing.erase(key);
    return missing;
}

void crash_quarantine::merge(const crash_reports &reports, time_point now)
{
    m_correlator.merge(reports, now);
    for (const auto &[incarnation, report] : reports.crashes) {
        std::vector<std::string> segments;
        for (const auto &[segment, suspect] : report.suspects)
            segments.push_back(segment);
        explainByKnownSegments(segments, now);
    }
}

void crash_quarantine::explainBy(const std::string &segment, time_point now)
{
    for (const std::string &incarnation : m_correlator.explainBy(segment))
        m_tracker.discountCrash(incarnation, now);
}

void crash_quarantine::explainByKnownSegments(const std::vector<std::string> &segments,
                                              time_point now)
{
    for (const std::string &segment : segments) {
        if (m_tracker.isQuarantined(keyOfSegment(segment), now))
            explainBy(segment, now);
    }
}

void crash_quarantine::update(time_point now)
{
    m_tracker.expire(now);
    m_correlator.expire(now);
    checkAbandoned(now);
    while (const auto segment = m_correlator.findCause(isDown)) {
        const std::string key = keyOfSegment(*segment);
        const time_point end = m_tracker.quarantine(key, now);
        explainBy(*segment, now);
        cancelQuarantined(now);
        if (onQuarantine)
            onQuarantine(key, end - now);
    }
    countUnexplained(now);
    tellDue(now);
}

void crash_quarantine::countUnexplained(time_point now)
{
    bool isAnyNew = false;
    for (const auto &[incarnation, requests] : m_correlator.requestsOfUnexplained()) {
        for (const std::string &fingerprint : requests) {
            if (m_tracker.hasCounted(fingerprint, incarnation)
                || !m_tracker.recordCrash(fingerprint, incarnation, now))
                continue;
            isAnyNew = true;
            m_untold.emplace(fingerprint, now);
        }
    }
    if (isAnyNew)
        cancelQuarantined(now);
}

void crash_quarantine::tellDue(time_point now)
{
    const auto quarantined = m_tracker.quarantined(now);
    for (auto it = m_untold.begin(); it != m_untold.end();) {
        const auto &[key, since] = *it;
        const auto found = quarantined.find(key);
        const bool isLifted = found == quarantined.end();
        const bool isDue = now - since >= explanationTime;
        if (isDue && !isLifted && onQuarantine)
            onQuarantine(key, found->second - now);
        it = isDue || isLifted ? m_untold.erase(it) : std::next(it);
    }
}

void crash_quarantine::cancelQuarantined(time_point now)
{
    std::vector<std::function<void()>> cancels; // a cancelled request may end its watch
    for (const auto &[number, watch] : m_watches) {
        if (isQuarantined(*watch.request, now))
            cancels.push_back(watch.cancel);
    }
    for (const auto &cancel : cancels)
        cancel();
}

int crash_quarantine::watch(const request_identity &request, std::function<void()> cancel)
{
    m_watches[++m_lastWatch] = { &request, std::move(cancel) };
    return m_lastWatch;
}

quarantine_watch::quarantine_watch(crash_quarantine &quarantine, const request_identity &request,
                                   std::function<void()> cancel)
    : m_quarantine(quarantine)
    , m_number(quarantine.watch(request, std::move(cancel)))
{
}

quarantine_watch::~quarantine_watch()
{
    m_quarantine.unwatch(m_number);
}

} // namespace fescuedeck
