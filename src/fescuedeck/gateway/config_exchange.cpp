#include "fescuedeck/gateway/config_exchange.h"

#include <algorithm>
#include <utility>

namespace fescuedeck {
namespace {

// A text usually arrives within 0.2 s. After this time the gateway reads the store, within the
// limit for the application of a configuration (3 s).
constexpr duration maxLag = std::chrono::milliseconds(1500);
constexpr duration unusableConfigInterval = std::chrono::seconds(20);

} // namespace

config_exchange::config_exchange(random_fn random, double linkRate, config_exchange_hooks hooks)
    : m_hooks(std::move(hooks))
    , m_requests(std::move(random))
    , m_sender(linkRate, [this](const std::string &peer, const std::string &text) {
        m_hooks.send(peer, bundle_state{ text });
    })
{
}

void config_exchange::update(const peer_directory &ownDomain,
                             const std::map<std::string, peer_directory> &otherDomains,
                             time_point now)
{
    const std::vector<config_holder> holders = newerHolders(ownDomain, otherDomains, now);
    if (const auto holder = m_requests.choose(holders, now))
        m_hooks.send(holder->peer, bundle_request{ holder->version });
    checkLag(!holders.empty(), now);
    m_sender.update(now);
}

void config_exchange::onRequest(const std::string &peer, const bundle_request &request,
                                time_point now)
{
    if (m_hooks.currentVersion() >= request.version && m_sender.hasText())
        m_sender.request(peer, now);
}

// Peers of another domain only if they have a newer version than those of the own one, because
// links between domains are expensive.
std::vector<config_holder>
config_exchange::newerHolders(const peer_directory &ownDomain,
                              const std::map<std::string, peer_directory> &otherDomains,
                              time_point now) const
{
    std::int64_t newest = m_hooks.currentVersion();
    std::vector<config_holder> holders;
    const auto addHolders = [&](const peer_directory &domain) {
        const std::int64_t known = newest;
        domain.forEachLive(now, [&](const std::string &peer, const peer_digest &digest) {
            if (digest.version <= known)
                return;
            holders.push_back({ peer, digest.version });
            newest = std::max(newest, digest.version);
        });
    };
    addHolders(ownDomain);
    for (const auto &[cell, directory] : otherDomains)
        addHolders(directory);
    return holders;
}

void config_exchange::checkLag(bool isBehind, time_point now)
{
    if (!isBehind) {
        m_behindSince = {};
        return;
    }
    if (m_behindSince == time_point{})
        m_behindSince = now;
    if (now - m_behindSince < maxLag)
        return;
    // A configuration that this gateway cannot use remains newer.
    m_behindSince = now + unusableConfigInterval;
    if (m_hooks.onBehind)
        m_hooks.onBehind();
}

} // namespace fescuedeck
