#include "fescuedeck/gateway/sending_guards.h"

namespace fescuedeck {

in_flight_guard::in_flight_guard(const std::vector<endpoint_ptr> &stages, double tokens)
    : m_stages(stages)
    , m_tokens(tokens)
{
    for (const endpoint_ptr &stage : m_stages) {
        ++stage->inFlight;
        stage->tokensInFlight += m_tokens;
    }
}

in_flight_guard::~in_flight_guard()
{
    for (const endpoint_ptr &stage : m_stages) {
        --stage->inFlight;
        stage->tokensInFlight -= m_tokens;
    }
}

retry_reservation::retry_reservation(gateway_context &context, std::string service)
    : m_context(context)
    , m_service(std::move(service))
{
    isHeld();
}

retry_reservation::~retry_reservation()
{
    m_context.reservedRetries[m_service] -= m_isHeld ? 1 : 0;
}

bool retry_reservation::isHeld()
{
    if (m_isHeld)
        return true;
    int &reserved = m_context.reservedRetries[m_service];
    m_isHeld = m_context.retries.available(m_service, steadyNow()) >= reserved + 1;
    reserved += m_isHeld ? 1 : 0;
    return m_isHeld;
}

} // namespace fescuedeck
