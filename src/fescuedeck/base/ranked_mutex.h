// Mutexes with a stated lock order.
//
// Use one for each table that worker threads share. A thread may take a mutex only if its rank is
// higher than that of every mutex it holds; a violation is a programming error and ends the
// process.
#ifndef FESCUEDECK_BASE_RANKED_MUTEX_H
#define FESCUEDECK_BASE_RANKED_MUTEX_H

#include <mutex>

namespace fescuedeck {

enum class lock_rank {
    Installation, // serializes the changes that bring a bundle into force
    Control,
    Fleet,
    Admission,
    Claims,
    Streams,
    Peers,
    Telemetry,
};

// Satisfies Lockable; use with std::lock_guard or std::unique_lock.
class ranked_mutex
{
public:
    explicit ranked_mutex(lock_rank rank)
        : m_rank(rank)
    {
    }

    void lock();
    bool try_lock(); // NOLINT(readability-identifier-naming): name required by Lockable
    void unlock();

private:
    const lock_rank m_rank;
    std::mutex m_mutex;
};

} // namespace fescuedeck

#endif
