#include "fescuedeck/gateway/gateway_peers.h"

#include <algorithm>
#include <variant>

#include "fescuedeck/base/ids.h"
#include "fescuedeck/gateway/departure_log.h"
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
// Requests rarely leave the domain of their gateway, and links between domains are expensive.
constexpr duration otherDomainDigestInterval = std::chrono::seconds(1);
constexpr duration otherDomainDigestLifetime = std::chrono::seconds(4);
// All gateways register when the deployment starts, so that many records follow each other.
constexpr duration peersReadDelay = std::chrono::milliseconds(500);
// The pauses between the reads of the endpoint table differ between gateways. One that is behind
// for longer waits for an answer that is lost.
constexpr duration maxTableLag = std::chrono::seconds(1);
// Fraction of the fixed retries of a gateway that does not exchange state with others, whose number
// is therefore unknown.
constexpr double unsharedRetryFraction = 1.0 / 8;
// The cell of gateways without a failure domain. Cells have a name on the wire.
constexpr const char *unknownCell = "-";
constexpr duration refreshInterval = std::chrono::milliseconds(100);
// The suspicions of peers are ignored if they name more than one endpoint in this many.
constexpr std::size_t endpointsPerSuspect = 4;
constexpr duration peerSuspicionDuration = std::chrono::milliseconds(500);
// An endpoint that has sent something so recently may do so again. Until then the suspicion of a
// peer does not apply.
constexpr duration activeTime = std::chrono::milliseconds(200);

std::string cellOf(const gateway_settings &settings)
{
    return settings.failureDomain.empty() ? unknownCell : settings.failureDomain;
}

peer_network_settings networkSettings(const gateway_settings &settings,
                                      const std::string &incarnation, const std::string &secret)
{
    peer_network_settings network;
    network.identity.deployment = "gateways";
    network.identity.cell = cellOf(settings);
    network.identity.router = settings.id;
    network.identity.incarnation = incarnation;
    network.secret = secret;
    network.digestInterval = digestInterval;
    network.otherCellDigestInterval = otherDomainDigestInterval;
    return network;
}

} // namespace

gateway_peers::gateway_peers(gateway_context &context, std::string incarnation,
                             gateway_peers_hooks hooks)
    : m_context(context)
    , m_incarnation(std::move(incarnation))
    , m_hooks(std::move(hooks))
    , m_table(context.io, context.adapter.store, store_table::Peers,
              { "peers",
                [this] {
                    return read_pace{ tableWait, peersReadDelay, readsTables() };
                } },
              tableHooks(), context.random)
    , m_cell(cellOf(context.settings))
    , m_ownDomain(digestLifetime)
    , m_relay(context.settings.id, m_ownDomain, context.counters,
              [this](const std::vector<std::string> &routers, const table_records &message) {
                  if (m_network)
                      m_network->send(routers, message);
              })
    , m_lending(context.retryBudget, lendingHooks())
    , m_configs(context.random, context.settings.linkRate, configHooks())
{
    m_relay.add(store_table::Peers, m_table);
    m_context.borrowRetries
            = [this](const std::string &service) { return m_lending.borrow(service, steadyNow()); };
}

config_exchange_hooks gateway_peers::configHooks()
{
    config_exchange_hooks hooks;
    hooks.send = [this](const std::string &peer, const peer_message &message) {
        if (m_network)
            m_network->send(peer, message);
    };
    hooks.currentVersion = [this]() -> std::int64_t {
        return m_context.config ? m_context.config->config().version : 0;
    };
    hooks.onConfig = m_hooks.onConfig;
    hooks.onBehind = m_hooks.onConfigBehind;
    return hooks;
}

retry_lending_hooks gateway_peers::lendingHooks()
{
    retry_lending_hooks hooks;
    hooks.send = [this](const std::string &peer, const peer_message &message) {
        const bool isLoan = std::holds_alternative<retry_loan>(message);
        m_context.counters
                .counterOf("fescuedeck_retry_lending_total",
                           { { "message", isLoan ? "lent" : "requested" } })
                .add();
        if (m_network)
            m_network->send(peer, message);
    };
    hooks.reserved = [this](const std::string &service) {
        const auto found = m_context.reservedRetries.find(service);
        return found == m_context.reservedRetries.end() ? 0 : found->second;
    };
    return hooks;
}

table_follower_hooks gateway_peers::tableHooks()
{
    table_follower_hooks hooks;
    hooks.onRecord = [this](const store_record &record) { onPeerRecord(record); };
    hooks.onWholeTableRead = [this](const std::vector<std::string> &keys) {
        openNetwork();
        if (m_isRegistering || isRegistered(keys))
            return;
        m_isRegistering = true;
        // This gateway is new, or the store was restored from a copy that is older than it.
        boost::asio::spawn(m_context.io,
                           [this](boost::asio::yield_context yield) { registerWithStore(yield); });
    };
    hooks.onPage = [this](const applied_page &page) { onTablePage(store_table::Peers, page); };
    return hooks;
}

// Whether the table has what registerWithStore() writes. A gateway that restarts at its address
// writes nothing, because each record wakes the readers of all failure domains.
bool gateway_peers::isRegistered(const std::vector<std::string> &keys) const
{
    const auto isListed = [&keys](const std::string &key) {
        return std::find(keys.begin(), keys.end(), key) != keys.end();
    };
    const gateway_settings &settings = m_context.settings;
    const auto own = m_locations.find(settings.id);
    return isListed(secretKey) && isListed(settings.id) && own != m_locations.end()
           && own->second.address == settings.peersAddress
           && own->second.failureDomain == settings.failureDomain;
}

void gateway_peers::onTablePage(store_table table, const applied_page &page)
{
    m_relay.onPage(table, page, steadyNow());
}

void gateway_peers::start()
{
    if (m_context.settings.peersAddress.empty()) {
        m_context.retryBudget.setDueFraction(unsharedRetryFraction, steadyNow());
        return;
    }
    m_table.start();
    boost::asio::spawn(m_context.io,
                       [this](boost::asio::yield_context yield) { runRefreshLoop(yield); });
}

void gateway_peers::stop()
{
    if (m_network)
        m_network->stop();
}

// Writes this gateway's address, and the shared secret if the table has none. If several gateways
// start at the same time, the store accepts only the first secret. A secret that is known already
// is kept, because the connections between gateways use it.
void gateway_peers::registerWithStore(boost::asio::yield_context yield)
{
    const store_write secret{ store_table::Peers, secretKey,
                              m_secret.empty() ? randomHex(secretBytes, m_context.random)
                                               : m_secret,
                              true };
    // The store usually refuses this write, because there already is a secret.
    m_context.adapter.store.write(secret, storeTimeout, yield);
    const store_write own{
        store_table::Peers, m_context.settings.id,
        toText({ m_context.settings.peersAddress, m_context.settings.failureDomain }), false
    };
    auto error = m_context.adapter.store.write(own, storeTimeout, yield);
    while (error) {
        event_line("introduction_failed", event_level::Warning).field("detail", error->detail);
        sleepFor(registrationRetryInterval, yield);
        m_context.adapter.store.write(secret, storeTimeout, yield);
        error = m_context.adapter.store.write(own, storeTimeout, yield);
    }
    m_isRegistering = false;
}

void gateway_peers::onPeerRecord(const store_record &record)
{
    if (record.key == secretKey) {
        m_secret = record.value;
        m_context.peerSecret = m_secret;
        return;
    }
    if (record.isRemoval)
        m_locations.erase(record.key);
    else
        m_locations[record.key] = parseLocation(record.value);
    openNetwork();
}

void gateway_peers::openNetwork()
{
    if (m_secret.empty())
        return;
    if (!m_network) {
        peer_network_hooks hooks;
        hooks.currentDigest = [this](const std::string &cell) { return currentDigest(cell); };
        hooks.onPeerUp
                = [](const peer_hello &peer) { event_line("peer_up").field("peer", peer.router); };
        hooks.onPeerDown = [this](const peer_hello &peer) {
            m_context.relays.avoid(peer.router, steadyNow());
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
    m_network->setPeers(
            choosePeers(m_context.settings.id, m_context.settings.failureDomain, m_locations));
}

// What the gateways of a domain tell those of another one is never passed on to a third.
peer_digest gateway_peers::currentDigest(const std::string &cell) const
{
    peer_digest digest = ownDigest();
    if (cell == m_cell) {
        digest.tables = m_relay.report();
        return digest;
    }
    const peer_view domain = m_ownDomain.merged(steadyNow());
    for (const auto &[endpoint, tokens] : domain.inFlight)
        digest.inFlight[endpoint] += tokens;
    for (auto &[incarnation, report] : digest.limits) {
        const auto demand = domain.limitedDemand.find(incarnation);
        report.demand += demand == domain.limitedDemand.end() ? 0 : demand->second;
    }
    for (const auto &[key, work] : domain.waiting)
        digest.waiting[key] += work;
    digest.suspects.insert(domain.suspects.begin(), domain.suspects.end());
    return digest;
}

peer_digest gateway_peers::ownDigest() const
{
    peer_digest digest;
    const time_point now = steadyNow();
    digest.version = m_context.config ? m_context.config->config().version : 0;
    digest.offset = m_hooks.endpointOffset ? m_hooks.endpointOffset() : 0;
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
    digest.quarantines = m_context.crashes.toTell(now);
    for (const auto &[key, remaining] : digest.quarantines)
        digest.quarantined.insert(key); // for gateways of an earlier version
    digest.crashes = m_context.crashes.reports(now);
    digest.limits = m_context.requestLimits.reports(now);
    digest.waiting = m_context.admission.waiting();
    digest.relayAddress = m_context.settings.relayAddress;
    const bool reachesEndpoints
            = m_context.config && m_context.endpoints.size() > 0 && !m_context.isIsolated();
    digest.reachesEndpoints = reachesEndpoints && !m_context.isStopping;
    digest.isLastResort
            = reachesEndpoints && m_context.isStopping && now < m_context.acceptsRelaysUntil;
    digest.retryOffers = m_lending.offers(now);
    return digest;
}

void gateway_peers::onMessage(const peer_hello &peer, const peer_message &message)
{
    if (const auto *digest = std::get_if<peer_digest>(&message)) {
        for (const auto &[key, remaining] : digest->quarantines)
            m_context.crashes.apply(key, remaining, steadyNow());
        m_context.crashes.merge(digest->crashes, steadyNow());
        m_context.requestLimits.merge(digest->limits, steadyNow());
        const bool isNear = peer.cell == m_cell;
        m_context.relays.setOffer(
                peer.router,
                { digest->relayAddress, peer.cell, digest->reachesEndpoints, digest->isLastResort },
                steadyNow() + (isNear ? digestLifetime : otherDomainDigestLifetime));
        m_lending.recordOffers(peer.router, digest->retryOffers,
                               steadyNow() + (isNear ? digestLifetime : otherDomainDigestLifetime));
        if (isNear) {
            m_ownDomain.onDigest(peer.router, *digest, steadyNow());
        } else {
            m_otherDomains.try_emplace(peer.cell, otherDomainDigestLifetime)
                    .first->second.onDigest(peer.router, *digest, steadyNow());
        }
    } else if (const auto *request = std::get_if<bundle_request>(&message)) {
        m_configs.onRequest(peer.router, *request, steadyNow());
    } else if (const auto *state = std::get_if<bundle_state>(&message)) {
        m_configs.onState(*state);
    } else if (const auto *wanted = std::get_if<retry_request>(&message)) {
        m_lending.onRequest(peer.router, *wanted, steadyNow());
    } else if (const auto *loan = std::get_if<retry_loan>(&message)) {
        m_lending.onLoan(*loan, steadyNow());
    } else if (const auto *records = std::get_if<table_records>(&message)) {
        if (peer.cell == m_cell)
            m_relay.receive(*records);
    }
}

void gateway_peers::runRefreshLoop(boost::asio::yield_context yield)
{
    while (true) {
        sleepFor(refreshInterval, yield);
        // The state of a peer does not expire while its next message may wait to be handled.
        applyPeerView(m_context.inputHandledUntil());
    }
}

peer_view gateway_peers::mergedView(time_point now) const
{
    peer_view view = m_ownDomain.merged(now);
    for (const auto &[cell, directory] : m_otherDomains) {
        const peer_view other = directory.mergedSummaries(now);
        addLoads(view, other);
        for (const auto &[incarnation, demand] : other.limitedDemand)
            view.limitedDemand[incarnation] += demand;
        for (const auto &[key, work] : other.waiting)
            view.waiting[key] += work;
        view.suspects.insert(other.suspects.begin(), other.suspects.end());
        view.leaving.insert(other.leaving.begin(), other.leaving.end());
    }
    return view;
}

void gateway_peers::applyPeerView(time_point now)
{
    m_ownDomain.expire(now);
    m_context.relays.expire(now);
    for (auto &[cell, directory] : m_otherDomains)
        directory.expire(now);
    const peer_view view = mergedView(now);
    for (const endpoint_ptr &endpoint : m_context.endpoints.all()) {
        const auto load = view.inFlight.find(endpoint->entry.id);
        const double tokens = load == view.inFlight.end() ? 0 : load->second;
        std::optional<time_point> figuresAt;
        if (const auto age = ageOfFigures(view, endpoint->entry.id))
            figuresAt = now - *age;
        recordFigures(endpoint->peerFigures, endpoint->peerTokensInFlight, tokens, figuresAt);
        endpoint->peerTokensInFlight = tokens;
    }
    m_context.domainPeers = static_cast<int>(m_ownDomain.livePeers(now).size());
    m_context.admission.setPeersWaiting(view.waiting);
    m_context.admission.onRoomChanged();
    m_context.requestLimits.setPeerDemand(view.limitedDemand);
    applyPeerDepartures(view.leaving, now);
    updateDueRetries();
    applyPeerSuspicions(view.suspects, now);
    m_configs.update(m_ownDomain, m_otherDomains, now);
    checkEndpointOffset(now);
    if (m_network && m_relay.update(now))
        announceChange();
}

// Marks endpoints as leaving that leave according to peers which know the endpoint table better:
// any peer while the store cannot be read, else those that have read further. Others may still
// report a departure that a later announcement has undone.
void gateway_peers::applyPeerDepartures(const std::set<std::string> &reported, time_point now)
{
    std::set<std::string> leaving;
    if (m_context.isEndpointTableUnavailable) {
        leaving = reported;
    } else if (m_hooks.endpointOffset) {
        const std::int64_t offset = m_hooks.endpointOffset();
        m_ownDomain.addLeavingBeyond(offset, now, leaving);
        for (const auto &[cell, directory] : m_otherDomains)
            directory.addLeavingBeyond(offset, now, leaving);
    }
    if (leaving.empty())
        return;
    for (const endpoint_ptr &endpoint : m_context.endpoints.all()) {
        const bool isReady = endpoint->entry.phase == endpoint_phase_announced::Ready;
        if (!isReady || leaving.count(incarnationName(endpoint->entry)) == 0)
            continue;
        m_context.endpoints.markLeaving(endpoint->entry.id);
        logDeparture(m_context.counters, endpoint->entry.id, departure_source::Digest);
    }
}

void gateway_peers::checkEndpointOffset(time_point now)
{
    if (!m_hooks.endpointOffset || !m_hooks.onEndpointTableBehind)
        return;
    std::int64_t greatest = m_ownDomain.greatestOffset(now);
    for (const auto &[cell, directory] : m_otherDomains)
        greatest = std::max(greatest, directory.greatestOffset(now));
    if (m_hooks.endpointOffset() >= greatest) {
        m_behindSince = {};
        return;
    }
    if (m_behindSince == time_point{})
        m_behindSince = now;
    if (now - m_behindSince < maxTableLag)
        return;
    m_behindSince = now;
    m_hooks.onEndpointTableBehind();
}

void gateway_peers::updateDueRetries()
{
    const bool isInTable = m_locations.count(m_context.settings.id) > 0;
    m_context.retryBudget.setDueFraction(fixedRetriesFraction(isInTable, knownGateways()),
                                         steadyNow());
}

bool gateway_peers::isAmongFirst(int count, time_point now) const
{
    int before = 0;
    for (const std::string &host : m_ownDomain.livePeers(now))
        before += host < m_context.settings.id ? 1 : 0;
    return before < count;
}

void gateway_peers::updateSuspectedSince(const std::set<std::string> &suspects, time_point now)
{
    for (auto it = m_suspectedSince.begin(); it != m_suspectedSince.end();)
        it = suspects.count(it->first) == 0 ? m_suspectedSince.erase(it) : std::next(it);
    for (const std::string &id : suspects)
        m_suspectedSince.try_emplace(id, now);
}

// Marks engines as lost that peers have found lost themselves. A gateway that is cut off from the
// engines reports most of them, so a large number of suspects is ignored. So is a suspicion of an
// endpoint that has sent something to this gateway meanwhile.
void gateway_peers::applyPeerSuspicions(const std::set<std::string> &suspects, time_point now)
{
    updateSuspectedSince(suspects, now);
    const std::size_t limit = m_context.endpoints.size() / endpointsPerSuspect;
    if (suspects.size() > limit)
        return;
    for (const std::string &id : suspects) {
        const endpoint_ptr endpoint = m_context.endpoints.find(id);
        if (!endpoint)
            continue;
        const time_point progressAt = endpoint->lastProgressAt;
        const bool isContradicted = progressAt > m_suspectedSince[id];
        const bool isActive = progressAt != time_point{} && now - progressAt < activeTime;
        if (isContradicted)
            m_context.endpoints.withdrawPeerLoss(id);
        else if (!isActive && !endpoint->isLost(now))
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
    std::size_t live = m_ownDomain.livePeers(now).size();
    for (const auto &[cell, directory] : m_otherDomains)
        live += directory.livePeers(now).size();
    return static_cast<int>(live);
}

} // namespace fescuedeck
