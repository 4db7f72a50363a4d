// Keeps one router's side of the lease of one model: when to renew it, when to take it over, and
// until when orders may be sent.
//
// Call poll several times a second with the newest fold of the control stream, append the record
// that it returns, and ask authority() immediately before each order is sent.
#ifndef FESCUEDECK_ORDERS_LEASE_KEEPER_H
#define FESCUEDECK_ORDERS_LEASE_KEEPER_H

#include <cstdint>
#include <optional>
#include <string>

#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/control/control_record.h"
#include "fescuedeck/control/lease_table.h"

namespace fescuedeck {

struct lease_policy
{
    unix_millis leaseDuration = std::chrono::seconds(6);
    duration renewAfter = std::chrono::seconds(2);
    // Sending stops this long before the term ends. It must exceed the longest time that an order
    // takes from authority() to the engine, plus the drift of the clocks over one term.
    duration sendMargin = std::chrono::milliseconds(1500);
    // Spreads the routers that see a lease lapse, so that the first one's record reaches the
    // others.
    duration takeoverJitter = std::chrono::milliseconds(500);
    duration retryAfter = std::chrono::seconds(1); // after an append whose fate is unknown
};

// The right to send orders at this moment.
struct order_authority
{
    std::int64_t fencing = 0;      // grows with each renewal
    std::int64_t firstFencing = 0; // fencing number at which this router became the holder
    // Before this time a previous holder's orders may still reach engines that do not check the
    // fencing number.
    time_point removalsAllowedFrom{};
};

// Not thread-safe.
class lease_keeper
{
public:
    // The holder id must be unique among processes, so it includes the router's incarnation.
    lease_keeper(lease_policy policy, std::string model, std::string holder, random_fn random);

    // Returns the record to append now, if any. current is the fold's lease of the model. A router
    // that is shutting down or not ready is no candidate: it stops sending at once and shortens the
    // term of a lease that it holds, so that another router can take over.
    std::optional<lease_requested> poll(time_point now, unix_millis wallNow,
                                        const std::optional<lease> &current, bool isCandidate);

    // Empty if the router must not send orders. A holder that was paused past its term gets an
    // empty answer when it resumes, whatever the fold says.
    std::optional<order_authority> authority(time_point now) const;

private:
    struct append_attempt
    {
        std::int64_t follows = -1;
        time_point firstSent;
        time_point lastSent;
        duration previousLeaseDuration{}; // zero unless another process may have sent orders in it
    };
    struct held_lease
    {
        std::int64_t offset = 0;
        time_point sent; // of the append; the log's start of the term is not earlier
        unix_millis leaseDuration{};
    };

    void observe(time_point now, const std::optional<lease> &current);
    void acquire(time_point now, const lease &current);
    std::optional<lease_requested> renew(time_point now, const lease &current);
    std::optional<lease_requested> takeOver(time_point now, unix_millis wallNow,
                                            const std::optional<lease> &current);
    std::optional<lease_requested> release(time_point now, const std::optional<lease> &current);
    std::optional<lease_requested> request(time_point now, std::int64_t follows,
                                           unix_millis leaseDuration,
                                           duration previousLeaseDuration);
    bool hasExpired(time_point now, unix_millis wallNow, const lease &current) const;

    const lease_policy m_policy;
    const std::string m_model;
    const std::string m_holder;
    random_fn m_random;
    std::optional<append_attempt> m_appendAttempt;
    std::optional<held_lease> m_heldLease;
    std::int64_t m_firstFencing = 0;
    time_point m_removalsAllowedFrom{};
    std::int64_t m_seenOffset = -1;
    time_point m_seenAt{};
    std::optional<time_point> m_takeoverAt;
};

} // namespace fescuedeck

#endif
