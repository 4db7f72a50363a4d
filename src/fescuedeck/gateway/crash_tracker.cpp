#include "fescuedeck/gateway/crash_tracker.h"

#include <algorithm>

namespace fescuedeck {

crash_tracker::crash_tracker(crash_tracker_settings settings)
    : m_settings(settings)
{
}

bool crash_tracker::recordCrash(const std::string &fingerprint, const std::string &incarnation,
                                time_point now)
{
    entry &crash = m_entries[fingerprint];
    const bool hasEnded = crash.isCounted && !crash.isQuarantined(now);
    if (hasEnded)
        crash.crashes.clear(); // they have led to the quarantine that has ended
    crash.isCounted = crash.isCounted && !hasEnded;
    crash.crashes.push_back({ incarnation, now });
    crash.lastCrashAt = now;
    const bool isNew = !crash.isQuarantined(now) && hasTooManyCrashes(crash);
    if (isNew) {
        crash.isCounted = true;
        beginQuarantine(crash, now);
    }
    evictFirst();
    return isNew;
}

bool crash_tracker::hasTooManyCrashes(const entry &crash) const
{
    return static_cast<int>(crash.crashes.size()) >= m_settings.crashesToQuarantine;
}

void crash_tracker::beginQuarantine(entry &crash, time_point now) const
{
    constexpr int maxDoublings = 16;
    const duration term
            = m_settings.minQuarantine * (1 << std::min(crash.quarantines, maxDoublings));
    crash.quarantinedUntil = now + std::min(term, m_settings.maxQuarantine);
    ++crash.quarantines;
}

void crash_tracker::discountCrash(const std::string &incarnation, time_point now)
{
    discount([&](const crash &counted) { return counted.incarnation == incarnation; }, now);
}

void crash_tracker::withdrawCrashes(time_point since, time_point now)
{
    discount([since](const crash &counted) { return counted.at >= since; }, now);
}

void crash_tracker::discount(const std::function<bool(const crash &)> &isDiscounted, time_point now)
{
    for (auto &[fingerprint, crash] : m_entries) {
        auto &crashes = crash.crashes;
        crashes.erase(std::remove_if(crashes.begin(), crashes.end(), isDiscounted), crashes.end());
        if (crash.isCounted && crash.isQuarantined(now) && !hasTooManyCrashes(crash)) {
            crash.isCounted = false;
            crash.quarantinedUntil = {};
            --crash.quarantines;
        }
    }
}

time_point crash_tracker::quarantine(const std::string &fingerprint, time_point now)
{
    entry &crash = m_entries[fingerprint];
    if (!crash.isQuarantined(now))
        beginQuarantine(crash, now);
    const time_point end = crash.quarantinedUntil;
    evictFirst();
    return end;
}

void crash_tracker::quarantineUntil(const std::string &fingerprint, time_point until,
                                    time_point now)
{
    const time_point latest = now + m_settings.maxQuarantine;
    entry &crash = m_entries[fingerprint];
    const bool isKnown = until <= crash.quarantinedUntil + m_settings.endTolerance;
    if (!isKnown && until > now) {
        crash.quarantinedUntil = std::min(until, latest);
        ++crash.quarantines;
    }
    evictFirst();
}

bool crash_tracker::isQuarantined(const std::string &fingerprint, time_point now) const
{
    const auto found = m_entries.find(fingerprint);
    return found != m_entries.end() && found->second.isQuarantined(now);
}

bool crash_tracker::hasCounted(const std::string &fingerprint, const std::string &incarnation) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end())
        return false;
    const auto &crashes = found->second.crashes;
    return std::any_of(crashes.begin(), crashes.end(),
                       [&](const crash &counted) { return counted.incarnation == incarnation; });
}

int crash_tracker::crashesOf(const std::string &fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return found == m_entries.end() ? 0 : static_cast<int>(found->second.crashes.size());
}

std::map<std::string, time_point> crash_tracker::quarantined(time_point now) const
{
    std::map<std::string, time_point> ends;
    for (const auto &[fingerprint, crash] : m_entries) {
        if (crash.isQuarantined(now))
            ends[fingerprint] = crash.quarantinedUntil;
    }
    return ends;
}

time_point crash_tracker::expiryOf(const entry &crash) const
{
    const time_point countExpiry = crash.lastCrashAt + m_settings.countExpiry;
    if (crash.quarantines == 0)
        return countExpiry;
    return std::max(countExpiry, crash.quarantinedUntil + m_settings.memory);
}

void crash_tracker::expire(time_point now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();)
        it = now >= expiryOf(it->second) ? m_entries.erase(it) : std::next(it);
}

void crash_tracker::evictFirst()
{
    if (m_entries.size() <= m_settings.maxFingerprints)
        return;
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
                                     [this](const auto &a, const auto &b) {
                                         return expiryOf(a.second) < expiryOf(b.second);
                                     }));
}

} // namespace fescuedeck
