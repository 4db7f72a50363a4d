// Exchanges configurations with the peers: asks for a newer one that digests show, and sends the
// own one on request.
#ifndef FESCUEDECK_GATEWAY_CONFIG_EXCHANGE_H
#define FESCUEDECK_GATEWAY_CONFIG_EXCHANGE_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/config_requests.h"
#include "fescuedeck/gateway/config_sender.h"
#include "fescuedeck/peer/peer_directory.h"
#include "fescuedeck/peer/peer_message.h"

namespace fescuedeck {

struct config_exchange_hooks
{
    std::function<void(const std::string &peer, const peer_message &message)> send;
    // Version of the configuration in force; 0 if there is none.
    std::function<std::int64_t()> currentVersion;
    // Called with a configuration, as the operator wrote it, that a peer has sent.
    std::function<void(const std::string &text)> onConfig;
    // Called while a peer has had a newer configuration for a while that has not arrived from it.
    std::function<void()> onBehind;
};

// Not thread-safe.
class config_exchange
{
public:
    // linkRate is that of the host in bytes per second; 0 if unknown.
    config_exchange(random_fn random, double linkRate, config_exchange_hooks hooks);

    // Sets the text of the configuration in force, as the operator wrote it.
    void setText(std::string text) { m_sender.setText(std::move(text)); }
    // Call it several times per second with the digests of the own domain and of the others.
    void update(const peer_directory &ownDomain,
                const std::map<std::string, peer_directory> &otherDomains, time_point now);
    // Handle the messages of peers.
    void onRequest(const std::string &peer, const bundle_request &request, time_point now);
    void onState(const bundle_state &state) { m_hooks.onConfig(state.checkpoint); }

private:
    std::vector<config_holder>
    newerHolders(const peer_directory &ownDomain,
                 const std::map<std::string, peer_directory> &otherDomains, time_point now) const;
    void checkLag(bool isBehind, time_point now);

    const config_exchange_hooks m_hooks;
    config_requests m_requests;
    config_sender m_sender;
    time_point m_behindSince{}; // zero if no peer has a newer configuration
};

} // namespace fescuedeck

#endif
