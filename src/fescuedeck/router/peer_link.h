// Connects this router to its peers: sends its digest, merges theirs into the tables, and carries
// the messages about bundles, outcomes of calls and crash suspects.
//
// A peer's statement is a hint or a copy of what the log says; nothing that it sends can make this
// router repeat a call or go back to an older bundle.
#ifndef FESCUEDECK_ROUTER_PEER_LINK_H
#define FESCUEDECK_ROUTER_PEER_LINK_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "fescuedeck/base/guarded.h"
#include "fescuedeck/net/peer_network.h"
#include "fescuedeck/peer/peer_directory.h"
#include "fescuedeck/router/control_follower.h"
#include "fescuedeck/router/keyed_calls.h"
#include "fescuedeck/router/router_context.h"
#include "fescuedeck/router/wait_event.h"

namespace fescuedeck {

// Thread-safe.
class peer_link
{
public:
    peer_link(router_context &context, control_follower &control, keyed_calls &calls);

    // Listens, connects and spawns the refresh loop. Call once, and only with peers in the
    // settings.
    std::error_code start();
    std::uint16_t port() const { return m_network.port(); }
    void stop() { m_network.stop(); }

    // Sends a digest soon, for example after a host was drained.
    void digestChanged() { m_network.digestChanged(); }
    std::vector<std::string> livePeers() const;

private:
    struct outcome_waiter
    {
        std::string key;
        wait_event event;
    };
    struct tables
    {
        explicit tables(duration digestLifetime)
            : directory(digestLifetime)
        {
        }
        peer_directory directory;
        std::map<std::string, std::string> incarnations; // of the peers that are up, by router id
        std::set<std::string> live; // peers whose digest counted at the last refresh
        std::vector<outcome_waiter> waiters;
        std::map<std::string, outcome_reply> replies;    // by key, for the waiters
        std::map<std::string, time_point> stateRequests; // last bundle_request, by router id
    };

    peer_digest currentDigest() const;
    void peerUp(const peer_hello &peer);
    void peerDown(const peer_hello &peer);
    void receive(const peer_hello &peer, const peer_message &message);
    void receiveDigest(const std::string &router, const peer_digest &digest);
    void receiveOutcome(const outcome_reply &reply);
    void sendState(const std::string &router);
    void sendOutcome(const std::string &router, const std::string &key);
    void requestStateIfBehind(const std::string &router, const peer_digest &digest);
    std::optional<peer_outcome> askClaimant(const std::string &claimant, const std::string &key,
                                            boost::asio::yield_context yield);
    void setSuspectHooks();
    void refresh(boost::asio::yield_context yield);
    void refreshOnce();

    router_context &m_context;
    control_follower &m_control;
    keyed_calls &m_calls;
    guarded<tables> m_tables;
    peer_network m_network;
};

} // namespace fescuedeck

#endif
