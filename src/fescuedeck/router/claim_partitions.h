// This router's folds of the claims streams, kept up to date from the log.
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

    // Spawns one reader for each partition; they end when the io_context stops.
    void start();

    std::string streamOf(const std::string &scopedKey) const;
    // Calls visit with the table of the key under its lock. Returns false, without a call, if the
    // partition has not been read to its end yet.
    bool withTable(const std::string &scopedKey,
                   const std::function<void(const claim_table &)> &visit) const;
    // Waits until the key's partition has been read past the offset; false at the deadline.
    bool waitForOffset(const std::string &scopedKey, std::int64_t offset, time_point deadline,
                       boost::asio::yield_context yield);
    std::size_t keyCount() const;
    // Every partition has been read to its end once.
    bool isCaughtUp() const;

private:
    struct waiter
    {
        std::int64_t offset;
        wait_event event;
    };
    struct partition_state
    {
        std::unique_ptr<claim_table> table; // null before the first page
        bool isCaughtUp = false;
        std::vector<waiter> waiters;
    };
    using partition = guarded<partition_state>;

    int partitionNumberOf(const std::string &scopedKey) const;
    partition &partitionOf(const std::string &scopedKey) const;
    void followPartition(int number, boost::asio::yield_context yield);
    void applyPage(partition_state &state, const log_page &page);

    router_context &m_context;
    log_client &m_log;
    claim_table_settings m_tableSettings;
    std::vector<std::unique_ptr<partition>> m_partitions;
};

} // namespace fescuedeck

#endif
