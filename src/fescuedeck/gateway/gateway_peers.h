// What the gateways of one deployment tell each other, so that they need the store less.
//
// Each gateway states its load, the configuration that it uses, the endpoints that it knows to be
// leaving, and the requests that crash endpoints. A gateway that the store turns away so learns of
// changes from those that it serves. Gateways find each other, and the secret that authenticates
// them, in a table of the store.
#ifndef FESCUEDECK_GATEWAY_GATEWAY_PEERS_H
#define FESCUEDECK_GATEWAY_GATEWAY_PEERS_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/gateway/gateway_context.h"
#include "fescuedeck/gateway/table_follower.h"
#include "fescuedeck/net/peer_network.h"
#include "fescuedeck/peer/peer_directory.h"

namespace fescuedeck {

struct gateway_peers_hooks
{
    // Takes a configuration in the operator's own form from a peer.
    std::function<void(const std::string &value)> onConfig;
};

// Not thread-safe. Must outlive its io_context's run.
class gateway_peers
{
public:
    gateway_peers(gateway_context &context, std::string incarnation, gateway_peers_hooks hooks);

    void start();
    void stop();
    // The configuration in the operator's own form, to be passed on.
    void setConfigText(std::string value) { m_configText = std::move(value); }
    // Tells the peers at once of a change.
    void announceChange();
    // Gateways that are known to live, without this one.
    int livePeers(time_point now) const;

private:
    void registerWithStore(boost::asio::yield_context yield);
    void onPeerRecord(const store_record &record);
    void openNetwork();
    void runRefreshLoop(boost::asio::yield_context yield);
    void applyPeerView(time_point now);
    void updateRetryBudgetShare(const peer_view &view, time_point now);
    void applyPeerSuspicions(const std::set<std::string> &suspects, time_point now);
    peer_digest currentDigest() const;
    void onMessage(const peer_hello &peer, const peer_message &message);

    gateway_context &m_context;
    const std::string m_incarnation;
    const gateway_peers_hooks m_hooks;
    table_follower m_table;
    std::string m_secret;
    std::map<std::string, std::string> m_addresses; // by host
    std::unique_ptr<peer_network> m_network;
    peer_directory m_directory;
    std::string m_configText;
    time_point m_lastConfigRequest{};
};

} // namespace fescuedeck

#endif
