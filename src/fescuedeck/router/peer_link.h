// Connects this router to its peers, which are other routers. It sends this router's digest, which
// is a periodic summary of its state, and merges the peers' digests into the tables of this router.
// It also exchanges the messages about bundles, outcomes of calls and suspect requests.
//
// What a peer sends is either a hint or a copy of what the log contains. No message of a peer can
// make this router repeat a call or return to an older bundle.
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

    // Listens, connects to the peers and spawns the refresh loop. Must be called at most once, and
    // only if the settings list peers. Returns the error if listening fails.
    std::error_code start();
    std::uint16_t port() const { return m_network.port(); }
    void stop() { m_network.stop(); }

    // Requests that a new digest is sent soon, for example after a host was drained.
    void digestChanged() { m_network.digestChanged(); }
    // Router ids of the peers whose digest has not expired.
    std::vector<std::string> livePeers() const;

private:
    // A call that waits for a claimant's answer about a key.
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
        std::map<std::string, std::string> incarnations; // of connected peers, by router id
        std::set<std::string> live; // peers whose digest had not expired at the last refresh
        std::vector<outcome_waiter> waiters;
        std::map<std::string, outcome_reply> replies;    // by scoped key, for the waiters
        std::map<std::string, time_point> stateRequests; // time of the last request, by router id
    };

    // Callbacks of the peer network.
    peer_digest currentDigest() const;
    void peerUp(const peer_hello &peer);
    void peerDown(const peer_hello &peer);
    void receive(const peer_hello &peer, const peer_message &message);

    void receiveDigest(const std::string &router, const peer_digest &digest);
    void receiveOutcome(const outcome_reply &reply);
    // Sends this router's control state as a checkpoint if it has a bundle.
    void sendState(const std::string &router);
    void sendOutcome(const std::string &router, const std::string &key);
    // Requests the peer's control state in two cases: the peer has a newer bundle, or the log has
    // stalled and the peer has read further in the control stream.
    void requestStateIfBehind(const std::string &router, const peer_digest &digest);
    // Implements ask_claimant_fn. claimant is a router id with an incarnation, as in claim records.
    std::optional<peer_outcome> askClaimant(const std::string &claimant, const std::string &key,
                                            boost::asio::yield_context yield);
    void setSuspectHooks();
    void refresh(boost::asio::yield_context yield);
    // Drops expired digests and passes the changes among the peers on to the fleet state, the
    // suspects and the control state.
    void refreshOnce();

    router_context &m_context;
    control_follower &m_control;
    keyed_calls &m_calls;
    guarded<tables> m_tables;
    peer_network m_network;
};

} // namespace fescuedeck

#endif
