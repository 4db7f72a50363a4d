#include "fescuedeck/gateway/endpoint_registry.h"

#include <algorithm>

namespace fescuedeck {
namespace {

// Longest time from when an endpoint makes an announcement until this gateway reads it.
constexpr duration maxAnnouncementLag = std::chrono::milliseconds(2500);
// How long this gateway tells the other gateways that an endpoint has left.
constexpr duration departureRetention = std::chrono::seconds(10);
// How long outdated announcements of an endpoint that has left are recognized.
constexpr duration departureMemory = std::chrono::minutes(10);

duration exponentialDuration(duration min, int doublings, duration max)
{
    constexpr int maxDoublings = 8;
    return std::min<duration>(min * (1 << std::min(doublings, maxDoublings)), max);
}

} // namespace

std::string incarnationName(const endpoint_entry &entry)
{
    return entry.id + "@" + std::to_string(entry.startedAt);
}

endpoint_registry::endpoint_registry(suspicion_policy policy)
    : m_policy(policy)
{
}

void endpoint_registry::announce(const endpoint_entry &entry, std::int64_t offset, time_point now)
{
    if (isOutdated(entry))
        return;
    endpoint_ptr &record = m_endpoints[entry.id];
    const bool isNew = !record || record->entry.startedAt != entry.startedAt
                       || record->entry.address != entry.address;
    if (isNew) {
        if (record)
            unindexAddress(record->entry);
        record = std::make_shared<endpoint_record>();
        record->firstSeenAt = now;
        m_newestSince = now;
    }
    const std::optional<layer_range> seenLayers = record->entry.layers;
    const bool mayBeOlder
            = record->layersSeenAt && now - *record->layersSeenAt < maxAnnouncementLag;
    unindexAddress(record->entry);
    record->entry = entry;
    indexAddress(entry);
    record->losses = 0;
    record->isMissing = false;
    m_departed.erase(incarnationName(entry));
    if (mayBeOlder)
        record->entry.layers = seenLayers;
    if (record->hasStatedLeaving)
        record->entry.phase = endpoint_phase_announced::Draining;
    record->offset = offset;
    record->announcedAt = now;
    ++m_revision;
}

// Without the time of its start, a restarted endpoint cannot be told from an outdated announcement.
bool endpoint_registry::isOutdated(const endpoint_entry &entry) const
{
    if (entry.sequence == 0 || entry.startedAt == 0)
        return false;
    const endpoint_ptr known = findIncarnation(incarnationName(entry));
    if (known && entry.sequence < known->entry.sequence)
        return true;
    const auto departed = m_departed.find(incarnationName(entry));
    return departed != m_departed.end() && entry.sequence <= departed->second.sequence;
}

void endpoint_registry::expireDepartures(time_point now)
{
    for (auto it = m_departed.begin(); it != m_departed.end();)
        it = now - it->second.at >= departureMemory ? m_departed.erase(it) : std::next(it);
}

void endpoint_registry::remove(const std::string &id, time_point now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    if (now < m_removalsFrom) {
        found->second->isMissing = true;
        return;
    }
    // Code that still holds the record must not choose the endpoint any more.
    found->second->entry.phase = endpoint_phase_announced::Draining;
    expireDepartures(now);
    m_departed[incarnationName(found->second->entry)] = { now, found->second->entry.sequence };
    unindexAddress(found->second->entry);
    m_endpoints.erase(found);
    ++m_revision;
}

void endpoint_registry::markLeaving(const std::string &id)
{
    const endpoint_ptr record = find(id);
    if (!record || record->entry.phase == endpoint_phase_announced::Draining)
        return;
    record->entry.phase = endpoint_phase_announced::Draining;
    ++m_revision;
}

bool endpoint_registry::recordStatedLeaving(const std::string &id)
{
    const endpoint_ptr record = find(id);
    if (!record)
        return false;
    // Without the time of its start, an endpoint that restarts could not undo the statement.
    record->hasStatedLeaving = record->entry.startedAt != 0;
    const bool isNew = record->entry.phase != endpoint_phase_announced::Draining;
    markLeaving(id);
    return isNew;
}

void endpoint_registry::retain(const std::vector<std::string> &ids, time_point now)
{
    std::vector<std::string> gone;
    for (const auto &[id, record] : m_endpoints) {
        if (std::find(ids.begin(), ids.end(), id) == ids.end())
            gone.push_back(id);
    }
    for (const std::string &id : gone)
        remove(id, now);
}

void endpoint_registry::applyDeferredRemovals(time_point now)
{
    if (now < m_removalsFrom)
        return;
    std::vector<std::string> missing;
    for (const auto &[id, record] : m_endpoints) {
        if (record->isMissing)
            missing.push_back(id);
    }
    for (const std::string &id : missing)
        remove(id, now);
}

std::vector<std::string> endpoint_registry::leaving(time_point now) const
{
    std::vector<std::string> names;
    for (const auto &[id, record] : m_endpoints) {
        if (record->entry.phase == endpoint_phase_announced::Draining)
            names.push_back(incarnationName(record->entry));
    }
    for (const auto &[name, departed] : m_departed) {
        if (now - departed.at < departureRetention)
            names.push_back(name);
    }
    return names;
}

void endpoint_registry::suspect(const std::string &id, time_point now)
{
    const endpoint_ptr record = find(id);
    if (!record)
        return;
    record->suspectUntil
            = now
              + exponentialDuration(m_policy.minDuration, record->suspicions, m_policy.maxDuration);
    record->suspectedAt = now;
    ++record->suspicions;
    ++m_revision;
}

void endpoint_registry::suspectBriefly(const std::string &id, time_point now, time_point until)
{
    const endpoint_ptr record = find(id);
    if (!record || record->suspectUntil >= until)
        return;
    record->suspectUntil = until;
    record->suspectedAt = now;
    ++m_revision;
}

void endpoint_registry::markLost(const std::string &id, time_point now)
{
    const endpoint_ptr record = find(id);
    if (!record)
        return;
    // If the previous loss ended long ago, the endpoint has recovered since and the count restarts.
    const bool isConsecutive = now - record->lostUntil < m_policy.maxLossDuration;
    record->losses = isConsecutive ? record->losses : 0;
    record->lostUntil = now
                        + exponentialDuration(m_policy.minLossDuration, record->losses,
                                              m_policy.maxLossDuration);
    record->lossSource = loss_source::Own;
    record->lostAt = now;
    ++record->losses;
    ++m_revision;
}

void endpoint_registry::markLostByPeer(const std::string &id, time_point until)
{
    const endpoint_ptr record = find(id);
    if (!record)
        return;
    record->lostUntil = until;
    record->lossSource = loss_source::Peer;
    ++m_revision;
}

int endpoint_registry::withdrawFindings(time_point since)
{
    int losses = 0;
    for (auto &[id, record] : m_endpoints) {
        if (record->suspectUntil != time_point{} && record->suspectedAt >= since) {
            record->suspectUntil = {};
            record->suspicions = 0;
        }
        const bool isOwnLoss = record->lostUntil != time_point{}
                               && record->lossSource == loss_source::Own && record->lostAt >= since;
        if (isOwnLoss) {
            record->lostUntil = {};
            ++losses;
        }
    }
    ++m_revision;
    return losses;
}

void endpoint_registry::withdrawPeerLoss(const std::string &id)
{
    const endpoint_ptr record = find(id);
    const bool isPeerLoss = record && record->lostUntil != time_point{}
                            && record->lossSource == loss_source::Peer;
    if (!isPeerLoss)
        return;
    record->lostUntil = {};
    ++m_revision;
}

void endpoint_registry::clearSuspicion(const std::string &id)
{
    const endpoint_ptr record = find(id);
    const bool isSuspect
            = record && (record->suspicions > 0 || record->suspectUntil != time_point{});
    if (!isSuspect)
        return;
    record->suspicions = 0;
    record->suspectUntil = {};
    ++m_revision;
}

void endpoint_registry::observeLayers(const std::string &id,
                                      const std::optional<layer_range> &layers, std::int64_t orders,
                                      time_point now)
{
    const endpoint_ptr record = find(id);
    if (!record || orders < record->orders)
        return;
    record->entry.layers = layers;
    record->orders = orders;
    record->layersSeenAt = now;
    ++m_revision;
}

bool endpoint_registry::isDown(const std::string &incarnation, time_point now) const
{
    const endpoint_ptr endpoint = findIncarnation(incarnation);
    return !endpoint || endpoint->isLost(now);
}

endpoint_ptr endpoint_registry::findIncarnation(const std::string &incarnation) const
{
    const endpoint_ptr endpoint = find(incarnation.substr(0, incarnation.rfind('@')));
    return endpoint && incarnationName(endpoint->entry) == incarnation ? endpoint : nullptr;
}

endpoint_ptr endpoint_registry::find(const std::string &id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : found->second;
}

endpoint_ptr endpoint_registry::findByAddress(const std::string &address) const
{
    const auto found = m_idsByAddress.find(address);
    return found == m_idsByAddress.end() ? nullptr : find(*found->second.begin());
}

void endpoint_registry::indexAddress(const endpoint_entry &entry)
{
    m_idsByAddress[entry.address].insert(entry.id);
}

void endpoint_registry::unindexAddress(const endpoint_entry &entry)
{
    const auto found = m_idsByAddress.find(entry.address);
    if (found == m_idsByAddress.end())
        return;
    found->second.erase(entry.id);
    if (found->second.empty())
        m_idsByAddress.erase(found);
}

std::vector<endpoint_ptr> endpoint_registry::all() const
{
    std::vector<endpoint_ptr> records;
    for (const auto &[id, record] : m_endpoints)
        records.push_back(record);
    return records;
}

std::vector<endpoint_ptr> endpoint_registry::ofService(const std::string &service) const
{
    std::vector<endpoint_ptr> found;
    for (const auto &[id, record] : m_endpoints) {
        if (record->entry.service == service)
            found.push_back(record);
    }
    return found;
}

} // namespace fescuedeck
