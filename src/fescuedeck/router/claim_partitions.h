// Maintains this router's claim tables, one for each partition of the claims streams, by replaying
// the streams from the log.
//
// A claim records in the log which router runs the call of an Idempotency-Key. The partition of a
// key is determined by its scoped key, which is the key together with its workspace.
#ifndef FESCUEDECK_ROUTER_CLAIM_PARTITIONS_H
#define FESCUEDECK_ROUTER_CLAIM_PARTITIONS_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fescuedeck/base/guarded.h"
#include "fescuedeck/claims/claim_table.h"
#include "fescuedeck/clients/log_client.h"
#include "fescuedeck/router/router_context.h"
#include "fescuedeck/router/wait_event.h"

namespace fescuedeck {

// Thread-safe.
class claim_partitions
{
public:
    claim_partitions(router_context &context, log_client &log);

    // Spawns one reader for each partition. The readers end when the io_context stops.
    void start();

    // Returns the name of the log stream that holds the key's claims.
    std::string streamOf(const std::string &scopedKey) const;
    // Calls visit with the claim table of the key's partition while it holds the partition's lock.
    // Returns false, without calling visit, if the partition has not been read to its end yet.
    bool withTable(const std::string &scopedKey,
                   const std::function<void(const claim_table &)> &visit) const;
    // Waits until the record at the offset of the key's partition has been applied. Returns false
    // if the deadline passes first.
    bool waitForOffset(const std::string &scopedKey, std::int64_t offset, time_point deadline,
                       boost::asio::yield_context yield);
    // Returns the number of keys in the tables of all partitions.
    std::size_t keyCount() const;
    // Returns true once every partition has been read to its end.
    bool isCaughtUp() const;

private:
    // A caller of waitForOffset.
    struct waiter
    {
        std::int64_t offset;
        wait_event event;
    };
    struct partition_state
    {
        std::unique_ptr<claim_table> table; // null until the first page has been read
        bool isCaughtUp = false;            // true once the partition has been read to its end
        std::vector<waiter> waiters;
    };
    using partition = guarded<partition_state>;

    int partitionNumberOf(const std::string &scopedKey) const;
    partition &partitionOf(const std::string &scopedKey) const;
    // Reads the partition in an endless loop.
    void followPartition(int number, boost::asio::yield_context yield);
    // Applies the page to the table and wakes the waiters whose offset has been reached.
    void applyPage(partition_state &state, const log_page &page);

    router_context &m_context;
    log_client &m_log;
    claim_table_settings m_tableSettings;
    std::vector<std::unique_ptr<partition>> m_partitions;
};

} // namespace fescuedeck

#endif
