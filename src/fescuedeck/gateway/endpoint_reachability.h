// Decides whether this gateway has lost its links to all endpoints.
//
// A gateway without links sees the same failures as one whose endpoints have all crashed, so it
// must not blame the endpoints. Only attempts to open new connections count as evidence: old
// connections may live on while new ones are refused, and a silent endpoint says nothing about the
// links. A failed or slow attempt puts the links in doubt. Probes, which are plain connection
// attempts to other endpoints, settle the doubt.
#ifndef FESCUEDECK_GATEWAY_ENDPOINT_REACHABILITY_H
#define FESCUEDECK_GATEWAY_ENDPOINT_REACHABILITY_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/event_loop_watch.h"
#include "fescuedeck/net/connection_observer.h"

namespace fescuedeck {

enum class link_state {
    Connected,
    Checking, // the links are in doubt, and probes are under way
    Isolated, // no endpoint can be reached
};

constexpr name_table<link_state, 3> linkStateNames = { {
        { link_state::Connected, "connected" },
        { link_state::Checking, "checking" },
        { link_state::Isolated, "isolated" },
} };

struct endpoint_reachability_settings
{
    // An attempt that has been open for longer puts the links in doubt, and counts as failed if it
    // is given up on. A host that is up accepts a connection much faster.
    duration slowAttempt = std::chrono::milliseconds(100);
    // A probe or another attempt that takes longer has failed.
    duration attemptLimit = std::chrono::milliseconds(250);
    // Probes are started in steps, because each costs the endpoint a connection and the first ones
    // settle most doubts. The next step follows when the probes of the last one have failed, or
    // after this time.
    std::size_t probesPerStep = 2;
    duration stepInterval = std::chrono::milliseconds(40);
    std::size_t probesPerCheck = 4;
    // The gateway counts as isolated only if so many endpoints were tried, or all that are known.
    std::size_t minTried = 2;
    // After a check, further failures of a single endpoint start no new one for this long. While
    // isolated, the interval between two steps.
    duration checkInterval = std::chrono::milliseconds(300);
};

// What the choice of probes depends on.
struct probe_candidate
{
    std::string id; // of the endpoint
    std::string failureDomain;
    std::string service;
    bool isLost = false; // an endpoint that is lost may have crashed, so it is probed last
};

// Not thread-safe.
class endpoint_reachability
{
public:
    using known_fn = std::function<std::vector<probe_candidate>()>;

    // known returns the endpoints that may be probed. It is called only when probes may be needed.
    // seed varies the order of the probes between gateways.
    endpoint_reachability(known_fn known, std::uint64_t seed,
                          endpoint_reachability_settings settings = {});

    // Records that an attempt to open a connection to an endpoint begins. number identifies it in
    // endAttempt().
    void beginAttempt(std::uint64_t number, const std::string &endpoint, time_point now);
    void endAttempt(std::uint64_t number, connection_outcome outcome, const loop_time &time);
    // Puts the links in doubt for another reason than a failed attempt. Does nothing while the last
    // check is recent.
    void requestCheck(time_point now);
    // Returns the endpoints to probe now. Call it after each failed attempt and several times per
    // 100 ms. Each probe must be made known by beginAttempt(); one whose outcome is not reported
    // fails after attemptLimit. Outcomes that the event loop has not handled yet may still come.
    std::vector<std::string> probesDue(const loop_time &time);

    link_state state() const { return m_state; }
    // When the current state began.
    time_point stateSince() const { return m_stateSince; }
    // When the last attempt succeeded; the start of the epoch if none has.
    time_point lastConnectedAt() const { return m_lastConnectedAt; }
    // Endpoints to which all attempts since the last success have failed.
    std::size_t failedEndpoints() const { return m_failed.size(); }

private:
    struct open_attempt
    {
        std::string endpoint;
        time_point startedAt{};
    };

    void enter(link_state state, time_point now);
    void recordFailure(const std::string &endpoint);
    // Whether the attempt began after the last success. An earlier one says nothing about the
    // links.
    bool isEvidence(const open_attempt &attempt) const;
    bool isDoubtful(const loop_time &time) const;
    void expireAttempts(time_point handledUntil);
    std::vector<std::string> startStep(const loop_time &time);
    std::set<std::string> triedEndpoints() const;
    std::vector<std::string> chooseProbes(const std::vector<probe_candidate> &known,
                                          std::size_t count, time_point now);
    // Whether an attempt that began before the last probes may still succeed.
    bool awaitsAttempt(time_point handledUntil) const;
    void conclude(std::size_t knownEndpoints, time_point now);

    const known_fn m_known;
    const std::uint64_t m_seed;
    const endpoint_reachability_settings m_settings;
    link_state m_state = link_state::Connected;
    time_point m_stateSince{};
    time_point m_lastConnectedAt{};
    time_point m_lastCheckAt{}; // when the last check ended
    time_point m_lastStepAt{};
    std::size_t m_probesOfCheck = 0;                 // started in the current check
    std::map<std::uint64_t, open_attempt> m_open;    // by number
    std::map<std::string, time_point> m_probes;      // when the open probes were started, by id
    std::map<std::string, time_point> m_lastProbeAt; // by id
    std::set<std::string> m_failed;                  // ids, since the last success
    std::size_t m_failedAtCheck = 0;                 // size of m_failed when the last check ended
};

} // namespace fescuedeck

#endif
