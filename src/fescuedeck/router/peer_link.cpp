#include "fescuedeck/router/peer_link.h"

#include <algorithm>
#include <utility>

#include "fescuedeck/control/control_record.h"
#include "fescuedeck/telemetry/log_setup.h"

namespace fescuedeck {
namespace {

// How long this router waits for a claimant's answer before it treats the outcome as unknown.
constexpr duration outcomeTimeout = std::chrono::milliseconds(500);
constexpr duration refreshInterval = std::chrono::milliseconds(250);
// Minimum time between two requests for the control state to the same peer.
constexpr duration stateRequestInterval = std::chrono::seconds(1);
// If the log has not answered for longer than this, a peer that has read further is asked for its
// control state.
constexpr duration logStallLimit = std::chrono::seconds(2);

// Name of one incarnation of a peer, in the same form as in claim records.
std::string nameOfPeer(const std::string &router, const std::string &incarnation)
{
    return router + "/" + incarnation;
}

// Router id in a name that nameOfPeer returned.
std::string routerOf(const std::string &name)
{
    return name.substr(0, name.rfind('/'));
}

peer_network_settings networkSettings(const router_context &context)
{
    peer_network_settings settings;
    settings.identity.deployment = context.settings.deployment;
    settings.identity.cell = std::to_string(context.settings.cell);
    settings.identity.router = context.settings.routerId;
    settings.identity.incarnation = context.incarnation;
    settings.secret = context.settings.peers.secret;
    settings.digestInterval = context.settings.peers.digestInterval;
    settings.silenceLimit = context.settings.peers.digestExpiry;
    return settings;
}

outcome_reply toReply(const std::string &key, const std::optional<peer_outcome> &outcome)
{
    outcome_reply reply;
    reply.key = key;
    if (!outcome || outcome->status == peer_call_status::Unknown)
        return reply;
    if (outcome->status == peer_call_status::InProgress) {
        reply.status = outcome_status::InProgress;
        return reply;
    }
    reply.status = outcome_status::Completed;
    if (outcome->answer)
        reply.answer = outcome_answer{ outcome->answer->status, outcome->answer->contentType,
                                       outcome->answer->body.value_or("") };
    return reply;
}

std::optional<peer_outcome> fromReply(const outcome_reply &reply)
{
    if (reply.status == outcome_status::InProgress)
        return peer_outcome{ peer_call_status::InProgress, std::nullopt };
    if (reply.status != outcome_status::Completed || !reply.answer)
        return std::nullopt;
    const stored_answer answer{ reply.answer->status, reply.answer->contentType,
                                reply.answer->body };
    return peer_outcome{ peer_call_status::Completed, answer };
}

} // namespace

peer_link::peer_link(router_context &context, control_follower &control, keyed_calls &calls)
    : m_context(context)
    , m_control(control)
    , m_calls(calls)
    , m_tables(lock_rank::Peers, context.settings.peers.digestExpiry)
    , m_network(context.io, networkSettings(context),
                { [this](const std::string &) { return currentDigest(); },
                  [this](const peer_hello &peer) { peerUp(peer); },
                  [this](const peer_hello &peer) { peerDown(peer); },
                  [this](const peer_hello &peer, const peer_message &message) {
                      receive(peer, message);
                  },
                  [this](const failure &) {
                      m_context.counters.counterOf("fescuedeck_peer_refusals_total").add();
                  } },
                context.randomFn())
{
    setSuspectHooks();
    calls.setAskClaimant(
            [this](const std::string &claimant, const std::string &key,
                   boost::asio::yield_context yield) { return askClaimant(claimant, key, yield); });
}

std::error_code peer_link::start()
{
    m_network.setPeers(m_context.settings.peers.addresses);
    const std::error_code error = m_network.start(m_context.settings.peers.address);
    if (!error)
        boost::asio::spawn(m_context.io,
                           [this](boost::asio::yield_context yield) { refresh(yield); });
    return error;
}

peer_digest peer_link::currentDigest() const
{
    peer_digest digest;
    m_context.control.with([&](const control_tables &tables) {
        digest.version = tables.state.acceptedVersion();
        digest.hash = tables.state.acceptedHash();
        digest.offset = tables.state.nextOffset();
        digest.drained = tables.pendingDrains;
    });
    m_context.fleet.with([&](const fleet_tables &tables) {
        digest.inFlight = tables.state.ownInFlight();
        for (const endpoint_phase phase : { endpoint_phase::Suspect, endpoint_phase::Ejected }) {
            for (const std::string &id : tables.state.withPhase(phase))
                digest.suspects.insert(id);
        }
        for (const std::string &id : tables.state.withPhase(endpoint_phase::Leaving))
            digest.leaving.insert(id + "@" + tables.state.find(id)->incarnation());
    });
    for (const quarantine_entry &entry : m_context.suspects.quarantined())
        digest.quarantined.insert(entry.fingerprint);
    return digest;
}

void peer_link::peerUp(const peer_hello &peer)
{
    logInfo("peers", "router " + peer.router + " is connected");
    m_context.lastPeerContact = steadyNow();
    m_tables.with([&](tables &peers) { peers.incarnations[peer.router] = peer.incarnation; });
    const auto evidence = m_context.suspects.evidence();
    if (!evidence.empty())
        m_network.send(peer.router, announce_evidence{ evidence });
}

void peer_link::peerDown(const peer_hello &peer)
{
    logInfo("peers", "router " + peer.router + " is disconnected");
    m_tables.with([&](tables &peers) {
        const auto entry = peers.incarnations.find(peer.router);
        if (entry != peers.incarnations.end() && entry->second == peer.incarnation)
            peers.incarnations.erase(entry);
    });
}

void peer_link::receive(const peer_hello &peer, const peer_message &message)
{
    m_context.lastPeerContact = steadyNow();
    const std::string name = nameOfPeer(peer.router, peer.incarnation);
    suspect_coordinator &suspects = m_context.suspects;
    if (const auto *digest = std::get_if<peer_digest>(&message))
        receiveDigest(peer.router, *digest);
    else if (std::holds_alternative<bundle_request>(message))
        sendState(peer.router);
    else if (const auto *state = std::get_if<bundle_state>(&message))
        m_control.adopt(state->checkpoint);
    else if (const auto *request = std::get_if<outcome_request>(&message))
        sendOutcome(peer.router, request->key);
    else if (const auto *reply = std::get_if<outcome_reply>(&message))
        receiveOutcome(*reply);
    else if (const auto *evidence = std::get_if<announce_evidence>(&message))
        suspects.receivedEvidence(evidence->evidence);
    else if (const auto *ask = std::get_if<request_exclusive_run>(&message))
        suspects.receivedReservationRequest(name, *ask);
    else if (const auto *answer = std::get_if<exclusive_run_reply>(&message))
        suspects.receivedReservationReply(name, *answer);
    else if (const auto *started = std::get_if<announce_exclusive_run>(&message))
        suspects.receivedExclusiveRunStart(name, *started);
    else if (const auto *release = std::get_if<release_exclusive_run>(&message))
        suspects.receivedReservationRelease(name, *release);
}

void peer_link::receiveDigest(const std::string &router, const peer_digest &digest)
{
    const time_point now = steadyNow();
    m_tables.with([&](tables &peers) { peers.directory.onDigest(router, digest, now); });
    m_context.fleet.with([&](fleet_tables &tables) {
        tables.state.setPeerInFlight(router, digest.inFlight, now);
        for (const std::string &id : digest.suspects)
            tables.state.peerSuspects(id, now);
        for (const std::string &entry : digest.leaving) {
            const std::size_t at = entry.rfind('@');
            if (at != std::string::npos && at + 1 < entry.size())
                tables.state.peerSawLeaving(entry.substr(0, at), entry.substr(at + 1), now);
        }
    });
    for (const std::string &fingerprint : digest.quarantined) {
        if (!m_context.suspects.isQuarantined(fingerprint))
            m_context.suspects.receivedQuarantine({ fingerprint, wallNow() });
    }
    if (!digest.drained.empty())
        refreshOnce();
    requestStateIfBehind(router, digest);
}

void peer_link::requestStateIfBehind(const std::string &router, const peer_digest &digest)
{
    const time_point now = steadyNow();
    const bool isBehind = m_context.control.with([&](const control_tables &tables) {
        const bool isLogStalled = now - tables.lastLogContact > logStallLimit;
        return digest.version > tables.state.acceptedVersion()
               || (isLogStalled && digest.offset > tables.state.nextOffset());
    });
    if (!isBehind)
        return;
    const bool mayAsk = m_tables.with([&](tables &peers) {
        time_point &last = peers.stateRequests[router];
        if (now - last < stateRequestInterval)
            return false;
        last = now;
        return true;
    });
    if (mayAsk)
        m_network.send(router, bundle_request{ digest.version });
}

void peer_link::sendState(const std::string &router)
{
    const std::string checkpoint = m_context.control.with([](const control_tables &tables) {
        return tables.index ? tables.state.checkpoint() : std::string();
    });
    if (!checkpoint.empty())
        m_network.send(router, bundle_state{ checkpoint });
}

void peer_link::sendOutcome(const std::string &router, const std::string &key)
{
    m_network.send(router, toReply(key, m_calls.outcomeOf(key)));
}

void peer_link::receiveOutcome(const outcome_reply &reply)
{
    m_tables.with([&](tables &peers) {
        for (const outcome_waiter &waiter : peers.waiters) {
            if (waiter.key != reply.key)
                continue;
            peers.replies[reply.key] = reply;
            waiter.event.set();
        }
    });
}

std::optional<peer_outcome> peer_link::askClaimant(const std::string &claimant,
                                                   const std::string &key,
                                                   boost::asio::yield_context yield)
{
    const std::string router = routerOf(claimant);
    const wait_event replied(yield);
    const bool isUp = m_tables.with([&](tables &peers) {
        const auto entry = peers.incarnations.find(router);
        // A claimant that has restarted no longer knows its calls. Only the log may still have
        // them.
        if (entry == peers.incarnations.end() || nameOfPeer(router, entry->second) != claimant)
            return false;
        peers.waiters.push_back({ key, replied });
        return true;
    });
    if (!isUp)
        return std::nullopt;
    m_network.send(router, outcome_request{ key });
    const bool hasReply = replied.waitUntil(steadyNow() + outcomeTimeout, yield);
    return m_tables.with([&](tables &peers) -> std::optional<peer_outcome> {
        auto &waiters = peers.waiters;
        const auto own = std::find_if(waiters.begin(), waiters.end(),
                                      [&](const outcome_waiter &each) { return each.key == key; });
        if (own != waiters.end())
            waiters.erase(own);
        const auto reply = peers.replies.find(key);
        if (!hasReply || reply == peers.replies.end())
            return std::nullopt;
        const auto outcome = fromReply(reply->second);
        const bool isAwaited
                = std::any_of(waiters.begin(), waiters.end(),
                              [&](const outcome_waiter &each) { return each.key == key; });
        if (!isAwaited)
            peers.replies.erase(reply);
        return outcome;
    });
}

void peer_link::setSuspectHooks()
{
    suspect_hooks hooks;
    hooks.announceEvidence
            = [this](const announce_evidence &message) { m_network.broadcast(message); };
    hooks.requestReservation
            = [this](const request_exclusive_run &message) { m_network.broadcast(message); };
    hooks.replyToReservation = [this](const exclusive_run_reply &message) {
        m_network.send(routerOf(message.peer), message);
    };
    hooks.announceExclusiveRun
            = [this](const announce_exclusive_run &message) { m_network.broadcast(message); };
    hooks.releaseReservation
            = [this](const release_exclusive_run &message) { m_network.broadcast(message); };
    hooks.publishQuarantine = [this](const publish_quarantine &message) {
        logWarning("peers", "request " + message.fingerprint + " is quarantined after "
                                    + std::to_string(message.crashes) + " crashes");
        m_control.append(recordBody(request_quarantined{ message.fingerprint, message.crashes }));
        m_network.digestChanged();
    };
    m_context.suspects.setHooks(std::move(hooks));
}

std::vector<std::string> peer_link::livePeers() const
{
    return m_tables.with(
            [](const tables &peers) { return peers.directory.livePeers(steadyNow()); });
}

void peer_link::refresh(boost::asio::yield_context yield)
{
    for (;;) {
        refreshOnce();
        sleepFor(refreshInterval, yield);
    }
}

void peer_link::refreshOnce()
{
    struct peer_changes
    {
        std::set<std::string> names, drained, lost;
    };
    const time_point now = steadyNow();
    const peer_changes changes = m_tables.with([&](tables &peers) {
        peer_changes found;
        peers.directory.expire(now);
        found.drained = peers.directory.merged(now).drained;
        std::set<std::string> live;
        for (const std::string &router : peers.directory.livePeers(now)) {
            live.insert(router);
            const auto incarnation = peers.incarnations.find(router);
            if (incarnation != peers.incarnations.end())
                found.names.insert(nameOfPeer(router, incarnation->second));
        }
        std::set_difference(peers.live.begin(), peers.live.end(), live.begin(), live.end(),
                            std::inserter(found.lost, found.lost.end()));
        peers.live = std::move(live);
        return found;
    });
    m_context.fleet.with([&](fleet_tables &tables) {
        for (const std::string &router : changes.lost)
            tables.state.peerLost(router, now);
    });
    m_context.suspects.peersChanged(changes.names);
    m_control.setPeerDrains(changes.drained);
}

} // namespace fescuedeck
