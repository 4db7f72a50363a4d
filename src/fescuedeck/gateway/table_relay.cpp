#include "fescuedeck/gateway/table_relay.h"

#include <utility>

#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {
namespace {

// Readers pause for up to 0.5 s between two reads, and digests arrive each 0.3 s. A gateway that is
// behind for longer has missed a page.
constexpr duration maxLag = std::chrono::seconds(1);

// When the digests of all readers have expired, the next gateways in order read, and say so in
// their next digest.
constexpr duration readerChangeTime = std::chrono::milliseconds(500);

} // namespace

std::optional<table_records> toMessage(store_table table, const applied_page &page)
{
    table_records message;
    message.table = nameOf(storeTableNames, table);
    message.epoch = page.page.epoch;
    message.from = page.from;
    message.next = page.next;
    message.isWhole = page.isWhole;
    std::size_t bytes = 0;
    for (const store_record &record : page.page.records) {
        constexpr std::size_t recordOverhead = 40; // names of fields and the offset
        bytes += record.key.size() + record.value.size() + recordOverhead;
        if (bytes > maxPassedBytes)
            return std::nullopt;
        message.records.push_back({ record.key, record.value, record.offset, record.isRemoval });
    }
    return message;
}

store_page toPage(const table_records &message)
{
    store_page page;
    page.epoch = message.epoch;
    page.next = message.next;
    for (const table_record &record : message.records)
        page.records.push_back({ record.key, record.value, record.offset, record.isRemoval });
    return page;
}

table_relay::table_relay(const std::string &host, const peer_directory &domain, metrics &counters,
                         send_fn send)
    : m_domain(domain)
    , m_counters(counters)
    , m_send(std::move(send))
    , m_readers(host, readerChangeTime)
    , m_lag(maxLag)
{
}

void table_relay::add(store_table table, table_follower &follower)
{
    m_followers[std::string(nameOf(storeTableNames, table))] = &follower;
}

// The table of endpoints changes most and is read most often, so it shows first whether the store
// answers.
store_access table_relay::ownAccess() const
{
    const auto follower
            = m_followers.find(std::string(nameOf(storeTableNames, store_table::Endpoints)));
    return follower == m_followers.end() ? store_access::Unused : follower->second->access();
}

std::map<std::string, table_position> table_relay::positions() const
{
    std::map<std::string, table_position> positions;
    for (const auto &[table, follower] : m_followers)
        positions[table] = { follower->epoch(), follower->position() };
    return positions;
}

table_report table_relay::report() const
{
    // A gateway that no longer reads may still wait for the answer to its last read.
    const store_access access = ownAccess();
    const bool isLeftToPeers = access == store_access::Served && !isReader();
    return { isLeftToPeers ? store_access::Unused : access, positions() };
}

bool table_relay::update(time_point now)
{
    const bool wasReader = m_readers.isReader();
    m_readers.update(m_domain, ownAccess(), now);
    const bool isChanged = m_readers.isReader() != wasReader;
    if (isChanged) {
        event_line("table_reader")
                .field("reads", m_readers.isReader())
                .field("peers", nameOf(storeAccessNames, m_readers.peerAccess()));
    }
    for (const auto &[table, follower] : m_followers)
        follower->notePeers(m_readers.peerAccess());
    for (const std::string &table : m_lag.update(positions(), m_domain, now)) {
        m_counters.counterOf("fescuedeck_table_behind_total", { { "table", table } }).add();
        m_followers[table]->restartRead();
    }
    if (isReader()) {
        for (const repeated_page &missing : m_repeater.update(m_domain, now)) {
            m_counters
                    .counterOf("fescuedeck_table_pages_repeated_total",
                               { { "table", missing.page.table } })
                    .add();
            m_send({ missing.peer }, missing.page);
        }
    }
    return isChanged;
}

void table_relay::onPage(store_table table, const applied_page &page, time_point now)
{
    const std::string name(nameOf(storeTableNames, table));
    m_counters
            .counterOf("fescuedeck_table_pages_total",
                       { { "table", name },
                         { "source", std::string(nameOf(pageSourceNames, page.source)) } })
            .add();
    const bool isRelayed = m_followers.count(name) > 0;
    if (!isRelayed || page.source != page_source::Store || !m_readers.isReader())
        return;
    const auto message = toMessage(table, page);
    if (!message) {
        m_counters.counterOf("fescuedeck_table_pages_too_large_total").add();
        return;
    }
    m_repeater.add(*message, now);
    const std::vector<std::string> receivers = tableReceivers(m_domain, now);
    if (!receivers.empty())
        m_send(receivers, *message);
}

void table_relay::receive(const table_records &message)
{
    const auto follower = m_followers.find(message.table);
    if (follower != m_followers.end())
        follower->second->receive(toPage(message), message.from, message.isWhole);
}

} // namespace fescuedeck
