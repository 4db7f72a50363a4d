#include "fescuedeck/router/claim_partitions.h"

#include <algorithm>

#include "fescuedeck/claims/claim_record.h"

namespace fescuedeck {
namespace {

constexpr int pageSize = 512; // in records
// How long the log may wait for new records before it answers a read with an empty page.
constexpr duration longPollTimeout = std::chrono::milliseconds(500);
constexpr duration initialBackoff = std::chrono::milliseconds(50);
constexpr duration maxBackoff = std::chrono::seconds(1);

claim_table_settings tableSettings(const router_settings &settings)
{
    claim_table_settings table;
    const duration retainedTime = settings.platform.retention - settings.platform.retentionMargin;
    table.keepFor = std::chrono::duration_cast<unix_millis>(retainedTime);
    return table;
}

} // namespace

claim_partitions::claim_partitions(router_context &context, log_client &log)
    : m_context(context)
    , m_log(log)
    , m_tableSettings(tableSettings(context.settings))
{
    for (std::int64_t i = 0; i < context.settings.platform.claimPartitions; ++i)
        m_partitions.push_back(std::make_unique<partition>(lock_rank::Claims));
    context.counters.setGauge("fescuedeck_claimed_keys", {},
                              [this] { return static_cast<double>(keyCount()); });
}

void claim_partitions::start()
{
    for (std::size_t i = 0; i < m_partitions.size(); ++i) {
        boost::asio::spawn(m_context.io, [this, i](boost::asio::yield_context yield) {
            followPartition(static_cast<int>(i), yield);
        });
    }
}

std::string claim_partitions::streamOf(const std::string &scopedKey) const
{
    return "claims-" + std::to_string(partitionNumberOf(scopedKey));
}

int claim_partitions::partitionNumberOf(const std::string &scopedKey) const
{
    return fescuedeck::partitionOf(scopedKey, static_cast<int>(m_partitions.size()));
}

claim_partitions::partition &claim_partitions::partitionOf(const std::string &scopedKey) const
{
    return *m_partitions[static_cast<std::size_t>(partitionNumberOf(scopedKey))];
}

bool claim_partitions::withTable(const std::string &scopedKey,
                                 const std::function<void(const claim_table &)> &visit) const
{
    return partitionOf(scopedKey).with([&](const partition_state &state) {
        if (!state.isCaughtUp)
            return false;
        visit(*state.table);
        return true;
    });
}

bool claim_partitions::waitForOffset(const std::string &scopedKey, std::int64_t offset,
                                     time_point deadline, boost::asio::yield_context yield)
{
    const wait_event reached(yield);
    const bool isAlreadyRead = partitionOf(scopedKey).with([&](partition_state &state) {
        if (state.table && state.table->nextOffset() > offset)
            return true;
        state.waiters.push_back({ offset, reached });
        return false;
    });
    return isAlreadyRead || reached.waitUntil(deadline, yield);
}

std::size_t claim_partitions::keyCount() const
{
    std::size_t sum = 0;
    for (const auto &each : m_partitions) {
        sum += each->with(
                [](const partition_state &state) { return state.table ? state.table->size() : 0; });
    }
    return sum;
}

bool claim_partitions::isCaughtUp() const
{
    for (const auto &each : m_partitions) {
        if (!each->with([](const partition_state &state) { return state.isCaughtUp; }))
            return false;
    }
    return true;
}

void claim_partitions::applyPage(partition_state &state, const log_page &page)
{
    if (!state.table)
        state.table = std::make_unique<claim_table>(m_tableSettings, page.first);
    for (const log_record &record : page.records)
        state.table->apply(record);
    state.table->expire(wallNow());
    if (page.records.size() < static_cast<std::size_t>(pageSize))
        state.isCaughtUp = true;
    const std::int64_t next = state.table->nextOffset();
    const auto notifyIfReached = [&](const waiter &each) {
        if (each.offset >= next)
            return false;
        each.event.set();
        return true;
    };
    auto &waiters = state.waiters;
    waiters.erase(std::remove_if(waiters.begin(), waiters.end(), notifyIfReached), waiters.end());
}

void claim_partitions::followPartition(int number, boost::asio::yield_context yield)
{
    partition &followed = *m_partitions[static_cast<std::size_t>(number)];
    const std::string stream = "claims-" + std::to_string(number);
    duration backoff = initialBackoff;
    for (;;) {
        struct position
        {
            std::int64_t from;
            duration wait;
        };
        // Until the stream has been read to its end once, calls with a key are rejected. Reads
        // therefore do not wait for new records during that time.
        const position next = followed.with([](const partition_state &state) {
            return position{ state.table ? state.table->nextOffset() : 0,
                             state.isCaughtUp ? longPollTimeout : duration::zero() };
        });
        const auto page = m_log.read(stream, next.from, pageSize, next.wait,
                                     m_context.settings.timing.logTimeout + next.wait, yield);
        if (!page) {
            m_context.counters.counterOf("fescuedeck_log_failures_total", { { "call", "read" } })
                    .add();
            sleepFor(backoff, yield);
            backoff = std::min(maxBackoff, backoff * 2);
            continue;
        }
        backoff = initialBackoff;
        followed.with([&](partition_state &state) { applyPage(state, page.value()); });
    }
}

} // namespace fescuedeck
