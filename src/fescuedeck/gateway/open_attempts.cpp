#include "fescuedeck/gateway/open_attempts.h"

#include <algorithm>
#include <utility>

#include "fescuedeck/gateway/gateway_context.h"

namespace fescuedeck {

void moveRequestsIfIsolated(const gateway_context &context, time_point handledUntil)
{
    if (!context.isIsolated() || !context.hasVouchingPeer())
        return;
    const auto endpoints = context.endpoints.all();
    const bool hasProgress = std::any_of(
            endpoints.begin(), endpoints.end(), [handledUntil](const endpoint_ptr &endpoint) {
                return handledUntil - endpoint->lastProgressAt < isolatedStallLimit;
            });
    if (!hasProgress)
        context.openAttempts.notifyIsolated();
}

void open_attempts::notifyIsolated() const
{
    // A cancellation may end its attempt at once, which removes its hook.
    const auto hooks = m_hooks;
    for (const auto &[number, onIsolated] : hooks) {
        if (m_hooks.count(number) > 0)
            onIsolated();
    }
}

open_attempt::open_attempt(open_attempts &attempts, std::function<void()> onIsolated)
    : m_attempts(attempts)
    , m_number(++attempts.m_lastNumber)
{
    m_attempts.m_hooks.emplace(m_number, std::move(onIsolated));
}

open_attempt::~open_attempt()
{
    m_attempts.m_hooks.erase(m_number);
}

} // namespace fescuedeck
