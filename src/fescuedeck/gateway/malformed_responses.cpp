#include "fescuedeck/gateway/malformed_responses.h"

#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {
namespace {

// After this time without such a response the next one is logged again.
constexpr duration quietTime = std::chrono::seconds(10);

} // namespace

malformed_responses::malformed_responses(metrics &counters)
    : m_counters(counters)
{
}

void malformed_responses::record(const std::string &address, response_fault fault, time_point now)
{
    const std::string reason(nameOf(responseFaultNames, fault));
    m_counters
            .counterOf("fescuedeck_malformed_responses_total",
                       { { "endpoint", address }, { "reason", reason } })
            .add();
    const auto [entry, isFirst] = m_last.try_emplace({ address, fault }, now);
    const duration quiet = now - entry->second;
    entry->second = now;
    if (isFirst || quiet >= quietTime) {
        event_line("malformed_response", event_level::Warning)
                .field("endpoint", address)
                .field("reason", reason);
    }
}

} // namespace fescuedeck
