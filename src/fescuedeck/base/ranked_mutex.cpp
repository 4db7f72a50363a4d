#include "fescuedeck/base/ranked_mutex.h"

#include <cstdio>
#include <cstdlib>

namespace fescuedeck {
namespace {

// Bit n is set while the thread holds a mutex of rank n.
thread_local unsigned heldRanks = 0;

unsigned bitOf(lock_rank rank)
{
    return 1U << static_cast<unsigned>(rank);
}

void requireHigherRank(lock_rank rank)
{
    if (heldRanks < bitOf(rank))
        return;
    std::fputs("lock order violated: see lock_rank in ranked_mutex.h\n", stderr);
    std::abort();
}

} // namespace

void ranked_mutex::lock()
{
    requireHigherRank(m_rank);
    m_mutex.lock();
    heldRanks |= bitOf(m_rank);
}

bool ranked_mutex::try_lock()
{
    requireHigherRank(m_rank);
    if (!m_mutex.try_lock())
        return false;
    heldRanks |= bitOf(m_rank);
    return true;
}

void ranked_mutex::unlock()
{
    heldRanks &= ~bitOf(m_rank);
    m_mutex.unlock();
}

} // namespace fescuedeck
