// Watches whether this gateway reaches the endpoints: passes on the outcomes of its connection
// attempts to endpoint_reachability, and executes the probes that this asks for.
#ifndef FESCUEDECK_GATEWAY_ENDPOINT_PROBER_H
#define FESCUEDECK_GATEWAY_ENDPOINT_PROBER_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/gateway/endpoint_reachability.h"
#include "fescuedeck/gateway/gateway_context.h"

namespace fescuedeck {

struct endpoint_prober_settings
{
    endpoint_reachability_settings reachability;
    duration updateInterval = std::chrono::milliseconds(25);
    // The links are checked if requests are in flight and no endpoint has sent anything for this
    // long.
    duration silenceLimit = std::chrono::milliseconds(150);
    // Silence is no reason for a check until this long after the last new connection, because an
    // endpoint may be silent for a while although the links work.
    duration silenceCheckInterval = std::chrono::milliseconds(500);
    // How long hasReachedEndpoints() waits. A check takes up to attemptLimit, and may have to wait
    // for the end of the interval since the last one.
    duration outcomeWait = std::chrono::milliseconds(700);
};

struct endpoint_prober_hooks
{
    // Called when no endpoint can be reached any more. reachedAt is the time of the last new
    // connection.
    std::function<void(time_point reachedAt)> onIsolated;
    // Called when an endpoint is reached again. reachedBefore is the time of the last new
    // connection before the isolation.
    std::function<void(time_point reachedBefore)> onReached;
};

// Not thread-safe. Must outlive the run of its io_context.
class endpoint_prober
{
public:
    endpoint_prober(gateway_context &context, endpoint_prober_hooks hooks,
                    endpoint_prober_settings settings = {});

    // Call it before the client of the context sends the first request.
    void start();
    link_state state() const { return m_reachability.state(); }
    // Whether a new connection to an endpoint has succeeded since the given time, and the gateway
    // was not isolated since. Has the links checked if needed, and waits for the outcome.
    bool hasReachedEndpoints(time_point since, boost::asio::yield_context yield);

private:
    std::vector<probe_candidate> candidates() const;
    loop_time loopTime() const;
    void onAttemptBegun(std::uint64_t number, const std::string &address);
    void onAttemptEnded(std::uint64_t number, connection_outcome outcome);
    void updateForever(boost::asio::yield_context yield);
    void checkSilence(const loop_time &time);
    // Starts the probes that are due and reports a change of the state.
    void update();
    void probe(const std::string &endpoint);
    void reportChange();

    gateway_context &m_context;
    const endpoint_prober_hooks m_hooks;
    const endpoint_prober_settings m_settings;
    endpoint_reachability m_reachability;
    bool m_isIsolated = false; // as last reported
    time_point m_isolatedSince{};
    time_point m_returnedAt{};    // when the last isolation ended
    time_point m_reachedBefore{}; // the time of the last new connection before the isolation
    time_point m_doubtfulSince{}; // when the last check began
    bool m_isSilent = false;      // the last check began because the endpoints were silent
    time_point m_busySince{};     // requests have been in flight since; zero if there are none
};

} // namespace fescuedeck

#endif
