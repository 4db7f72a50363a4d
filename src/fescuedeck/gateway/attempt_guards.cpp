#include "fescuedeck/gateway/attempt_guards.h"

namespace fescuedeck {
namespace {

// An attempt that ends earlier was refused or has failed and says nothing about how long endpoints
// have requests.
constexpr duration minHoldTime = std::chrono::milliseconds(100);

void recordHoldTime(endpoint_record &endpoint, duration held)
{
    constexpr int smoothing = 16;
    if (held < minHoldTime)
        return;
    duration &usual = endpoint.usualHoldTime;
    usual = usual == duration::zero() ? held : usual + (held - usual) / smoothing;
}

} // namespace

in_flight_guard::in_flight_guard(const std::vector<endpoint_ptr> &stages, double tokens)
    : m_stages(stages)
    , m_tokens(tokens)
{
    count(1);
}

in_flight_guard::~in_flight_guard()
{
    const duration held = steadyNow() - m_since;
    if (m_recordsHoldTime) {
        for (const endpoint_ptr &stage : m_stages)
            recordHoldTime(*stage, held);
    }
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

void in_flight_guard::setTokens(double tokens)
{
    for (const endpoint_ptr &stage : m_stages)
        stage->tokensInFlight += tokens - m_tokens;
    m_tokens = tokens;
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
