#include "fescuedeck/gateway/config_intake.h"

#include <memory>

#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {

bool config_intake::isNewer(std::int64_t version) const
{
    return !m_context.config || version > m_context.config->config().version;
}

void config_intake::receive(const std::string &text, config_source source)
{
    // Each version arrives from the store and from several peers. Nothing else is handled while a
    // configuration is parsed, so only the first copy is.
    const auto statedVersion = m_context.adapter.readConfigVersion(text);
    if (statedVersion && !isNewer(*statedVersion))
        return;
    const time_point receivedAt = steadyNow();
    auto config = m_context.adapter.parseConfig(text);
    const time_point parsedAt = steadyNow();
    if (!config) {
        event_line("config_unusable", event_level::Error)
                .field("source", nameOf(configSourceNames, source))
                .field("detail", config.error().detail);
        return;
    }
    const std::int64_t version = config.value().version;
    if (!isNewer(version))
        return;
    m_context.config = std::make_shared<const config_index>(std::move(config.value()));
    m_onInForce(text);
    event_line("config_in_force")
            .field("version", version)
            .field("source", nameOf(configSourceNames, source))
            .field("idle_limit_ms", m_context.config->config().limits.idleTimeout)
            .field("bytes", static_cast<std::int64_t>(text.size()))
            .field("parse_ms", duration(parsedAt - receivedAt))
            .field("apply_ms", duration(steadyNow() - parsedAt));
}

} // namespace fescuedeck
