#include "fescuedeck/gateway/crash_ledger.h"

#include <algorithm>

namespace fescuedeck {

crash_ledger::crash_ledger(crash_ledger_settings settings)
    : m_settings(settings)
{
}

bool crash_ledger::recordCrash(const std::string &fingerprint, time_point now)
{
    entry &crash = m_entries[fingerprint];
    ++crash.crashes;
    const bool isNew = !crash.isQuarantined && crash.crashes >= m_settings.crashesToQuarantine;
    if (!crash.isQuarantined)
        crash.since = now;
    crash.isQuarantined = crash.isQuarantined || isNew;
    makeRoom();
    return isNew;
}

void crash_ledger::quarantine(const std::string &fingerprint, time_point now)
{
    entry &crash = m_entries[fingerprint];
    if (crash.isQuarantined)
        return;
    crash.isQuarantined = true;
    crash.since = now;
    makeRoom();
}

bool crash_ledger::isQuarantined(const std::string &fingerprint, time_point now) const
{
    const auto found = m_entries.find(fingerprint);
    return found != m_entries.end() && found->second.isQuarantined
           && now - found->second.since < m_settings.quarantineExpiry;
}

int crash_ledger::crashesOf(const std::string &fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return found == m_entries.end() ? 0 : found->second.crashes;
}

std::vector<std::string> crash_ledger::quarantined() const
{
    std::vector<std::string> fingerprints;
    for (const auto &[fingerprint, crash] : m_entries) {
        if (crash.isQuarantined)
            fingerprints.push_back(fingerprint);
    }
    return fingerprints;
}

void crash_ledger::expire(time_point now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const duration limit
                = it->second.isQuarantined ? m_settings.quarantineExpiry : m_settings.countExpiry;
        it = now - it->second.since >= limit ? m_entries.erase(it) : std::next(it);
    }
}

void crash_ledger::makeRoom()
{
    if (m_entries.size() <= m_settings.maxFingerprints)
        return;
    const auto oldest = std::min_element(
            m_entries.begin(), m_entries.end(),
            [](const auto &a, const auto &b) { return a.second.since < b.second.since; });
    m_entries.erase(oldest);
}

} // namespace fescuedeck
