#include "fescuedeck/gateway/table_readers.h"

namespace fescuedeck {

void table_readers::update(const peer_directory &domain, store_access own, time_point now)
{
    int before = 0;         // gateways before this one
    int answeredBefore = 0; // of these, without those that the store does not answer
    m_peerAccess = store_access::Unused;
    domain.forEachLive(now, [&](const std::string &peer, const peer_digest &digest) {
        if (!digest.tables)
            return;
        const store_access access = digest.tables->access;
        if (peer < m_host) {
            ++before;
            answeredBefore += access == store_access::Failing ? 0 : 1;
        }
        if (access == store_access::Served || m_peerAccess == store_access::Unused)
            m_peerAccess = access;
    });
    if (m_peerAccess != store_access::Unused)
        m_readerHeardAt = now;
    const int rank = own == store_access::Failing ? before : answeredBefore;
    const bool hearsReader = m_readerHeardAt != time_point{} && now - m_readerHeardAt < m_patience;
    m_isReader = rank < tableReadersPerDomain || !hearsReader;
}

std::vector<std::string> tableReceivers(const peer_directory &domain, time_point now)
{
    std::vector<std::string> receivers;
    domain.forEachLive(now, [&](const std::string &peer, const peer_digest &digest) {
        if (digest.tables && digest.tables->access != store_access::Served)
            receivers.push_back(peer);
    });
    return receivers;
}

std::vector<std::string> table_lag::update(const std::map<std::string, table_position> &own,
                                           const peer_directory &domain, time_point now)
{
    std::map<std::string, table_position> furthest = own;
    domain.forEachLive(now, [&](const std::string &, const peer_digest &digest) {
        if (!digest.tables)
            return;
        for (const auto &[table, position] : digest.tables->positions) {
            const auto known = furthest.find(table);
            if (known != furthest.end() && known->second < position)
                known->second = position;
        }
    });
    std::vector<std::string> behind;
    for (const auto &[table, position] : own) {
        if (!(position < furthest[table])) {
            m_behindSince.erase(table);
            continue;
        }
        time_point &since = m_behindSince.try_emplace(table, now).first->second;
        if (now - since < m_limit)
            continue;
        since = now;
        behind.push_back(table);
    }
    return behind;
}

} // namespace fescuedeck
