#include "fescuedeck/orders/lease_keeper.h"

namespace fescuedeck {
namespace {

// Lease duration in the record by which a holder releases its lease.
constexpr unix_millis releaseDuration(1);

} // namespace

lease_keeper::lease_keeper(lease_policy policy, std::string model, std::string holder,
                           random_fn random)
    : m_policy(policy)
    , m_model(std::move(model))
    , m_holder(std::move(holder))
    , m_random(std::move(random))
{
}

std::optional<lease_requested> lease_keeper::poll(time_point now, unix_millis wallNow,
                                                  const std::optional<lease> &current,
                                                  bool isCandidate)
{
    observe(now, current);
    if (!isCandidate)
        return release(now, current);
    if (current && current->holder == m_holder)
        return renew(now, *current);
    return takeOver(now, wallNow, current);
}

std::optional<order_authority> lease_keeper::authority(time_point now) const
{
    if (!m_heldLease || now >= m_heldLease->sent + m_heldLease->leaseDuration - m_policy.sendMargin)
        return std::nullopt;
    return order_authority{ m_heldLease->offset, m_firstFencing, m_removalsAllowedFrom };
}

void lease_keeper::observe(time_point now, const std::optional<lease> &current)
{
    const std::int64_t offset = current ? current->offset : -1;
    if (offset == m_seenOffset)
        return;
    m_seenOffset = offset;
    m_seenAt = now;
    m_takeoverAt.reset();
    if (current && current->holder == m_holder) {
        acquire(now, *current);
        return;
    }
    m_heldLease.reset();
    m_appendAttempt.reset();
}

// Handles a new lease record of this router. If there is no append attempt, the time of the append
// is unknown, for example because the record is from before a restart, so the record gives no right
// to send orders.
void lease_keeper::acquire(time_point now, const lease &current)
{
    const bool wasHolder = m_heldLease.has_value();
    m_heldLease.reset();
    if (!m_appendAttempt)
        return;
    m_heldLease = held_lease{ current.offset, m_appendAttempt->firstSent, current.leaseDuration };
    if (!wasHolder) {
        m_firstFencing = current.offset;
        m_removalsAllowedFrom = now + m_appendAttempt->previousLeaseDuration;
    }
    m_appendAttempt.reset();
}

std::optional<lease_requested> lease_keeper::renew(time_point now, const lease &current)
{
    if (m_heldLease && now < m_heldLease->sent + m_policy.renewAfter)
        return std::nullopt;
    const duration previousLeaseDuration
            = m_heldLease ? duration::zero() : duration(current.leaseDuration);
    return request(now, current.offset, m_policy.leaseDuration, previousLeaseDuration);
}

std::optional<lease_requested> lease_keeper::takeOver(time_point now, unix_millis wallNow,
                                                      const std::optional<lease> &current)
{
    if (current && !hasExpired(now, wallNow, *current)) {
        m_takeoverAt.reset();
        return std::nullopt;
    }
    if (!m_takeoverAt) {
        const double maxJitter = static_cast<double>(m_policy.takeoverJitter.count());
        m_takeoverAt = now + duration(static_cast<std::int64_t>(uniformReal(m_random) * maxJitter));
    }
    if (now < *m_takeoverAt)
        return std::nullopt;
    return request(now, current ? current->offset : -1, m_policy.leaseDuration,
                   current ? duration(current->leaseDuration) : duration::zero());
}

std::optional<lease_requested> lease_keeper::release(time_point now,
                                                     const std::optional<lease> &current)
{
    m_heldLease.reset();
    m_takeoverAt.reset();
    if (!current || current->holder != m_holder || current->leaseDuration <= releaseDuration)
        return std::nullopt;
    return request(now, current->offset, releaseDuration, duration::zero());
}

// Returns the record, or nothing if the same request was made less than retryAfter ago. A repeated
// request keeps the time of the first one: if only the answer to the first append was lost, the
// record of the first append is the valid one in the log, and its lease started earlier.
std::optional<lease_requested> lease_keeper::request(time_point now, std::int64_t follows,
                                                     unix_millis leaseDuration,
                                                     duration previousLeaseDuration)
{
    if (m_appendAttempt && m_appendAttempt->follows == follows) {
        if (now < m_appendAttempt->lastSent + m_policy.retryAfter)
            return std::nullopt;
        m_appendAttempt->lastSent = now;
    } else {
        m_appendAttempt = append_attempt{ follows, now, now, previousLeaseDuration };
    }
    return lease_requested{ m_model, m_holder, follows, leaseDuration };
}

// Returns true if the lease has expired by the wall clock or by the time since its record was first
// seen. One of the two is enough, because a takeover record that comes too early by the log's clock
// is invalid.
bool lease_keeper::hasExpired(time_point now, unix_millis wallNow, const lease &current) const
{
    return wallNow > current.expiry() || now > m_seenAt + current.leaseDuration;
}

} // namespace fescuedeck
