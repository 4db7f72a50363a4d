// Keeps a copy of one table of the shared store up to date.
//
// The table is read whole at the start and after a gap, and record by record in between. Use one
// for each table.
#ifndef FESCUEDECK_GATEWAY_TABLE_FOLLOWER_H
#define FESCUEDECK_GATEWAY_TABLE_FOLLOWER_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/platform_adapter.h"
#include "fescuedeck/net/backoff.h"
#include "fescuedeck/net/http_client.h"

namespace fescuedeck {

struct table_follower_settings
{
    std::string name;        // for logs
    duration longPollWait{}; // how long the store may hold an empty answer back
    duration readDelay{};    // between two reads
    // Of one read, beyond wait. It doubles with each failure, for a store that is slow.
    duration initialTimeout = std::chrono::seconds(2);
    duration maxTimeout = std::chrono::milliseconds(1500);
    backoff_limits retry = { std::chrono::milliseconds(100), std::chrono::seconds(1) };
    // Until the first success a further read is started after this time, whether or not the ones
    // before have ended: a process that starts in an outage can serve nobody before that, and a
    // read that the store has lost answers no more when the store is back.
    duration firstReadInterval = std::chrono::milliseconds(250);
    int fastFirstReads = 40; // further ones follow at the longest retry interval
};

struct table_follower_hooks
{
    std::function<void(const store_record &)> onRecord;
    // The whole table has been read: keys that are not in the list are gone.
    std::function<void(const std::vector<std::string> &keys)> onWholeTableRead;
    // The store cannot be read (true), or can again; and for how long nothing has been read.
    std::function<void(bool isUnavailable, duration timeSinceLastRead)> onOutage;
};

// Not thread-safe. Must outlive its io_context's run.
class table_follower
{
public:
    table_follower(boost::asio::io_context &ioContext, const store_hooks &store, store_table table,
                   table_follower_settings settings, table_follower_hooks hooks, random_fn random);

    void start();
    // Reads the whole table again at once, for example after the process was suspended.
    void refresh();
    // Time of the last successful read; the start of the epoch before the first one.
    time_point lastRead() const { return m_lastRead; }

private:
    void run(boost::asio::yield_context yield);
    void readFirst(boost::asio::yield_context yield);
    bool readWholeTable(boost::asio::yield_context yield);
    void applyWholeTable(const store_page &page);
    bool readNewRecords(boost::asio::yield_context yield);
    duration currentTimeout() const;
    void recordReadResult(bool isSuccess, const std::string &detail);

    boost::asio::io_context &m_io;
    const store_hooks &m_store;
    const store_table m_table;
    const table_follower_settings m_settings;
    const table_follower_hooks m_hooks;
    backoff m_backoff;
    std::optional<std::int64_t> m_position; // none: the whole table must be read
    std::int64_t m_firstRetained = 0;       // records before it are not kept
    call_cancellation m_cancellation;       // of the current read
    time_point m_lastRead{};
    bool m_isStoreUnavailable = false;
    int m_failedReads = 0; // in a row
};

} // namespace fescuedeck

#endif
