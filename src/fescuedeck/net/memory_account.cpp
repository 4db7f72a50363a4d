#include "fescuedeck/net/memory_account.h"

#include <algorithm>
#include <utility>

namespace fescuedeck {
namespace {

constexpr std::size_t smallHoldersDivisor = 8;

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

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
    const std::size_t used = usedByCaller(holder.m_caller);
    // What a caller holds alone is its share even if it is more, so that one request is served.
    return used == holder.m_size || used - holder.m_size + size <= shareOf(holder.m_caller);
}

// By the callers that hold something or wait, and this one.
std::size_t memory_account::shareOf(const std::string &caller) const
{
    const auto isOther = [&](const auto &entry) { return entry.first != caller; };
    std::size_t callers = 1;
    callers += std::count_if(m_usedByCaller.begin(), m_usedByCaller.end(), isOther);
    callers += std::count_if(m_waitingUntil.begin(), m_waitingUntil.end(), [&](const auto &entry) {
        return isOther(entry) && m_usedByCaller.count(entry.first) == 0;
    });
    return m_limit / callers;
}

std::size_t memory_account::usedByCaller(const std::string &caller) const
{
    const auto entry = m_usedByCaller.find(caller);
    return entry == m_usedByCaller.end() ? 0 : entry->second;
}

// Returns whether the size fits, if need be without what idle and slow holders had.
bool memory_account::reclaimFor(const memory_holder &holder, std::size_t size, time_point now)
{
    if (fits(holder, size))
        return true;
    std::vector<memory_holder *> losers = idleHolders(holder, now);
    // Nobody loses anything if that would not suffice.
    if (!fitsWithout(losers, holder, size)) {
        const std::vector<memory_holder *> slow = slowHolders(holder, size, now);
        losers.insert(losers.end(), slow.begin(), slow.end());
        if (!fitsWithout(losers, holder, size))
            return false;
    }
    reclaim(losers, holder, size);
    return true;
}

bool memory_account::fitsWithout(const std::vector<memory_holder *> &losers,
                                 const memory_holder &holder, std::size_t size)
{
    std::size_t reclaimable = 0;
    for (const memory_holder *each : losers)
        reclaimable += each->m_size;
    m_used -= reclaimable;
    const bool suffices = fits(holder, size);
    m_used += reclaimable;
    return suffices;
}

// All but the given one, the largest first.
std::vector<memory_holder *> memory_account::idleHolders(const memory_holder &holder,
                                                         time_point now) const
{
    std::vector<memory_holder *> idle;
    for (memory_holder *each : m_holders) {
        if (each != &holder && each->isIdle(now))
            idle.push_back(each);
    }
    std::sort(idle.begin(), idle.end(),
              [](const auto *a, const auto *b) { return a->m_size > b->m_size; });
    return idle;
}

// Those that may be reclaimed after the idle ones: again and again, from the caller that holds the
// most and more than its share, the slowest one for its size. None if the size is beyond the share
// of its caller, so that callers with large bodies do not replace each other.
std::vector<memory_holder *> memory_account::slowHolders(const memory_holder &holder,
                                                         std::size_t size, time_point now) const
{
    const std::string &caller = holder.m_caller;
    const std::size_t share = shareOf(caller);
    if (caller.empty() || usedByCaller(caller) - holder.m_size + size > share)
        return {};
    std::map<std::string, slow_caller> callers = slowCallers(now);
    callers.erase(caller);
    std::vector<memory_holder *> slow;
    const auto usesLess
            = [](const auto &a, const auto &b) { return a.second.used < b.second.used; };
    while (!callers.empty()) {
        const auto most = std::max_element(callers.begin(), callers.end(), usesLess);
        if (most->second.used <= share)
            break;
        slow.push_back(most->second.holders.back());
        most->second.holders.pop_back();
        most->second.used -= slow.back()->m_size;
        if (most->second.holders.empty())
            callers.erase(most);
    }
    return slow;
}

// The callers that have slow holders.
std::map<std::string, memory_account::slow_caller> memory_account::slowCallers(time_point now) const
{
    std::map<std::string, slow_caller> callers;
    for (memory_holder *each : m_holders) {
        if (!each->m_caller.empty() && !each->isIdle(now) && each->isSlow(now))
            callers[each->m_caller].holders.push_back(each);
    }
    for (auto &[caller, slow] : callers) {
        slow.used = usedByCaller(caller);
        std::sort(slow.holders.begin(), slow.holders.end(), [&](const auto *a, const auto *b) {
            return a->relativePace(now) > b->relativePace(now);
        });
    }
    for (const memory_holder *each : m_holders) {
        const auto entry = callers.find(each->m_caller);
        if (entry != callers.end() && each->isIdle(now))
            entry->second.used -= each->m_size;
    }
    return callers;
}

// Reclaims from the losers in order until the size fits or none is left.
void memory_account::reclaim(const std::vector<memory_holder *> &losers,
                             const memory_holder &holder, std::size_t size)
{
    for (memory_holder *each : losers) {
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
    , m_startedAt(now)
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
        m_account.reclaim(m_account.idleHolders(*this, now), *this, size);
    m_account.resize(*this, size);
}

void memory_holder::noteProgress(std::size_t bytes, time_point now)
{
    m_moved += bytes;
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

bool memory_holder::isSlow(time_point now) const
{
    const double time = seconds(now - m_startedAt - memory_account::slowGrace);
    const double wanted = time * static_cast<double>(memory_account::slowBytesPerSecond);
    return m_reclaim && m_size > 0 && static_cast<double>(m_moved) < wanted;
}

double memory_holder::relativePace(time_point now) const
{
    return static_cast<double>(m_moved) / seconds(now - m_startedAt) / static_cast<double>(m_size);
}

} // namespace fescuedeck
