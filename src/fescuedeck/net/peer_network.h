// Connections to the other routers: WebSocket with one CBOR message per frame. Use it to exchange
// the messages of peer/peer_message.h; what they mean is decided by the hooks' owner.
//
// Every router accepts connections and connects to all addresses it is given. Each connection is
// authenticated before any other message is read. If two routers connect to each other at once,
// both keep the connection that the router with the smaller id began.
#ifndef FESCUEDECK_NET_PEER_NETWORK_H
#define FESCUEDECK_NET_PEER_NETWORK_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/net/backoff.h"
#include "fescuedeck/peer/peer_message.h"

namespace fescuedeck {

namespace detail {
class peer_network_core;
} // namespace detail

struct peer_network_settings
{
    peer_hello identity; // of this router; the nonce is ignored
    std::string secret;  // shared by all routers of the deployment
    duration pingInterval = std::chrono::seconds(1);
    // A connection on which nothing arrives for this long is closed.
    duration silenceLimit = std::chrono::seconds(3);
    duration digestInterval = std::chrono::seconds(1); // to peers of the own cell
    duration otherCellDigestInterval = std::chrono::seconds(1);
    // Least time between digests, so that many changes in a row cost one digest.
    duration digestGap = std::chrono::milliseconds(100);
    backoff_limits reconnect = { std::chrono::milliseconds(100), std::chrono::seconds(5) };
    std::size_t maxQueueBytes = 8 * 1024 * 1024; // per peer
    int maxAccepted = 2048;                      // accepted connections
};

// All hooks are called one at a time on threads of the io_context, with no lock held.
struct peer_network_hooks
{
    // State of this router, for the digests to the peers of a cell.
    std::function<peer_digest(const std::string &cell)> currentDigest;
    // A peer is up from its authentication until its connection is lost. A restarted peer goes down
    // and up again.
    std::function<void(const peer_hello &)> onPeerUp;
    std::function<void(const peer_hello &)> onPeerDown;
    std::function<void(const peer_hello &, const peer_message &)> onMessage;
    // A connection was refused, or a message could not be read or sent.
    std::function<void(const failure &)> onRefusal;
};

// Thread-safe. Destroy it only after the io_context has stopped.
class peer_network
{
public:
    // random gives the nonces; it is called on one thread at a time.
    peer_network(boost::asio::io_context &ioContext, peer_network_settings settings,
                 peer_network_hooks hooks, random_fn random);
    ~peer_network();
    peer_network(const peer_network &) = delete;
    peer_network &operator=(const peer_network &) = delete;

    // Listens and begins to connect. address is ip:port; port 0 picks a free one. Call once.
    std::error_code start(const std::string &address);
    std::uint16_t port() const;
    // Closes the listener and all connections.
    void stop();

    // Replaces the list of addresses to connect to. The address of this router may be in it.
    // Connections to addresses that are no longer listed stay until they are lost.
    void setPeers(const std::vector<std::string> &addresses);

    // Sends when the peer is up, else drops the message.
    void send(const std::string &router, const peer_message &message);
    // The same for several peers.
    void send(const std::vector<std::string> &routers, const peer_message &message);
    void broadcast(const peer_message &message);
    // Sends a digest to all peers as soon as digestGap allows.
    void digestChanged();

    // Ids of the peers that are up.
    std::vector<std::string> peers() const;
    // Open connections, with those that are being replaced.
    int openConnections() const;

private:
    std::shared_ptr<detail::peer_network_core> m_core;
};

} // namespace fescuedeck

#endif
