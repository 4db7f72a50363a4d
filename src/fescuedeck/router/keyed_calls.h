// Runs non-idempotent calls that carry an Idempotency-Key: carries out the actions of an
// idempotent_call over the log, the replicas and the peers.
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

// Asks another router what it knows of the call that holds a key; empty if it cannot be reached.
using ask_claimant_fn = std::function<std::optional<peer_outcome>(
        const std::string &router, const std::string &scopedKey, boost::asio::yield_context)>;

// Thread-safe.
class keyed_calls
{
public:
    keyed_calls(router_context &context, log_client &log, log_appender &appender);

    // Call before any request is served.
    void setAskClaimant(ask_claimant_fn ask) { m_askClaimant = std::move(ask); }
    void start();

    // Waits for the answer. The rest of the call (records of its end) goes on in the background.
    http_response run(http_exchange &exchange, const service_spec &service,
                      const std::string &workspace, const trace_context &trace);
    // For a peer that asks about a call of this router.
    std::optional<peer_outcome> outcomeOf(const std::string &scopedKey) const;
    // Name of this router in claims.
    std::string claimantName() const;
    // Calls whose records have not all been written yet; a graceful shutdown waits for them.
    int openCalls() const { return m_openCalls; }
    // Calls with a key can be served.
    bool isReady() const { return m_partitions.isCaughtUp(); }

private:
    friend class keyed_call_run;

    struct outcomes
    {
        // By scoped key, then by attempt: a repeated request of a key has an attempt of its own.
        std::unordered_map<std::string, std::map<std::string, peer_outcome>> byKey;
        std::deque<std::string> order; // oldest first
    };

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
