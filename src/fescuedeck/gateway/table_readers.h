// Decides which gateways of a failure domain read the store's tables, and notices tables of which
// peers have read more. Everything is derived from the digests of the domain's gateways.
#ifndef FESCUEDECK_GATEWAY_TABLE_READERS_H
#define FESCUEDECK_GATEWAY_TABLE_READERS_H

#include <map>
#include <string>
#include <vector>

#include "fescuedeck/base/time.h"
#include "fescuedeck/peer/peer_directory.h"
#include "fescuedeck/peer/table_records.h"

namespace fescuedeck {

constexpr int tableReadersPerDomain = 3;

// The first live gateways of the domain read, in the order of their hosts. For each one that the
// store does not answer, the next one reads as well, while the first ones go on trying. Gateways of
// an earlier version read for themselves and do not count. Not thread-safe.
class table_readers
{
public:
    // A gateway that for patience has had no digest of a reader in force reads for itself.
    table_readers(std::string host, duration patience)
        : m_host(std::move(host))
        , m_patience(patience)
    {
    }

    // own is how the store answers this gateway.
    void update(const peer_directory &domain, store_access own, time_point now);
    // True before the first update.
    bool isReader() const { return m_isReader; }
    // Served if the store answers any reader; Unused if no reader is known.
    store_access peerAccess() const { return m_peerAccess; }

private:
    const std::string m_host;
    const duration m_patience;
    bool m_isReader = true;
    store_access m_peerAccess = store_access::Unused;
    time_point m_readerHeardAt{};
};

// Peers of the domain that understand table_records and do not read the store.
std::vector<std::string> tableReceivers(const peer_directory &domain, time_point now);

// Not thread-safe.
class table_lag
{
public:
    explicit table_lag(duration limit)
        : m_limit(limit)
    {
    }

    // Returns the tables of which peers have read more than own for the limit, and again after each
    // further limit.
    std::vector<std::string> update(const std::map<std::string, table_position> &own,
                                    const peer_directory &domain, time_point now);

private:
    const duration m_limit;
    std::map<std::string, time_point> m_behindSince; // by table
};

} // namespace fescuedeck

#endif
