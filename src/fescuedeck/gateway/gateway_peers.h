// The exchange of state between the gateways of one deployment, which makes them depend less on the
// store.
//
// Each gateway tells its peers its load, its configuration version, the endpoints that it knows to
// be leaving, the endpoints that it has found lost, the requests that crash endpoints, and how far
// it has read the table of endpoints. A gateway that cannot reach the store learns of changes from
// gateways that can. Gateways read each other's addresses and the shared secret that authenticates
// them from a table of the store. Few gateways of each failure domain read the store's tables and
// pass them on to the others (table_relay.h).
//
// Gateways of one failure domain tell each other their own load. To the gateways of other domains,
// of which each is connected to a few, they tell the load of their whole domain.
#ifndef FESCUEDECK_GATEWAY_GATEWAY_PEERS_H
#define FESCUEDECK_GATEWAY_GATEWAY_PEERS_H

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/gateway/config_exchange.h"
#include "fescuedeck/gateway/gateway_context.h"
#include "fescuedeck/gateway/peer_topology.h"
#include "fescuedeck/gateway/retry_lending.h"
#include "fescuedeck/gateway/table_follower.h"
#include "fescuedeck/gateway/table_relay.h"
#include "fescuedeck/net/peer_network.h"
#include "fescuedeck/peer/peer_directory.h"

namespace fescuedeck {

struct gateway_peers_hooks
{
    // Called with the text of a configuration, as the operator wrote it, that a peer has sent.
    std::function<void(const std::string &value)> onConfig;
    // Offset up to which this gateway has read the table of endpoints.
    std::function<std::int64_t()> endpointOffset;
    // Called while peers have read the table of endpoints further for a while.
    std::function<void()> onEndpointTableBehind;
    // Called while a peer has had a newer configuration for a while that has not arrived from it.
    std::function<void()> onConfigBehind;
};

// Not thread-safe. It must not be destroyed while the io_context of the gateway runs.
class gateway_peers
{
public:
    gateway_peers(gateway_context &context, std::string incarnation, gateway_peers_hooks hooks);

    // Does nothing if the settings name no address for peers.
    void start();
    void stop();
    // Sets the configuration text, as the operator wrote it, that is sent to peers on request.
    void setConfigText(std::string value) { m_configs.setText(std::move(value)); }
    // Sends the current state to the peers at once instead of after the usual interval.
    void announceChange();
    // Returns the number of other gateways that were heard from recently.
    int livePeers(time_point now) const;
    // Returns the number of gateways in the store's table, at least 1.
    int knownGateways() const { return std::max(1, static_cast<int>(m_locations.size())); }
    // Whether this gateway is among the first live gateways of its failure domain, in the order of
    // their hosts.
    bool isAmongFirst(int count, time_point now) const;
    // Whether this gateway reads the store's tables; else peers read them and pass them on.
    bool readsTables() const { return m_relay.isReader(); }
    // Lets the table be passed on. The follower's hook onPage must call onTablePage().
    void relayTable(store_table table, table_follower &follower) { m_relay.add(table, follower); }
    void onTablePage(store_table table, const applied_page &page);

private:
    table_follower_hooks tableHooks();
    retry_lending_hooks lendingHooks();
    config_exchange_hooks configHooks();
    bool isRegistered(const std::vector<std::string> &keys) const;
    void registerWithStore(boost::asio::yield_context yield);
    void onPeerRecord(const store_record &record);
    void openNetwork();
    void runRefreshLoop(boost::asio::yield_context yield);
    void applyPeerView(time_point now);
    void updateDueRetries();
    void applyPeerSuspicions(const std::set<std::string> &suspects, time_point now);
    void updateSuspectedSince(const std::set<std::string> &suspects, time_point now);
    void checkEndpointOffset(time_point now);
    peer_view mergedView(time_point now) const;
    void applyPeerDepartures(const std::set<std::string> &reported, time_point now);
    peer_digest currentDigest(const std::string &cell) const;
    peer_digest ownDigest() const;
    void onMessage(const peer_hello &peer, const peer_message &message);

    gateway_context &m_context;
    const std::string m_incarnation;
    const gateway_peers_hooks m_hooks;
    table_follower m_table;
    std::string m_secret;
    const std::string m_cell;      // the name of the failure domain on connections to peers
    gateway_locations m_locations; // of all gateways
    bool m_isRegistering = false;
    std::unique_ptr<peer_network> m_network;
    peer_directory m_ownDomain;
    table_relay m_relay;
    std::map<std::string, peer_directory> m_otherDomains; // by cell
    retry_lending m_lending;
    // When peers had first read the endpoint table further than this gateway; zero if they have
    // not.
    time_point m_behindSince{};
    std::map<std::string, time_point> m_suspectedSince; // by id, of the suspects of peers
    config_exchange m_configs;
};

} // namespace fescuedeck

#endif
