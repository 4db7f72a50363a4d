// Puts the operator's configurations in force, which arrive from the store and from peers.
#ifndef FESCUEDECK_GATEWAY_CONFIG_INTAKE_H
#define FESCUEDECK_GATEWAY_CONFIG_INTAKE_H

#include <cstdint>
#include <functional>
#include <string>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/gateway/gateway_context.h"

namespace fescuedeck {

enum class config_source { Store, Peer };

constexpr name_table<config_source, 2> configSourceNames = { {
        { config_source::Store, "store" },
        { config_source::Peer, "peer" },
} };

// Not thread-safe.
class config_intake
{
public:
    // Gets the text of each configuration that has come into force.
    using in_force_fn = std::function<void(const std::string &text)>;

    config_intake(gateway_context &context, in_force_fn onInForce)
        : m_context(context)
        , m_onInForce(std::move(onInForce))
    {
    }

    // Puts the configuration in force if it is newer than the current one, whatever its source. A
    // text that cannot be used is logged and ignored.
    void receive(const std::string &text, config_source source);

private:
    bool isNewer(std::int64_t version) const;

    gateway_context &m_context;
    const in_force_fn m_onInForce;
};

} // namespace fescuedeck

#endif
