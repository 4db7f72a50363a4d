#include "fescuedeck/gateway/table_follower.h"

#include <algorithm>

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
        const bool isGood = m_position ? readOn(yield) : readWhole(yield);
        if (isGood)
            m_backoff.reset();
        const duration pause = isGood ? m_settings.pause : m_backoff.next();
        if (pause > duration::zero())
            sleepFor(pause, yield);
    }
}

// Several reads can be under way; the first success counts.
void table_follower::readFirst(boost::asio::yield_context yield)
{
    const wait_event done(yield);
    duration pause = m_settings.firstReadInterval;
    int reads = 0;
    do {
        boost::asio::spawn(m_io, [this, done](boost::asio::yield_context inner) {
            const auto page = m_store.readNewest(m_table, m_settings.longestTimeout, inner);
            if (m_lastRead != time_point{})
                return;
            noteRead(page.has_value(), page ? std::string() : page.error().detail);
            if (!page)
                return;
            takeWhole(page.value());
            done.set();
        });
        ++reads;
        if (reads == m_settings.quickFirstReads)
            pause = std::max(pause, m_settings.retry.last);
    } while (!done.waitUntil(steadyNow() + pause, yield));
}

void table_follower::refresh()
{
    m_position.reset();
    m_cancellation.cancel();
}

bool table_follower::readWhole(boost::asio::yield_context yield)
{
    const auto page = m_store.readNewest(m_table, currentTimeout(), yield);
    noteRead(page.has_value(), page ? std::string() : page.error().detail);
    if (page)
        takeWhole(page.value());
    return page.has_value();
}

void table_follower::takeWhole(const store_page &page)
{
    std::vector<std::string> keys;
    for (const store_record &record : page.records) {
        m_hooks.onRecord(record);
        if (!record.isRemoval)
            keys.push_back(record.key);
    }
    m_hooks.onWholeTable(keys);
    m_position = std::max(page.next, m_firstKept);
}

bool table_follower::readOn(boost::asio::yield_context yield)
{
    m_cancellation = call_cancellation();
    // After a failure the question is whether the store answers at all, so that nothing is held
    // back.
    const duration wait = m_failures > 0 ? duration::zero() : m_settings.wait;
    const auto page = m_store.readFrom(m_table, *m_position, wait, wait + currentTimeout(),
                                       m_cancellation, yield);
    if (m_cancellation.isCancelled())
        return true;
    noteRead(page.has_value(), page ? std::string() : page.error().detail);
    if (!page)
        return false;
    if (page.value().hasMissingRecords) {
        event_line("table_gap", event_level::Warning)
                .field("table", m_settings.name)
                .field("offset", *m_position);
        m_firstKept = page.value().next;
        m_position.reset();
        return true;
    }
    for (const store_record &record : page.value().records)
        m_hooks.onRecord(record);
    m_position = page.value().next;
    return true;
}

duration table_follower::currentTimeout() const
{
    constexpr int maxDoublings = 8;
    const int factor = 1 << std::min(m_failures, maxDoublings);
    return std::min<duration>(m_settings.timeout * factor, m_settings.longestTimeout);
}

void table_follower::noteRead(bool isGood, const std::string &detail)
{
    const time_point now = steadyNow();
    const duration silentFor = m_lastRead == time_point{} ? duration::zero() : now - m_lastRead;
    m_failures = isGood ? 0 : m_failures + 1;
    if (isGood)
        m_lastRead = now;
    if (m_isLost != isGood)
        return;
    m_isLost = !isGood;
    event_line(m_isLost ? "table_lost" : "table_regained",
               m_isLost ? event_level::Warning : event_level::Info)
            .field("table", m_settings.name)
            .field("offset", m_position.value_or(-1))
            .field("detail", detail);
    if (m_hooks.onOutage)
        m_hooks.onOutage(m_isLost, silentFor);
}

} // namespace fescuedeck
