// The endpoints that the gateway knows: what each one has announced, and what this gateway has
// observed since.
//
// Announcements come from the shared store with a delay. What a call shows (a refused connection, a
// stalled engine, a missing layer range) is newer and overrides the announcement until the endpoint
// announces itself again or the suspicion expires.
#ifndef FESCUEDECK_GATEWAY_ENDPOINT_REGISTRY_H
#define FESCUEDECK_GATEWAY_ENDPOINT_REGISTRY_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fescuedeck/base/layer_range.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/load_estimate.h"

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
    std::optional<layer_range> layers; // that the endpoint holds now, if any
    std::int64_t startedAt = 0;        // Unix milliseconds; differs between incarnations
    // Increases with the announcements of one incarnation; 0 if the endpoint does not number them.
    std::int64_t sequence = 0;
};

// Which gateway found that an endpoint is lost: this one or a peer.
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
    bool hasStatedLeaving = false;          // by this incarnation, in a response
    std::int64_t orders = 0;                // accepted by this incarnation, as last reported
    std::optional<time_point> layersSeenAt; // when the engine last reported its layers
    time_point suspectUntil{};              // gets no requests before, but may be alive
    time_point suspectedAt{};               // when the suspicion began
    loss_source lossSource = loss_source::Own;
    bool isMissing = false;        // its removal is deferred; see deferRemovals()
    time_point lostUntil{};        // until then its layers count as missing
    time_point lostAt{};           // when the loss was found
    int losses = 0;                // consecutive, found by this gateway
    int suspicions = 0;            // consecutive, without a success between them
    int inFlight = 0;              // requests of this gateway
    double tokensInFlight = 0;     // of this gateway's requests, prompt and answer
    double peerTokensInFlight = 0; // of the other gateways' requests, as last reported
    peer_figures peerFigures;      // how old peerTokensInFlight is
    duration usualHoldTime{};      // smoothed, of this gateway's requests; zero if unknown
    int peerInFlight = 0;
    // When this gateway last got a response from the endpoint, or an event of any stream that runs
    // through it.
    time_point lastProgressAt{};
    duration usualFirstEventDelay{}; // smoothed, of streams whose first stage runs here
    double slowdown = 1;             // reported step time divided by the usual one

    bool isLost(time_point now) const { return lostUntil > now; }
    // Whether the endpoint is ready and not lost, so that its layers count as held.
    bool isPresent(time_point now) const
    {
        return entry.phase == endpoint_phase_announced::Ready && !isLost(now);
    }
    // Whether requests may be sent to the endpoint now.
    bool isUsable(time_point now) const { return isPresent(now) && suspectUntil <= now; }
};

// Returns a name of the form id@startedAt, which differs between the incarnations of one endpoint.
std::string incarnationName(const endpoint_entry &entry);

using endpoint_ptr = std::shared_ptr<endpoint_record>;

struct suspicion_policy
{
    duration minDuration = std::chrono::milliseconds(500); // doubles with each suspicion
    duration maxDuration = std::chrono::seconds(4);
    // How long an endpoint that does not answer, or refuses, counts as lost before it is tried
    // again. The time doubles with each consecutive loss, because while the store is unavailable
    // the gateway does not learn that an endpoint has left.
    duration minLossDuration = std::chrono::seconds(2);
    duration maxLossDuration = std::chrono::seconds(16);
};

// Not thread-safe. Records are shared pointers, which stay valid after the endpoint was removed.
// Methods that take an id do nothing if the endpoint is unknown; find() returns null.
class endpoint_registry
{
public:
    explicit endpoint_registry(suspicion_policy policy = {});

    // Records the newest announcement of an endpoint and ends its consecutive losses. Ignores one
    // that is older than what is known of the incarnation: a store that was restored from an older
    // copy, or that answers with old data, repeats announcements of endpoints that have left.
    void announce(const endpoint_entry &entry, std::int64_t offset, time_point now);
    // Removes an endpoint that has left or whose announcement has expired.
    void remove(const std::string &id, time_point now);
    // Defers removals until the given time, and drops them if the endpoint is announced again
    // before. Call it when the store is available again after an outage: the endpoints whose
    // announcements expired meanwhile are announced again shortly.
    void deferRemovals(time_point until) { m_removalsFrom = until; }
    // Executes the deferred removals once their time has come. Call it several times per second.
    void applyDeferredRemovals(time_point now);
    // Returns the incarnation names of the endpoints that are draining or have left within the last
    // 10 seconds.
    std::vector<std::string> leaving(time_point now) const;
    // Marks the endpoint as draining, because another gateway knows that it is leaving.
    void markLeaving(const std::string &id);
    // The endpoint itself has stated that it is leaving. Unlike markLeaving(), later announcements
    // of the same incarnation do not undo that. Returns false if the endpoint is unknown or was
    // known to be leaving.
    bool recordStatedLeaving(const std::string &id);
    // Removes the endpoints that are not in ids.
    void retain(const std::vector<std::string> &ids, time_point now);

    // Marks the endpoint as suspect after a call that failed probably because of the endpoint. The
    // time doubles with each consecutive suspicion.
    void suspect(const std::string &id, time_point now);
    // Marks the endpoint as suspect until the given time, without counting a suspicion. Use it for
    // a group of endpoints of which at most one is at fault.
    void suspectBriefly(const std::string &id, time_point now, time_point until);
    // Marks the endpoint as lost, because this gateway saw that it does not answer or refuses.
    void markLost(const std::string &id, time_point now);
    // Marks the endpoint as lost until the given time, because another gateway reported it.
    void markLostByPeer(const std::string &id, time_point until);
    // Ends the suspicions, and the losses found by this gateway, that began at the given time or
    // later, because the links of this gateway were their cause and not the endpoints. Returns the
    // number of losses.
    int withdrawFindings(time_point since);
    // Ends a loss that another gateway reported, because this gateway has contrary evidence.
    void withdrawPeerLoss(const std::string &id);
    // Ends the suspicion after a successful call. It does not end a loss, because an engine that is
    // leaving refuses new requests but still completes the ones that it has.
    void clearSuspicion(const std::string &id);
    // Records the layers that the endpoint itself reported to hold after that number of accepted
    // orders. Ignores a report with fewer orders than the last one. Announcements that arrive
    // shortly afterwards may be older and do not replace these layers.
    void observeLayers(const std::string &id, const std::optional<layer_range> &layers,
                       std::int64_t orders, time_point now);

    // Whether the incarnation with this name, which was known before, is lost, has left or was
    // replaced by a newer one.
    bool isDown(const std::string &incarnation, time_point now) const;

    endpoint_ptr find(const std::string &id) const;
    // Returns null if the endpoint with the id is another incarnation.
    endpoint_ptr findIncarnation(const std::string &incarnation) const;
    endpoint_ptr findByAddress(const std::string &address) const;
    std::vector<endpoint_ptr> all() const;
    std::vector<endpoint_ptr> ofService(const std::string &service) const;
    std::size_t size() const { return m_endpoints.size(); }
    // When an endpoint or a new incarnation of one was last seen for the first time.
    time_point newestSince() const { return m_newestSince; }
    // Increases with each change that can affect which endpoint is chosen.
    std::uint64_t revision() const { return m_revision; }

private:
    struct departure
    {
        time_point at{};
        std::int64_t sequence = 0; // of the last announcement
    };

    bool isOutdated(const endpoint_entry &entry) const;
    void expireDepartures(time_point now);
    void indexAddress(const endpoint_entry &entry);
    void unindexAddress(const endpoint_entry &entry);

    suspicion_policy m_policy;
    std::map<std::string, endpoint_ptr> m_endpoints; // by id
    // Ids by address. A restarted endpoint with another id may take over an address before the
    // earlier one is removed.
    std::unordered_map<std::string, std::set<std::string>> m_idsByAddress;
    std::uint64_t m_revision = 0;
    time_point m_newestSince{};
    time_point m_removalsFrom{};
    std::map<std::string, departure> m_departed; // by incarnation name
};

} // namespace fescuedeck

#endif
