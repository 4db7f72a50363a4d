// The endpoints that the gateway knows: what each has announced, and what this gateway has seen of
// it since.
//
// Announcements come from the shared store and lag. What a call shows (a refused connection, a
// silent engine, a range that is not there) is newer, so that it overrides the announcement until
// the endpoint announces again or the suspicion expires.
#ifndef FESCUEDECK_GATEWAY_ENDPOINT_REGISTRY_H
#define FESCUEDECK_GATEWAY_ENDPOINT_REGISTRY_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fescuedeck/base/layer_range.h"
#include "fescuedeck/base/time.h"

namespace fescuedeck {

enum class endpoint_phase_announced {
    Ready,
    Draining,
};

// An endpoint's own announcement.
struct endpoint_entry
{
    std::string id; // of the process; a restarted process may keep it
    std::string service;
    std::string address; // ip:port
    std::string failureDomain;
    int slots = 1;
    endpoint_phase_announced phase = endpoint_phase_announced::Ready;
    std::string accelerator;           // kind of accelerator; empty for a plain service
    std::optional<layer_range> layers; // held now; none if empty
    std::int64_t startedAt = 0;        // Unix milliseconds; tells incarnations with one id apart
};

// Who has found that an endpoint is lost.
enum class loss_source {
    Own,
    Peer,
};

// An endpoint with this gateway's own observations.
struct endpoint_record
{
    endpoint_entry entry;
    std::int64_t offset = 0; // of the announcement in the store
    time_point announcedAt{};
    time_point firstSeenAt{};
    std::int64_t orders = 0;                // accepted by this incarnation, as far as is known
    std::optional<time_point> layersSeenAt; // when the engine itself stated its layers
    time_point suspectUntil{};              // not to be used before, though it may well live
    loss_source lossSource = loss_source::Own;
    bool isMissing = false;        // its removal is deferred
    time_point lostUntil{};        // shown not to answer: its layers count as missing
    int losses = 0;                // found by this gateway, in a row
    int suspicions = 0;            // in a row without a good answer
    int inFlight = 0;              // requests of this gateway
    double tokensInFlight = 0;     // of this gateway's requests, prompt and answer
    double peerTokensInFlight = 0; // the same of the other gateways, as last heard
    int peerInFlight = 0;
    duration usualFirstEventDelay{}; // of streams that begin here, smoothed
    double slowdown = 1;             // stated time of a step over the usual one

    bool isLost(time_point now) const { return lostUntil > now; }
    // Whether its layers can be counted on.
    bool isPresent(time_point now) const
    {
        return entry.phase == endpoint_phase_announced::Ready && !isLost(now);
    }
    // Whether a request may go there now.
    bool isUsable(time_point now) const { return isPresent(now) && suspectUntil <= now; }
};

// Name that differs between the incarnations of one endpoint.
std::string incarnationName(const endpoint_entry &entry);

using endpoint_ptr = std::shared_ptr<endpoint_record>;

struct suspicion_policy
{
    duration minDuration = std::chrono::milliseconds(500); // doubles with each further suspicion
    duration maxDuration = std::chrono::seconds(4);
    // How long an endpoint that does not answer, or refuses, is not used before it is tried again.
    // Doubles with each further loss: while the store is away, nobody announces that it has gone.
    duration minLossDuration = std::chrono::seconds(2);
    duration maxLossDuration = std::chrono::seconds(16);
};

// Not thread-safe. Records stay valid for their users after the endpoint has gone.
class endpoint_registry
{
public:
    explicit endpoint_registry(suspicion_policy policy = {});

    // The newest announcement of an endpoint.
    void announce(const endpoint_entry &entry, std::int64_t offset, time_point now);
    // The endpoint has left, or its announcement has lapsed.
    void remove(const std::string &id, time_point now);
    // The store has come back. Announcements that lapsed meanwhile return shortly, so that removals
    // until the given time take effect only then, and only if the endpoint is not announced again.
    void deferRemovals(time_point until) { m_removalsFrom = until; }
    // Carries out the removals that were deferred. Call several times a second.
    void applyDeferredRemovals(time_point now);
    // Incarnations, as id@start, that leave or have left within the last seconds.
    std::vector<std::string> leaving(time_point now) const;
    // Another gateway knows that the endpoint leaves.
    void markLeaving(const std::string &id);
    // Removes the endpoints that are not in ids.
    void retain(const std::vector<std::string> &ids, time_point now);

    // A call failed in a way that speaks against the endpoint.
    void suspect(const std::string &id, time_point now);
    // The same without lengthening, for endpoints of which one at most is at fault.
    void suspectBriefly(const std::string &id, time_point until);
    // This gateway has seen that it does not answer, or refuses.
    void markLost(const std::string &id, time_point now);
    // Another gateway has seen it.
    void markLostByPeer(const std::string &id, time_point until);
    // A call was answered well. It ends suspicions only: an engine that leaves refuses new requests
    // and still ends those that it has.
    void clearSuspicion(const std::string &id);
    // The endpoint itself has said which layers it holds after so many orders. Announcements that
    // arrive shortly after may be older and do not replace that.
    void observeLayers(const std::string &id, const std::optional<layer_range> &layers,
                       std::int64_t orders, time_point now);

    endpoint_ptr find(const std::string &id) const;
    endpoint_ptr findByAddress(const std::string &address) const;
    std::vector<endpoint_ptr> all() const;
    std::vector<endpoint_ptr> ofService(const std::string &service) const;
    std::size_t size() const { return m_endpoints.size(); }
    // When the newest endpoint was first seen.
    time_point newestSince() const { return m_newestSince; }
    // Grows with each change of what can be chosen.
    std::uint64_t revision() const { return m_revision; }

private:
    suspicion_policy m_policy;
    std::map<std::string, endpoint_ptr> m_endpoints; // by id
    std::uint64_t m_revision = 0;
    time_point m_newestSince{};
    time_point m_removalsFrom{};
    std::map<std::string, time_point> m_departed; // incarnations, with the time of their removal
};

} // namespace fescuedeck

#endif
