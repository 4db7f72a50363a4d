// Scoped resources of one attempt: its share of the load of its endpoints, and a reserved retry.
#ifndef FESCUEDECK_GATEWAY_ATTEMPT_GUARDS_H
#define FESCUEDECK_GATEWAY_ATTEMPT_GUARDS_H

#include <string>
#include <vector>

#include "fescuedeck/gateway/endpoint_registry.h"
#include "fescuedeck/gateway/gateway_context.h"

namespace fescuedeck {

// Counts a request as in flight at the endpoints of its destination while this object lives. Not
// thread-safe.
class in_flight_guard
{
public:
    // tokens is the length of the prompt and the expected answer.
    in_flight_guard(const std::vector<endpoint_ptr> &stages, double tokens);
    ~in_flight_guard();
    in_flight_guard(const in_flight_guard &) = delete;
    in_flight_guard &operator=(const in_flight_guard &) = delete;

    // Corrects the number of tokens, because the answer is longer than was expected.
    void setTokens(double tokens);
    // For a guard that ends before the request does, so that it says nothing about how long
    // endpoints have requests.
    void ignoreHoldTime() { m_recordsHoldTime = false; }
    // Counts the request at these endpoints instead.
    void moveTo(const std::vector<endpoint_ptr> &stages);

private:
    void count(int sign);

    std::vector<endpoint_ptr> m_stages;
    double m_tokens;
    bool m_recordsHoldTime = true;
    const time_point m_since = steadyNow();
};

// Reserves one retry of the retry budget while this object lives. Without reservations, streams
// that stall together would all abandon their chain, although the budget has retries for only some
// of them. Not thread-safe.
class retry_reservation
{
public:
    // Tries to reserve a retry.
    retry_reservation(gateway_context &context, std::string service);
    ~retry_reservation();
    retry_reservation(const retry_reservation &) = delete;
    retry_reservation &operator=(const retry_reservation &) = delete;

    // Tries to reserve a retry if none is reserved yet. Returns false if none is reserved, or if
    // requests without a reservation have used the budget up.
    bool tryReserve();
    void release();

private:
    gateway_context &m_context;
    const std::string m_service;
    bool m_isReserved = false;
};

} // namespace fescuedeck

#endif
