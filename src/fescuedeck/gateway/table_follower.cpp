#include "fescuedeck/gateway/table_follower.h"

#include <algorithm>
#include <utility>

#include "fescuedeck/router/wait_event.h"
#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {

table_follower::table_follower(boost::asio::io_context &ioContext, const store_hooks &store,
                               store_table table, table_follower_settings settings,
                               table_follower_hooks hooks, random_fn random)
    : m_io(ioContext)
    , m_store(store)
    , m_table(table)
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_random(std::move(random))
    , m_backoff(m_settings.retry, m_random)
{
}

void table_follower::start()
{
    boost::asio::spawn(m_io, [this](boost::asio::yield_context yield) { run(yield); });
}

void table_follower::run(boost::asio::yield_context yield)
{
    readFirst(yield);
    // The checks of many gateways that start together spread over the interval.
    m_nextCheckAt = steadyNow() + randomPart(m_settings.checkInterval);
    while (true) {
        if (!m_settings.pace().readsStore)
            waitWhilePeersRead(yield);
        const bool isSuccess = m_needsWholeTable ? readWholeTable(yield) : readNewRecords(yield);
        if (isSuccess)
            m_backoff.reset();
        scheduleReads(isSuccess);
        const duration delay = isSuccess ? m_settings.pace().readDelay : m_backoff.next();
        if (delay > duration::zero())
            sleepFor(delay, yield);
    }
}

// Several reads can run at the same time. Only the first one that succeeds is used.
void table_follower::readFirst(boost::asio::yield_context yield)
{
    const wait_event done(yield);
    duration delay = m_settings.firstReadInterval;
    int reads = 0;
    do {
        boost::asio::spawn(m_io, [this, done](boost::asio::yield_context innerYield) {
            const auto page = m_store.readNewest(m_table, m_settings.maxTimeout, innerYield);
            if (m_lastRead != time_point{})
                return;
            recordReadResult(page.has_value(), page ? std::string() : page.error().detail);
            if (!page)
                return;
            applyWholeTable(page.value(), 0, page_source::Store);
            done.set();
        });
        ++reads;
        if (reads == m_settings.fastFirstReads)
            delay = std::max(delay, m_settings.retry.last);
    } while (!done.waitUntil(steadyNow() + delay, yield));
}

// Returns when this follower has to read the store itself.
void table_follower::waitWhilePeersRead(boost::asio::yield_context yield)
{
    m_isServed = false;
    while (!m_settings.pace().readsStore && !isReadDue(steadyNow()))
        sleepFor(m_settings.pollInterval, yield);
}

bool table_follower::isReadDue(time_point now) const
{
    if (m_needsWholeTable)
        return now >= m_wholeReadAt;
    return m_expectsRecords || now >= m_nextCheckAt || (m_gapReadAt && now >= *m_gapReadAt);
}

void table_follower::scheduleReads(bool isSuccess)
{
    const time_point now = steadyNow();
    m_nextCheckAt = now + (isSuccess ? m_settings.checkInterval : m_settings.failedReadInterval);
    m_gapReadAt.reset();
    if (!isSuccess)
        m_wholeReadAt = now + m_settings.failedReadInterval;
}

duration table_follower::randomPart(duration whole) const
{
    return std::chrono::duration_cast<duration>(whole * uniformReal(m_random));
}

duration table_follower::wholeReadDelay() const
{
    return m_settings.wholePageGrace + randomPart(m_settings.wholeReadSpread);
}

void table_follower::requestWholeTable(duration delay)
{
    m_needsWholeTable = true;
    m_wholeReadAt = steadyNow() + delay;
    m_cancellation.cancel();
}

void table_follower::refresh(whole_read way)
{
    requestWholeTable(way == whole_read::Immediate ? duration::zero() : wholeReadDelay());
}

void table_follower::restartRead()
{
    m_expectsRecords = true;
    m_cancellation.cancel();
}

bool table_follower::noteEpoch(const store_page &page)
{
    const std::optional<std::int64_t> previous = std::exchange(m_epoch, page.epoch);
    if (!previous || *previous == page.epoch)
        return false;
    event_line("store_epoch_changed", event_level::Warning)
            .field("table", m_settings.name)
            .field("epoch", page.epoch)
            .field("previous", *previous)
            .field("offset", m_position.value_or(-1));
    m_wasRestored = true;
    return true;
}

bool table_follower::readWholeTable(boost::asio::yield_context yield)
{
    const std::int64_t reached = position();
    m_isReadingWholeTable = true;
    const auto page = m_store.readNewest(m_table, currentTimeout(), yield);
    m_isReadingWholeTable = false;
    recordReadResult(page.has_value(), page ? std::string() : page.error().detail);
    if (page)
        applyWholeTable(page.value(), reached, page_source::Store);
    return page.has_value();
}

void table_follower::applyWholeTable(const store_page &page, std::int64_t reached,
                                     page_source source)
{
    if (noteEpoch(page)) {
        m_firstRetained = 0;
        reached = 0;
    }
    if (std::exchange(m_wasRestored, false) && m_hooks.onRestored)
        m_hooks.onRestored();
    const std::int64_t next = std::max({ page.next, m_firstRetained, reached });
    m_position = next; // before the hooks, which may call refresh()
    m_needsWholeTable = false;
    m_appliedAhead.clear();
    std::vector<std::string> keys;
    for (const store_record &record : page.records) {
        m_hooks.onRecord(record);
        if (!record.isRemoval)
            keys.push_back(record.key);
        if (record.offset >= next)
            m_appliedAhead[record.key] = record.offset;
    }
    m_hooks.onWholeTableRead(keys);
    event_line("table_read")
            .field("table", m_settings.name)
            .field("records", static_cast<int>(page.records.size()))
            .field("offset", next)
            .field("epoch", page.epoch)
            .field("source", nameOf(pageSourceNames, source));
    if (m_hooks.onPage)
        m_hooks.onPage({ page, 0, next, true, source });
}

bool table_follower::readNewRecords(boost::asio::yield_context yield)
{
    m_cancellation = call_cancellation();
    // After a failure the read shows whether the store answers again, and if there are records to
    // read, a lost answer must be noticed soon. The store must not delay its answer then.
    const read_pace pace = m_settings.pace();
    const bool isAnsweredAtOnce = m_failedReads > 0 || m_expectsRecords || !pace.readsStore;
    const duration wait = isAnsweredAtOnce ? duration::zero() : pace.longPollWait;
    m_expectsRecords = false;
    const std::int64_t from = *m_position;
    const auto page
            = m_store.readFrom(m_table, from, wait, wait + currentTimeout(), m_cancellation, yield);
    if (m_cancellation.isCancelled())
        return true;
    recordReadResult(page.has_value(), page ? std::string() : page.error().detail);
    if (page)
        applyNewRecords(page.value(), from, page_source::Store);
    return page.has_value();
}

void table_follower::applyNewRecords(const store_page &page, std::int64_t from, page_source source)
{
    // refresh() was called, for example by the hook that the read has succeeded.
    const bool isOverdue = m_needsWholeTable && source == page_source::Store;
    if (!m_position || isOverdue)
        return;
    if (noteEpoch(page)) {
        m_firstRetained = 0;
        m_position.reset();
        requestWholeTable(wholeReadDelay());
    } else if (page.hasMissingRecords) {
        event_line("table_gap", event_level::Warning)
                .field("table", m_settings.name)
                .field("offset", *m_position);
        m_firstRetained = page.next;
        m_position.reset();
        requestWholeTable(wholeReadDelay());
    } else {
        // A page of a peer may have been applied while the store was read.
        const std::int64_t known = *m_position;
        m_position = std::max(known, page.next);
        for (const store_record &record : page.records) {
            if (record.offset >= known && !isApplied(record))
                m_hooks.onRecord(record);
        }
        if (m_hooks.onPage && page.next > from)
            m_hooks.onPage({ page, from, page.next, false, source });
    }
}

void table_follower::receive(const store_page &page, std::int64_t from, bool isWhole)
{
    const bool hasReadFirst = m_lastRead != time_point{};
    if (!hasReadFirst || m_isReadingWholeTable || page.epoch < epoch())
        return;
    notePeers(store_access::Served);
    if (isWhole) {
        receiveWholeTable(page);
        return;
    }
    if (page.epoch == epoch()) {
        if (!m_position || page.next <= *m_position)
            return;
        if (from > *m_position) {
            if (!m_gapReadAt)
                m_gapReadAt = steadyNow() + m_settings.gapGrace;
            return;
        }
    }
    applyNewRecords(page, from, page_source::Peer);
    m_lastRead = steadyNow();
    m_gapReadAt.reset();
}

void table_follower::receiveWholeTable(const store_page &page)
{
    const std::int64_t reached = std::max(position(), m_firstRetained);
    const bool isNewer = page.epoch > epoch() || page.next > reached;
    const bool isWanted = m_needsWholeTable && page.next >= reached;
    if (!isNewer && !isWanted)
        return;
    applyWholeTable(page, 0, page_source::Peer);
    m_lastRead = steadyNow();
    m_gapReadAt.reset();
}

// The reads of this follower show whether the store answers it, unless peers read the store.
void table_follower::notePeers(store_access access)
{
    const bool hasReadFirst = m_lastRead != time_point{};
    if (!hasReadFirst || access == store_access::Unused || m_settings.pace().readsStore)
        return;
    setStoreUnavailable(access == store_access::Failing, "seen by peers");
    if (access == store_access::Served)
        m_lastServed = steadyNow();
}

store_access table_follower::access() const
{
    if (m_failedReads > 0)
        return store_access::Failing;
    return m_isServed ? store_access::Served : store_access::Unused;
}

bool table_follower::isApplied(const store_record &record) const
{
    const auto applied = m_appliedAhead.find(record.key);
    return applied != m_appliedAhead.end() && record.offset <= applied->second;
}

duration table_follower::currentTimeout() const
{
    constexpr int maxDoublings = 8;
    const int factor = 1 << std::min(m_failedReads, maxDoublings);
    return std::min<duration>(m_settings.initialTimeout * factor, m_settings.maxTimeout);
}

void table_follower::recordReadResult(bool isSuccess, const std::string &detail)
{
    const bool readsStore = m_settings.pace().readsStore;
    m_failedReads = isSuccess ? 0 : m_failedReads + 1;
    m_isServed = isSuccess && readsStore;
    if (isSuccess)
        m_lastRead = steadyNow();
    // A single failure of a gateway whose peers are served is no outage.
    if (isSuccess || readsStore || m_lastRead == time_point{})
        setStoreUnavailable(!isSuccess, detail);
    if (isSuccess)
        m_lastServed = m_lastRead;
}

void table_follower::setStoreUnavailable(bool isUnavailable, const std::string &detail)
{
    const duration timeSinceLastRead
            = m_lastServed == time_point{} ? duration::zero() : steadyNow() - m_lastServed;
    if (m_isStoreUnavailable == isUnavailable)
        return;
    m_isStoreUnavailable = isUnavailable;
    event_line(m_isStoreUnavailable ? "table_lost" : "table_regained",
               m_isStoreUnavailable ? event_level::Warning : event_level::Info)
            .field("table", m_settings.name)
            .field("offset", m_position.value_or(-1))
            .field("detail", detail);
    if (m_hooks.onOutage)
        m_hooks.onOutage(m_isStoreUnavailable, timeSinceLastRead);
}

} // namespace fescuedeck
