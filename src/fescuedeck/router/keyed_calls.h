// Runs calls of non-idempotent operations that carry an Idempotency-Key ("keyed calls"). Each call
// is driven by the state machine idempotent_call. keyed_calls executes the actions that the state
// machine returns, using the log, the replicas of the service and the peers.
#ifndef FESCUEDECK_ROUTER_KEYED_CALLS_H
#define FESCUEDECK_ROUTER_KEYED_CALLS_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "fescuedeck/base/guarded.h"
#include "fescuedeck/claims/idempotent_call.h"
#include "fescuedeck/clients/log_appender.h"
#include "fescuedeck/net/http_server.h"
#include "fescuedeck/router/claim_partitions.h"
#include "fescuedeck/router/pause_detector.h"
#include "fescuedeck/router/router_context.h"

namespace fescuedeck {

// Asks the router that claimed a key for the outcome of its call. Returns nullopt if that router
// cannot be reached or does not know the call.
using ask_claimant_fn = std::function<std::optional<peer_outcome>(
        const std::string &router, const std::string &scopedKey, boost::asio::yield_context)>;

// Thread-safe.
class keyed_calls
{
public:
    keyed_calls(router_context &context, log_client &log, log_appender &appender);

    // Must be called before the first request is served.
    void setAskClaimant(ask_claimant_fn ask) { m_askClaimant = std::move(ask); }
    // Spawns the readers of the claims and the loop of the pause detector. They end when the
    // io_context stops.
    void start();

    // Runs the call and returns the response for the caller. The records of the call's end are
    // written in the background after that.
    http_response run(http_exchange &exchange, const service_spec &service,
                      const std::string &workspace, const trace_context &trace);
    // Returns what this router knows about its call of a key, for a peer that asks. Returns nullopt
    // if this router has no call of the key.
    std::optional<peer_outcome> outcomeOf(const std::string &scopedKey) const;
    // Name of this router in claim records: the router id and the incarnation.
    std::string claimantName() const;
    // Number of calls whose records have not all been written yet. A graceful shutdown waits until
    // it is 0.
    int openCalls() const { return m_openCalls; }
    // Returns true once the claims have been read, so that calls with a key can be served.
    bool isReady() const { return m_partitions.isCaughtUp(); }

private:
    friend class keyed_call_run;

    struct outcomes
    {
        // By scoped key, then by attempt id. Each request that repeats a key is a new attempt.
        std::unordered_map<std::string, std::map<std::string, peer_outcome>> byKey;
        std::deque<std::string> order; // scoped keys, oldest first
    };

    // Stores the outcome for peers that ask. Drops the oldest key if there are too many.
    void storeOutcome(const std::string &scopedKey, const std::string &attempt,
                      const peer_outcome &outcome);

    router_context &m_context;
    log_appender &m_appender;
    claim_partitions m_partitions;
    pause_detector m_pauseDetector;
    ask_claimant_fn m_askClaimant;
    guarded<outcomes> m_outcomes;
    std::atomic<int> m_openCalls{ 0 };
};

} // namespace fescuedeck

#endif
