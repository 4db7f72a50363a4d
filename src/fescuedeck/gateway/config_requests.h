// Decides when this gateway asks a peer for a newer configuration, and which peer.
#ifndef FESCUEDECK_GATEWAY_CONFIG_REQUESTS_H
#define FESCUEDECK_GATEWAY_CONFIG_REQUESTS_H

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"

namespace fescuedeck {

// A peer that has a newer configuration than this gateway.
struct config_holder
{
    std::string peer;
    std::int64_t version = 0;
};

// Asks one peer at a time, because a text may have megabytes and each copy delays what is sent
// behind it. The peer is chosen at random, so that many gateways do not all ask the same one. Not
// thread-safe.
class config_requests
{
public:
    explicit config_requests(random_fn random)
        : m_random(std::move(random))
    {
    }

    // Returns the peer to ask now for the newest version that holders have. None while an answer of
    // the peer that was asked for this version may still arrive. Call it often.
    std::optional<config_holder> choose(const std::vector<config_holder> &holders, time_point now);

private:
    bool isAnswerExpected(const std::vector<config_holder> &newest, time_point now) const;

    const random_fn m_random;
    config_holder m_asked;
    time_point m_askedAt{};
};

} // namespace fescuedeck

#endif
