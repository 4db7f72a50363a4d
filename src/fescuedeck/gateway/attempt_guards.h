// What one sending holds while it runs: its place in the load of its endpoints, and a retry.
#ifndef FESCUEDECK_GATEWAY_ATTEMPT_GUARDS_H
#define FESCUEDECK_GATEWAY_ATTEMPT_GUARDS_H

#include <string>
#include <vector>

#include "fescuedeck/gateway/endpoint_registry.h"
#include "fescuedeck/gateway/gateway_context.h"

namespace fescuedeck {

// Counts a request as in flight at the endpoints of its destination.
class in_flight_guard
{
public:
    // tokens: prompt and expected answer.
    in_flight_guard(const std::vector<endpoint_ptr> &stages, double tokens);
    ~in_flight_guard();
    in_flight_guard(const in_flight_guard &) = delete;
    in_flight_guard &operator=(const in_flight_guard &) = delete;

private:
    const std::vector<endpoint_ptr> m_stages;
    const double m_tokens;
};

// Sets one retry of the allowance aside while a stream runs, so that streams which fall silent
// together do not leave their chain for retries that only some of them get.
class retry_reservation
{
public:
    retry_reservation(gateway_context &context, std::string service);
    ~retry_reservation();
    retry_reservation(const retry_reservation &) = delete;
    retry_reservation &operator=(const retry_reservation &) = delete;

    // Tries to set one aside if there was none before.
    bool tryReserve();

private:
    gateway_context &m_context;
    const std::string m_service;
    bool m_isReserved = false;
};

} // namespace fescuedeck

#endif
