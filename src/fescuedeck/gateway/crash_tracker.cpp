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
    crash.crashes.push_back(incarnation);
    const bool isNew = !crash.isQuarantined && hasTooManyCrashes(crash);
    if (!crash.isQuarantined)
        crash.lastChangedAt = now;
    crash.isCounted = crash.isCounted || isNew;
    crash.isQuarantined = crash.isQuarantined || isNew;
    evictOldest();
    return isNew;
}

bool crash_tracker::hasTooManyCrashes(const entry &crash) const
{
    return static_cast<int>(crash.crashes.size()) >= m_settings.crashesToQuarantine;
}

void crash_tracker::discountCrash(const std::string &incarnation)
{
    for (auto &[fingerprint, crash] : m_entries) {
        auto &crashes = crash.crashes;
        crashes.erase(std::remove(crashes.begin(), crashes.end(), incarnation), crashes.end());
        if (crash.isCounted && !hasTooManyCrashes(crash)) {
            crash.isQuarantined = false;
            crash.isCounted = false;
        }
    }
}

void crash_tracker::quarantine(const std::string &fingerprint, time_point now)
{
    entry &crash = m_entries[fingerprint];
    if (crash.isQuarantined)
        return;
    crash.isQuarantined = true;
    crash.lastChangedAt = now;
    evictOldest();
}

bool crash_tracker::isQuarantined(const std::string &fingerprint, time_point now) const
{
    const auto found = m_entries.find(fingerprint);
    return found != m_entries.end() && found->second.isQuarantined
           && now - found->second.lastChangedAt < m_settings.quarantineExpiry;
}

int crash_tracker::crashesOf(const std::string &fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return found == m_entries.end() ? 0 : static_cast<int>(found->second.crashes.size());
}

std::vector<std::string> crash_tracker::quarantined() const
{
    std::vector<std::string> fingerprints;
    for (const auto &[fingerprint, crash] : m_entries) {
        if (crash.isQuarantined)
            fingerprints.push_back(fingerprint);
    }
    return fingerprints;
}

void crash_tracker::expire(time_point now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const duration limit
                = it->second.isQuarantined ? m_settings.quarantineExpiry : m_settings.countExpiry;
        it = now - it->second.lastChangedAt >= limit ? m_entries.erase(it) : std::next(it);
    }
}

void crash_tracker::evictOldest()
{
    if (m_entries.size() <= m_settings.maxFingerprints)
        return;
    const auto oldest = std::min_element(m_entries.begin(), m_entries.end(),
                                         [](const auto &a, const auto &b) {
                                             return a.second.lastChangedAt < b.second.lastChangedAt;
                                         });
    m_entries.erase(oldest);
}

} // namespace fescuedeck
