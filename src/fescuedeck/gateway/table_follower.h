// Keeps a copy of one table of the shared store up to date.
//
// The follower reads the whole table at the start, whenever the store has dropped records that the
// follower has not read, and after the store was restored from an older copy, because offsets are
// then given out again. In between it reads only new records. Use one follower per table.
//
// A follower that does not read the store regularly gets pages from peers that do (receive()). It
// then reads the store only if it has missed records, and rarely as a check.
#ifndef FESCUEDECK_GATEWAY_TABLE_FOLLOWER_H
#define FESCUEDECK_GATEWAY_TABLE_FOLLOWER_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/platform_adapter.h"
#include "fescuedeck/net/backoff.h"
#include "fescuedeck/net/http_client.h"
#include "fescuedeck/peer/table_records.h"

namespace fescuedeck {

// How often a table is read.
struct read_pace
{
    duration longPollWait{}; // how long the store may delay an empty answer
    duration readDelay{};    // between two successful reads
    bool readsStore = true;  // else peers read it and pass pages on
};

struct table_follower_settings
{
    std::string name; // for logs
    // Asked before each read.
    std::function<read_pace()> pace;
    // Timeout of one read, in addition to longPollWait. It doubles with each consecutive failure,
    // because the store may be slow, and never exceeds maxTimeout.
    duration initialTimeout = std::chrono::seconds(2);
    duration maxTimeout = std::chrono::milliseconds(1500);
    backoff_limits retry = { std::chrono::milliseconds(100), std::chrono::seconds(1) };
    // Until the first read succeeds, another read is started after each such interval, even if the
    // earlier ones are still running. A process that starts during an outage cannot serve requests
    // before that success, and a read that the store has lost is never answered, not even when the
    // store is available again.
    duration firstReadInterval = std::chrono::milliseconds(250);
    int fastFirstReads = 40; // later reads start at the longest retry interval
    // The times below apply while peers read the store.
    // A check shows that peers have passed on everything. Digests show the same more often, but
    // only as far as the peers have read.
    duration checkInterval = std::chrono::seconds(80);
    // After a failed read. The gateways that read the store find out when it answers again.
    duration failedReadInterval = std::chrono::seconds(20);
    // How long a page that fills a gap may still arrive from another peer.
    duration gapGrace = std::chrono::milliseconds(300);
    // How long a peer may take to pass on the whole table. Afterwards the follower reads it, at a
    // random time within wholeReadSpread.
    duration wholePageGrace = std::chrono::seconds(1);
    duration wholeReadSpread = std::chrono::seconds(1);
    duration pollInterval = std::chrono::milliseconds(100);
};

enum class page_source { Store, Peer };

constexpr name_table<page_source, 2> pageSourceNames = { {
        { page_source::Store, "store" },
        { page_source::Peer, "peer" },
} };

// A page that a follower has applied.
struct applied_page
{
    const store_page &page;
    std::int64_t from = 0;
    std::int64_t next = 0;
    bool isWhole = false;
    page_source source = page_source::Store;
};

// How a follower that has missed an outage of the store gets the whole table.
enum class whole_read {
    Immediate, // from the store
    FromPeer,  // from a peer if peers read the store, and from the store if none passes it on
};

struct table_follower_hooks
{
    // Called for each record that is newer than the last one of its key.
    std::function<void(const store_record &)> onRecord;
    // The whole table has been read, after onRecord was called for each of its records. Keys that
    // are not in the list are no longer in the table.
    std::function<void(const std::vector<std::string> &keys)> onWholeTableRead;
    // Called before the records of the first whole read after the store was restored from an older
    // copy. The table may lack recent records until their writers write them again.
    std::function<void()> onRestored;
    // Called when reads begin to fail (isUnavailable is true) and when they succeed again.
    // timeSinceLastRead is the time since the last successful read; zero if there was none.
    std::function<void(bool isUnavailable, duration timeSinceLastRead)> onOutage;
    // Called after a page with records, or a whole table, was applied.
    std::function<void(const applied_page &)> onPage;
};

// Not thread-safe. Must live until the io_context has stopped running.
class table_follower
{
public:
    table_follower(boost::asio::io_context &ioContext, const store_hooks &store, store_table table,
                   table_follower_settings settings, table_follower_hooks hooks, random_fn random);

    void start();
    // Cancels the current read of new records and gets the whole table again, for example after a
    // process pause.
    void refresh(whole_read way = whole_read::Immediate);
    // Ends the current read of new records and starts another one, because the table is known to
    // have records that the current read has not returned. The connection of that read may be dead.
    void restartRead();
    // Applies a page that a peer has read from the store, if it continues what is known: it must
    // begin at or before position() and reach beyond it. from is 0 for a whole table. Pages of an
    // earlier epoch are ignored; one of a later epoch makes the follower get the whole table.
    void receive(const store_page &page, std::int64_t from, bool isWhole);
    // States whether the peers that read the store are served by it. Unused: no such peer is known.
    void notePeers(store_access access);
    // Whether the store answers this follower's own reads.
    store_access access() const;
    std::int64_t epoch() const { return m_epoch.value_or(0); }
    // Offset of the next record to read; 0 before the first read.
    std::int64_t position() const { return m_position.value_or(0); }
    // When the table was last read, here or by a peer that passed a page on; the start of the epoch
    // before the first read.
    time_point lastRead() const { return m_lastRead; }

private:
    void run(boost::asio::yield_context yield);
    void readFirst(boost::asio::yield_context yield);
    void waitWhilePeersRead(boost::asio::yield_context yield);
    bool isReadDue(time_point now) const;
    void scheduleReads(bool isSuccess);
    void requestWholeTable(duration delay);
    duration randomPart(duration whole) const;
    duration wholeReadDelay() const;
    bool readWholeTable(boost::asio::yield_context yield);
    // Returns true if offsets of earlier pages are no longer valid.
    bool noteEpoch(const store_page &page);
    // reached is an offset up to which the table was known before the page was read.
    void applyWholeTable(const store_page &page, std::int64_t reached, page_source source);
    void applyNewRecords(const store_page &page, std::int64_t from, page_source source);
    void receiveWholeTable(const store_page &page);
    bool isApplied(const store_record &record) const;
    bool readNewRecords(boost::asio::yield_context yield);
    duration currentTimeout() const;
    void recordReadResult(bool isSuccess, const std::string &detail);
    void setStoreUnavailable(bool isUnavailable, const std::string &detail);

    boost::asio::io_context &m_io;
    const store_hooks &m_store;
    const store_table m_table;
    const table_follower_settings m_settings;
    const table_follower_hooks m_hooks;
    const random_fn m_random;
    backoff m_backoff;
    std::optional<std::int64_t> m_position; // none: new records cannot be applied
    bool m_needsWholeTable = true;
    bool m_isReadingWholeTable = false;
    std::optional<std::int64_t> m_epoch; // of the store, as last read
    bool m_wasRestored = false;          // since the last whole read
    std::int64_t m_firstRetained = 0;    // offset; the store has dropped the records before it
    // By key, the offsets of the records that the last whole read has returned and that lie behind
    // the offset from which reading continues.
    std::map<std::string, std::int64_t> m_appliedAhead;
    call_cancellation m_cancellation; // of the current read
    bool m_expectsRecords = false;    // the table has records that were not read yet
    time_point m_lastRead{};
    time_point m_lastServed{}; // when the store last answered this gateway or a peer that reads it
    bool m_isStoreUnavailable = false;
    int m_failedReads = 0;   // consecutive
    bool m_isServed = false; // the last read of new records succeeded, and it goes on reading
    // While peers read the store:
    time_point m_nextCheckAt{};
    time_point m_wholeReadAt{};
    std::optional<time_point> m_gapReadAt; // a page is missing before one that has arrived
};

} // namespace fescuedeck

#endif
