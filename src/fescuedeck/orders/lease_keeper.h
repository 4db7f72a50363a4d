// Manages one router's side of the lease of one model. The holder of the lease is the only process
// that may send orders to the model's engines. The lease keeper decides when to renew the lease,
// when to take it over from another holder, and until when this router may send orders.
//
// Call poll() several times a second with the lease that the replay of the control stream currently
// gives, append the record that poll() returns to the stream, and call authority() immediately
// before each order is sent.
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
    duration renewAfter = std::chrono::seconds(2); // since the append of the newest lease record
    // The holder stops sending orders this long before its lease expires. The margin must exceed
    // the longest time from the call of authority() to the order's arrival at the engine, plus the
    // drift of the clocks over one lease duration.
    duration sendMargin = std::chrono::milliseconds(1500);
    // A router waits for a random time up to this value before it takes over an expired lease, so
    // that the record of the first router reaches the others before they try too.
    duration takeoverJitter = std::chrono::milliseconds(500);
    // If the log does not show the appended record after this time, the record is requested again,
    // because the append may or may not have succeeded.
    duration retryAfter = std::chrono::seconds(1);
};

// The right to send orders at this moment.
struct order_authority
{
    std::int64_t fencing = 0; // the fencing number for orders, which grows with each renewal
    // The fencing number with which this router became the holder. It stays the same while the
    // router renews its lease.
    std::int64_t firstFencing = 0;
    // Before this time, orders of a previous holder may still reach engines that do not check the
    // fencing number.
    time_point removalsAllowedFrom{};
};

// Not thread-safe.
class lease_keeper
{
public:
    // The holder id must be unique among all processes and their restarts, so it has to include the
    // router's incarnation.
    lease_keeper(lease_policy policy, std::string model, std::string holder, random_fn random);

    // Returns the record to append to the control stream now, if any. `current` is the model's
    // newest lease in the replayed control stream. A router that is shutting down or not ready is
    // not a candidate: it may not send orders any more, and if it holds the lease, the returned
    // record shortens the lease so that another router can take over.
    std::optional<lease_requested> poll(time_point now, unix_millis wallNow,
                                        const std::optional<lease> &current, bool isCandidate);

    // Returns the right to send orders, or nothing if the router must not send orders. A holder
    // whose process was paused until after its lease expired gets nothing when it resumes, whatever
    // the replayed control stream says.
    std::optional<order_authority> authority(time_point now) const;

private:
    // A lease record that was returned for appending and that the log does not show yet.
    struct append_attempt
    {
        std::int64_t follows = -1; // see lease_requested
        time_point firstSent;
        time_point lastSent;
        // Duration of the lease that the record replaces, or zero if no other process can have sent
        // orders under that lease.
        duration previousLeaseDuration{};
    };
    struct held_lease
    {
        std::int64_t offset = 0;
        // When the append was first requested. The log cannot have started the lease earlier, so
        // the lease expires at this time plus its duration or later.
        time_point sent;
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
    std::int64_t m_seenOffset = -1; // of the newest lease record that poll() was given
    time_point m_seenAt{};          // when poll() was first given that record
    std::optional<time_point> m_takeoverAt;
};

} // namespace fescuedeck

#endif
