#include "fescuedeck/orders/lease_keeper.h"

namespace fescuedeck {
namespace {

// Term of the last record of a holder that gives the lease up.
constexpr unix_millis releaseTerm(1);

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
    if (!m_hold || now >= m_hold->sent + m_hold->term - m_policy.sendMargin)
        return std::nullopt;
    return order_authority{ m_hold->offset, m_since, m_removalsFrom };
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
    m_hold.reset();
    m_attempt.reset();
}

// The newest lease record is this router's. Without an attempt it stems from before a restart, and
// the time of its append is unknown, so that it gives no right to send.
void lease_keeper::acquire(time_point now, const lease &current)
{
    const bool wasHolder = m_hold.has_value();
    m_hold.reset();
    if (!m_attempt)
        return;
    m_hold = hold{ current.offset, m_attempt->firstSent, current.term };
    if (!wasHolder) {
        m_since = current.offset;
        m_removalsFrom = now + m_attempt->previousTerm;
    }
    m_attempt.reset();
}

std::optional<lease_requested> lease_keeper::renew(time_point now, const lease &current)
{
    if (m_hold && now < m_hold->sent + m_policy.renewAfter)
        return std::nullopt;
    const duration previousTerm = m_hold ? duration::zero() : duration(current.term);
    return request(now, current.offset, m_policy.term, previousTerm);
}

std::optional<lease_requested> lease_keeper::takeOver(time_point now, unix_millis wallNow,
                                                      const std::optional<lease> &current)
{
    if (current && !hasLapsed(now, wallNow, *current)) {
        m_takeoverAt.reset();
        return std::nullopt;
    }
    if (!m_takeoverAt) {
        const double spread = static_cast<double>(m_policy.takeoverSpread.count());
        m_takeoverAt = now + duration(static_cast<std::int64_t>(uniformReal(m_random) * spread));
    }
    if (now < *m_takeoverAt)
        return std::nullopt;
    return request(now, current ? current->offset : -1, m_policy.term,
                   current ? duration(current->term) : duration::zero());
}

std::optional<lease_requested> lease_keeper::release(time_point now,
                                                     const std::optional<lease> &current)
{
    m_hold.reset();
    m_takeoverAt.reset();
    if (!current || current->holder != m_holder || current->term <= releaseTerm)
        return std::nullopt;
    return request(now, current->offset, releaseTerm, duration::zero());
}

// Repeats keep the time of the first attempt: if that one's answer was lost, its record is the one
// in the log and its term began first.
std::optional<lease_requested> lease_keeper::request(time_point now, std::int64_t follows,
                                                     unix_millis term, duration previousTerm)
{
    if (m_attempt && m_attempt->follows == follows) {
        if (now < m_attempt->lastSent + m_policy.retryAfter)
            return std::nullopt;
        m_attempt->lastSent = now;
    } else {
        m_attempt = attempt{ follows, now, now, previousTerm };
    }
    return lease_requested{ m_model, m_holder, follows, term };
}

// Either clock suffices: the log itself refuses a takeover that comes too early.
bool lease_keeper::hasLapsed(time_point now, unix_millis wallNow, const lease &current) const
{
    return wallNow > current.expiry() || now > m_seenAt + current.term;
}

} // namespace fescuedeck
