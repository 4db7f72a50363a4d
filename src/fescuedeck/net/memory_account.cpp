#include "fescuedeck/net/memory_account.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fescuedeck {
namespace {

constexpr std::size_t smallHoldersDivisor = 8;

} // namespace

std::size_t memory_account::usedBy(memory_owner owner) const
{
    return m_usedByOwner.at(static_cast<std::size_t>(owner));
}

bool memory_account::reserve(memory_holder &holder, std::size_t size, time_point now)
{
    if (size <= holder.m_size)
        return true;
    if (!isWithinShare(holder, size, now) || !reclaimFor(holder, size, now)) {
        if (!holder.m_caller.empty())
            m_waitingUntil[holder.m_caller] = now + waitingTime;
        if (m_refusedHook)
            m_refusedHook(holder.m_owner);
        return false;
    }
    resize(holder, size);
    return true;
}

// A holder that is alone always fits, so that a single request is served on any host.
bool memory_account::fits(const memory_holder &holder, std::size_t size) const
{
    const std::size_t others = m_used - holder.m_size;
    const std::size_t limit = size <= smallSize ? m_limit : m_limit - m_limit / smallHoldersDivisor;
    return others == 0 || others + size <= limit;
}

bool memory_account::isWithinShare(const memory_holder &holder, std::size_t size, time_point now)
{
    for (auto entry = m_waitingUntil.begin(); entry != m_waitingUntil.end();)
        entry = entry->second <= now ? m_waitingUntil.erase(entry) : std::next(entry);
    if (holder.m_caller.empty())
        return true;
    const auto isOther = [&](const auto &entry) { return entry.first != holder.m_caller; };
    if (!std::any_of(m_waitingUntil.begin(), m_waitingUntil.end(), isOther))
        return true;
    std::size_t callers = 1;
    callers += std::count_if(m_usedByCaller.begin(), m_usedByCaller.end(), isOther);
    callers += std::count_if(m_waitingUntil.begin(), m_waitingUntil.end(), [&](const auto &entry) {
        return isOther(entry) && m_usedByCaller.count(entry.first) == 0;
    });
    const auto own = m_usedByCaller.find(holder.m_caller);
    const std::size_t used = own == m_usedByCaller.end() ? 0 : own->second;
    // What a caller holds alone is its share even if it is more, so that one request is served.
    return used == holder.m_size || used - holder.m_size + size <= m_limit / callers;
}

// Returns whether the size fits, if need be without what idle holders had.
bool memory_account::reclaimFor(const memory_holder &holder, std::size_t size, time_point now)
{
    if (fits(holder, size))
        return true;
    std::size_t idle = 0;
    for (const memory_holder *each : m_holders)
        idle += each != &holder && each->isIdle(now) ? each->m_size : 0;
    // Nobody loses anything if that would not suffice.
    m_used -= idle;
    const bool suffices = fits(holder, size);
    m_used += idle;
    if (suffices)
        reclaimIdle(holder, size, now);
    return suffices;
}

// Reclaims from the largest idle holders until the size fits or none is left.
void memory_account::reclaimIdle(const memory_holder &holder, std::size_t size, time_point now)
{
    std::vector<memory_holder *> idle;
    for (memory_holder *each : m_holders) {
        if (each != &holder && each->isIdle(now))
            idle.push_back(each);
    }
    std::sort(idle.begin(), idle.end(),
              [](const auto *a, const auto *b) { return a->m_size > b->m_size; });
    for (memory_holder *each : idle) {
        if (fits(holder, size))
            return;
        resize(*each, 0);
        if (m_reclaimedHook)
            m_reclaimedHook(each->m_owner);
        std::exchange(each->m_reclaim, nullptr)();
    }
}

void memory_account::resize(memory_holder &holder, std::size_t size)
{
    m_used += size - holder.m_size;
    m_usedByOwner.at(static_cast<std::size_t>(holder.m_owner)) += size - holder.m_size;
    if (!holder.m_caller.empty()) {
        std::size_t &used = m_usedByCaller[holder.m_caller];
        used += size - holder.m_size;
        if (used == 0)
            m_usedByCaller.erase(holder.m_caller);
    }
    holder.m_size = size;
}

memory_holder::memory_holder(memory_account &account, memory_owner owner, std::string caller,
                             time_point now)
    : m_account(account)
    , m_owner(owner)
    , m_caller(std::move(caller))
    , m_progressAt(now)
{
    m_account.m_holders.insert(this);
}

memory_holder::~memory_holder()
{
    m_account.resize(*this, 0);
    m_account.m_holders.erase(this);
}

bool memory_holder::reserve(std::size_t size, time_point now)
{
    return m_account.reserve(*this, size, now);
}

void memory_holder::charge(std::size_t size, time_point now)
{
    if (!m_account.fits(*this, size))
        m_account.reclaimIdle(*this, size, now);
    m_account.resize(*this, size);
}

void memory_holder::noteProgress(std::size_t bytes, time_point now)
{
    m_progress += bytes;
    if (m_progress < memory_account::minProgress)
        return;
    m_progress = 0;
    m_progressAt = now;
}

bool memory_holder::isIdle(time_point now) const
{
    return m_reclaim && m_size > 0 && now - m_progressAt >= memory_account::idleTime;
}

} // namespace fescuedeck
