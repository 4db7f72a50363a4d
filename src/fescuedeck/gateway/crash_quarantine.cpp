#include "fescuedeck/gateway/crash_quarantine.h"

#include <algorithm>

namespace fescuedeck {
namespace {

// Keys of segments begin with this. Keys of requests are hexadecimal.
constexpr const char *segmentPrefix = "segment:";

std::string keyOfSegment(const std::string &segment)
{
    return segmentPrefix + segment;
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

int crash_quarantine::recordCrash(const request_identity &request, time_point now)
{
    const bool isNew = m_tracker.recordCrash(request.fingerprint, now);
    if (isNew && onQuarantine)
        onQuarantine(request.fingerprint);
    return m_tracker.crashesOf(request.fingerprint);
}

void crash_quarantine::recordEarlyEnd(const request_identity &request,
                                      const std::string &incarnation, time_point now)
{
    m_correlator.recordCrash(incarnation, request.fingerprint, request.sharedSegments, now);
    explainByKnownSegments(request.sharedSegments, now);
}

void crash_quarantine::recordBegun(const request_identity &request, time_point now)
{
    m_correlator.recordBegun(request.sharedSegments, now);
}

void crash_quarantine::apply(const std::string &key, time_point now)
{
    if (m_tracker.isQuarantined(key, now))
        return;
    m_tracker.quarantine(key, now);
    const std::string prefix = segmentPrefix;
    if (key.compare(0, prefix.size(), prefix) == 0)
        m_correlator.explainBy(key.substr(prefix.size()));
    cancelQuarantined(now);
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

void crash_quarantine::explainByKnownSegments(const std::vector<std::string> &segments,
                                              time_point now)
{
    for (const std::string &segment : segments) {
        if (m_tracker.isQuarantined(keyOfSegment(segment), now))
            m_correlator.explainBy(segment);
    }
}

void crash_quarantine::update(time_point now)
{
    m_tracker.expire(now);
    m_correlator.expire(now);
    for (const std::string &segment : m_correlator.findCauses(isDown)) {
        apply(keyOfSegment(segment), now);
        if (onQuarantine)
            onQuarantine(keyOfSegment(segment));
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
