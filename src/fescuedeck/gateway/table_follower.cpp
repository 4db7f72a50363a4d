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
    , m_backoff(m_settings.retry, std::move(random))
{
}

void table_follower::start()
{
    boost::asio::spawn(m_io, [this](boost::asio::yield_context yield) { run(yield); });
}

void table_follower::run(boost::asio::yield_context yield)
{
    readFirst(yield);
    while (true) {
        const bool isSuccess = m_position ? readNewRecords(yield) : readWholeTable(yield);
        if (isSuccess)
            m_backoff.reset();
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
            applyWholeTable(page.value());
            done.set();
        });
        ++reads;
        if (reads == m_settings.fastFirstReads)
            delay = std::max(delay, m_settings.retry.last);
    } while (!done.waitUntil(steadyNow() + delay, yield));
}

void table_follower::refresh()
{
    m_position.reset();
    m_cancellation.cancel();
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
    const auto page = m_store.readNewest(m_table, currentTimeout(), yield);
    recordReadResult(page.has_value(), page ? std::string() : page.error().detail);
    if (page)
        applyWholeTable(page.value());
    return page.has_value();
}

void table_follower::applyWholeTable(const store_page &page)
{
    if (noteEpoch(page))
        m_firstRetained = 0;
    if (std::exchange(m_wasRestored, false) && m_hooks.onRestored)
        m_hooks.onRestored();
    const std::int64_t next = std::max(page.next, m_firstRetained);
    m_position = next; // before the hooks, which may call refresh()
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
            .field("epoch", page.epoch);
}

bool table_follower::readNewRecords(boost::asio::yield_context yield)
{
    m_cancellation = call_cancellation();
    // After a failure the read shows whether the store answers again, and if there are records to
    // read, a lost answer must be noticed soon. The store must not delay its answer then.
    const bool isAnsweredAtOnce = m_failedReads > 0 || m_expectsRecords;
    const duration wait = isAnsweredAtOnce ? duration::zero() : m_settings.pace().longPollWait;
    m_expectsRecords = false;
    const auto page = m_store.readFrom(m_table, *m_position, wait, wait + currentTimeout(),
                                       m_cancellation, yield);
    if (m_cancellation.isCancelled())
        return true;
    recordReadResult(page.has_value(), page ? std::string() : page.error().detail);
    if (page)
        applyNewRecords(page.value());
    return page.has_value();
}

void table_follower::applyNewRecords(const store_page &page)
{
    if (!m_position) // refresh() was called, for example by the hook that the read has succeeded
        return;
    if (noteEpoch(page)) {
        m_firstRetained = 0;
        m_position.reset();
    } else if (page.hasMissingRecords) {
        event_line("table_gap", event_level::Warning)
                .field("table", m_settings.name)
                .field("offset", *m_position);
        m_firstRetained = page.next;
        m_position.reset();
    } else {
        for (const store_record &record : page.records) {
            if (!isApplied(record))
                m_hooks.onRecord(record);
        }
        m_position = page.next;
    }
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
    const time_point now = steadyNow();
    const duration timeSinceLastRead
            = m_lastRead == time_point{} ? duration::zero() : now - m_lastRead;
    m_failedReads = isSuccess ? 0 : m_failedReads + 1;
    if (isSuccess)
        m_lastRead = now;
    if (m_isStoreUnavailable != isSuccess)
        return;
    m_isStoreUnavailable = !isSuccess;
    event_line(m_isStoreUnavailable ? "table_lost" : "table_regained",
               m_isStoreUnavailable ? event_level::Warning : event_level::Info)
            .field("table", m_settings.name)
            .field("offset", m_position.value_or(-1))
            .field("detail", detail);
    if (m_hooks.onOutage)
        m_hooks.onOutage(m_isStoreUnavailable, timeSinceLastRead);
}

} // namespace fescuedeck
