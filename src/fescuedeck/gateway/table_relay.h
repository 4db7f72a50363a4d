// Passes pages of the store's tables on to the gateways of the same failure domain, so that few of
// them read the store.
//
// The configuration is not passed on: digests tell its version, and its text is sent on request.
#ifndef FESCUEDECK_GATEWAY_TABLE_RELAY_H
#define FESCUEDECK_GATEWAY_TABLE_RELAY_H

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/gateway/page_repeater.h"
#include "fescuedeck/gateway/table_follower.h"
#include "fescuedeck/gateway/table_readers.h"
#include "fescuedeck/peer/peer_directory.h"
#include "fescuedeck/telemetry/metrics.h"

namespace fescuedeck {

constexpr name_table<store_table, 4> storeTableNames = { {
        { store_table::Configuration, "configuration" },
        { store_table::Endpoints, "endpoints" },
        { store_table::Peers, "peers" },
        { store_table::Quarantine, "quarantine" },
} };

// Larger pages are not passed on, because each frame waits in memory once for each slow peer. The
// peers then read the store themselves. An announcement has about 300 bytes.
constexpr std::size_t maxPassedBytes = 128 * 1024;

// Returns none if the page is too large.
std::optional<table_records> toMessage(store_table table, const applied_page &page);
store_page toPage(const table_records &message);

// Not thread-safe.
class table_relay
{
public:
    using send_fn
            = std::function<void(const std::vector<std::string> &routers, const table_records &)>;

    // domain has the digests of the own failure domain, and must outlive the relay.
    table_relay(const std::string &host, const peer_directory &domain, metrics &counters,
                send_fn send);

    // Adds a table whose pages are passed on. The follower must outlive the relay.
    void add(store_table table, table_follower &follower);
    // Call it often: it decides whether this gateway reads, restarts reads that lag, and repeats
    // pages that peers lack. Returns true if the report has changed in a way that peers should know
    // at once.
    bool update(time_point now);
    bool isReader() const { return m_readers.isReader(); }
    // For the digest.
    table_report report() const;
    // Counts a page that a follower of this gateway has applied. Passes it on if this gateway is a
    // reader, the page is from the store, and the table was added.
    void onPage(store_table table, const applied_page &page, time_point now);
    void receive(const table_records &message);

private:
    store_access ownAccess() const;
    std::map<std::string, table_position> positions() const;

    const peer_directory &m_domain;
    metrics &m_counters;
    const send_fn m_send;
    table_readers m_readers;
    table_lag m_lag;
    page_repeater m_repeater;
    std::map<std::string, table_follower *> m_followers; // by name of the table
};

} // namespace fescuedeck

#endif
