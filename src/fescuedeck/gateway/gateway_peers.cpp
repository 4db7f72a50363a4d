#include "fescuedeck/gateway/gateway_peers.h"

#include <algorithm>
#include <variant>

#include "fescuedeck/base/ids.h"
#include "fescuedeck/router/wait_event.h"
#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {
namespace {

// The key of the shared secret in the table of peers. No host can have this name.
constexpr const char *secretKey = "#secret";
constexpr int secretBytes = 24;
constexpr duration storeTimeout = std::chrono::seconds(2);
constexpr duration registrationRetryInterval = std::chrono::milliseconds(700);
constexpr duration tableWait = std::chrono::seconds(20);
// The load that peers report decides which failure domain gets a request, so it must be recent.
constexpr duration digestInterval = std::chrono::milliseconds(300);
constexpr duration digestLifetime = std::chrono::milliseconds(1500);
constexpr duration refreshInterval = std::chrono::milliseconds(100);
// The suspicions of peers are ignored if they name more than one endpoint in this many.
constexpr std::size_t endpointsPerSuspect = 4;
constexpr duration peerSuspicionDuration = std::chrono::milliseconds(500);
constexpr duration configRequestInterval = std::chrono::milliseconds(300);

peer_network_settings networkSettings(const gateway_settings &settings,
                                      const std::string &incarnation, const std::string &secret)
{
    peer_network_settings network;
    network.identity.deployment = "gateways";
    network.identity.cell = "0";
    network.identity.router = settings.id;
    network.identity.incarnation = incarnation;
    network.secret = secret;
    network.digestInterval = digestInterval;
    return network;
}

} // namespace

gateway_peers::gateway_peers(gateway_context &context, std::string incarnation,
                             gateway_peers_hooks hooks)
    : m_context(context)
    , m_incarnation(std::move(incarnation))
    , m_hooks(std::move(hooks))
    , m_table(context.io, context.adapter.store, store_table::Peers, { "peers", tableWait, {} },
              { [this](const store_record &record) { onPeerRecord(record); },
                [this](const std::vector<std::string> &) { openNetwork(); },
                {} },
              context.random)
    , m_directory(digestLifetime)
{
}

void gateway_peers::start()
{
    if (m_context.settings.peersAddress.empty())
        return;
    boost::asio::spawn(m_context.io,
                       [this](boost::asio::yield_context yield) { registerWithStore(yield); });
    boost::asio::spawn(m_context.io,
                       [this](boost::asio::yield_context yield) { runRefreshLoop(yield); });
}

void gateway_peers::stop()
{
    if (m_network)
        m_network->stop();
}

// Writes this gateway's address, and the shared secret if the table has none. If several gateways
// start at the same time, the store accepts only the first secret.
void gateway_peers::registerWithStore(boost::asio::yield_context yield)
{
    const store_write secret{ store_table::Peers, secretKey,
                              randomHex(secretBytes, m_context.random), true };
    // The store usually refuses this write, because there already is a secret.
    m_context.adapter.store.write(secret, storeTimeout, yield);
    const store_write own{ store_table::Peers, m_context.settings.id,
                           m_context.settings.peersAddress, false };
    auto error = m_context.adapter.store.write(own, storeTimeout, yield);
    while (error) {
        event_line("introduction_failed", event_level::Warning).field("detail", error->detail);
        sleepFor(registrationRetryInterval, yield);
        m_context.adapter.store.write(secret, storeTimeout, yield);
        error = m_context.adapter.store.write(own, storeTimeout, yield);
    }
    m_table.start();
}

void gateway_peers::onPeerRecord(const store_record &record)
{
    if (record.key == secretKey) {
        m_secret = record.value;
        return;
    }
    if (record.isRemoval)
        m_addresses.erase(record.key);
    else
        m_addresses[record.key] = record.value;
    openNetwork();
}

void gateway_peers::openNetwork()
{
    if (m_secret.empty())
        return;
    if (!m_network) {
        peer_network_hooks hooks;
        hooks.currentDigest = [this] { return currentDigest(); };
        hooks.onPeerUp
                = [](const peer_hello &peer) { event_line("peer_up").field("peer", peer.router); };
        hooks.onPeerDown = [](const peer_hello &peer) {
            event_line("peer_down", event_level::Warning).field("peer", peer.router);
        };
        hooks.onMessage = [this](const peer_hello &peer, const peer_message &message) {
            onMessage(peer, message);
        };
        hooks.onRefusal = [](const failure &error) {
            event_line("peer_refused", event_level::Warning).field("detail", error.detail);
        };
        m_network = std::make_unique<peer_network>(
                m_context.io, networkSettings(m_context.settings, m_incarnation, m_secret),
                std::move(hooks), m_context.random);
        const std::error_code error = m_network->start(m_context.settings.peersAddress);
        if (error) {
            event_line("cannot_listen", event_level::Error)
                    .field("interface", "peers")
                    .field("address", m_context.settings.peersAddress)
                    .field("detail", error.message());
        }
    }
    std::vector<std::string> addresses;
    for (const auto &[host, address] : m_addresses) {
        if (host != m_context.settings.id)
            addresses.push_back(address);
    }
    m_network->setPeers(addresses);
}

peer_digest gateway_peers::currentDigest() const
{
    peer_digest digest;
    const time_point now = steadyNow();
    digest.version = m_context.config ? m_context.config->config().version : 0;
    for (const endpoint_ptr &endpoint : m_context.endpoints.all()) {
        // A loss that only peers have reported is not passed on. Otherwise gateways would keep
        // confirming it to each other, and it would never expire.
        if (endpoint->isLost(now) && endpoint->lossSource == loss_source::Own)
            digest.suspects.insert(endpoint->entry.id);
        if (endpoint->tokensInFlight > 0)
            digest.inFlight[endpoint->entry.id] = endpoint->tokensInFlight;
    }
    const auto leaving = m_context.endpoints.leaving(now);
    digest.leaving.insert(leaving.begin(), leaving.end());
    const auto quarantined = m_context.crashes.quarantined();
    digest.quarantined.insert(quarantined.begin(), quarantined.end());
    return digest;
}

void gateway_peers::onMessage(const peer_hello &peer, const peer_message &message)
{
    if (const auto *digest = std::get_if<peer_digest>(&message)) {
        for (const std::string &fingerprint : digest->quarantined)
            m_context.crashes.quarantine(fingerprint, steadyNow());
        m_directory.onDigest(peer.router, *digest, steadyNow());
    } else if (const auto *request = std::get_if<bundle_request>(&message)) {
        const std::int64_t version = m_context.config ? m_context.config->config().version : 0;
        if (version >= request->version && !m_configText.empty())
            m_network->send(peer.router, bundle_state{ m_configText });
    } else if (const auto *state = std::get_if<bundle_state>(&message)) {
        m_hooks.onConfig(state->checkpoint);
    }
}

void gateway_peers::runRefreshLoop(boost::asio::yield_context yield)
{
    while (true) {
        sleepFor(refreshInterval, yield);
        applyPeerView(steadyNow());
    }
}

void gateway_peers::applyPeerView(time_point now)
{
    m_directory.expire(now);
    const peer_view view = m_directory.merged(now);
    for (const endpoint_ptr &endpoint : m_context.endpoints.all()) {
        const auto load = view.inFlight.find(endpoint->entry.id);
        endpoint->peerTokensInFlight = load == view.inFlight.end() ? 0 : load->second;
        const bool isLeaving = view.leaving.count(incarnationName(endpoint->entry)) > 0;
        if (isLeaving && m_context.isEndpointTableUnavailable)
            m_context.endpoints.markLeaving(endpoint->entry.id);
    }
    updateRetryBudgetShare(view, now);
    applyPeerSuspicions(view.suspects, now);
    const std::int64_t version = m_context.config ? m_context.config->config().version : 0;
    const auto newer = m_directory.newerBundle(version, now);
    if (newer && m_network && now - m_lastConfigRequest >= configRequestInterval) {
        m_lastConfigRequest = now;
        m_network->send(newer->router, bundle_request{ newer->version });
    }
}

void gateway_peers::updateRetryBudgetShare(const peer_view &view, time_point now)
{
    if (m_addresses.empty())
        return;
    retry_sharing_state sharing;
    for (const endpoint_ptr &endpoint : m_context.endpoints.all())
        sharing.ownLoad += endpoint->tokensInFlight;
    for (const auto &[endpoint, tokens] : view.inFlight)
        sharing.peerLoad += tokens;
    sharing.livePeers = livePeers(now);
    sharing.knownGateways = static_cast<int>(m_addresses.size());
    m_context.retryBudget.adjustFraction(sharedBudgetFraction(sharing), refreshInterval);
}

// Marks engines as lost that peers have found lost themselves. A gateway that is cut off from the
// engines reports most of them, so a large number of suspects is ignored.
void gateway_peers::applyPeerSuspicions(const std::set<std::string> &suspects, time_point now)
{
    const std::size_t limit = m_context.endpoints.size() / endpointsPerSuspect;
    if (suspects.size() > limit)
        return;
    for (const std::string &id : suspects) {
        const endpoint_ptr endpoint = m_context.endpoints.find(id);
        if (endpoint && !endpoint->isLost(now))
            m_context.endpoints.markLostByPeer(id, now + peerSuspicionDuration);
    }
}

void gateway_peers::announceChange()
{
    if (m_network)
        m_network->digestChanged();
}

int gateway_peers::livePeers(time_point now) const
{
    return static_cast<int>(m_directory.livePeers(now).size());
}

} // namespace fescuedeck
