#include "fescuedeck/gateway/attempt_guards.h"

namespace fescuedeck {

in_flight_guard::in_flight_guard(const std::vector<endpoint_ptr> &stages, double tokens)
    : m_stages(stages)
    , m_tokens(tokens)
{
    count(1);
}

in_flight_guard::~in_flight_guard()
{
    count(-1);
}

void in_flight_guard::moveTo(const std::vector<endpoint_ptr> &stages)
{
    count(-1);
    m_stages = stages;
    count(1);
}

void in_flight_guard::count(int sign)
{
    for (const endpoint_ptr &stage : m_stages) {
        stage->inFlight += sign;
        stage->tokensInFlight += sign * m_tokens;
    }
}

retry_reservation::retry_reservation(gateway_context &context, std::string service)
    : m_context(context)
    , m_service(std::move(service))
{
    tryReserve();
}

retry_reservation::~retry_reservation()
{
    release();
}

void retry_reservation::release()
{
    m_context.reservedRetries[m_service] -= m_isReserved ? 1 : 0;
    m_isReserved = false;
}

bool retry_reservation::tryReserve()
{
    const double available = m_context.retryBudget.available(m_service, steadyNow());
    if (m_isReserved)
        return available >= 1;
    int &reserved = m_context.reservedRetries[m_service];
    m_isReserved = available >= reserved + 1;
    reserved += m_isReserved ? 1 : 0;
    return m_isReserved;
}

} // namespace fescuedeck
