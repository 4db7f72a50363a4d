// The memory budget of a process for message bodies: what callers and peers send, answers that are
// collected, and answers that wait for slow readers.
//
// A body is paid for before it is read. If the budget does not suffice, holders that have stopped
// lose what they hold, the largest first, then slow ones of callers above their share if the new
// body is within that of its caller. Otherwise the new body is refused. Nothing here waits or reads
// a clock, so that tests decide what happens when.
#ifndef FESCUEDECK_NET_MEMORY_ACCOUNT_H
#define FESCUEDECK_NET_MEMORY_ACCOUNT_H

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/base/time.h"

namespace fescuedeck {

enum class memory_owner {
    CallerBodies,
    RelayedBodies,
    CollectedAnswers, // of endpoints and services
    PendingAnswers,   // that are being written to their readers
};

constexpr name_table<memory_owner, 4> memoryOwnerNames = { {
        { memory_owner::CallerBodies, "caller_bodies" },
        { memory_owner::RelayedBodies, "relayed_bodies" },
        { memory_owner::CollectedAnswers, "collected_answers" },
        { memory_owner::PendingAnswers, "pending_answers" },
} };

class memory_holder;

// Not thread-safe: the account and all holders belong to one thread. Sizes are in bytes.
class memory_account
{
public:
    // A holder that moves less than minProgress in this time has stopped. Callers on the slowest
    // link that is promised, 14 Mbit/s, move a hundred times as much.
    static constexpr duration idleTime = std::chrono::seconds(1);
    static constexpr std::size_t minProgress = 16 * 1024;
    // A holder that has moved fewer bytes a second than this, slowGrace aside, is slow. The slowest
    // link that is promised moves twice as much.
    static constexpr std::size_t slowBytesPerSecond = 800 * 1024;
    // For the first bytes of a body to arrive.
    static constexpr duration slowGrace = std::chrono::milliseconds(250);
    // Holders up to this size may use the whole limit. The others leave an eighth of it to them, so
    // that ordinary requests are served while large ones use up their part.
    static constexpr std::size_t smallSize = 128 * 1024;
    // For this time after a refusal its caller counts as waiting.
    static constexpr duration waitingTime = std::chrono::seconds(1);

    explicit memory_account(std::size_t limit)
        : m_limit(limit)
    {
    }
    memory_account(const memory_account &) = delete;
    memory_account &operator=(const memory_account &) = delete;

    std::size_t limit() const { return m_limit; }
    std::size_t used() const { return m_used; }
    std::size_t usedBy(memory_owner owner) const;

    // Are told of each refusal and of each holder that has lost what it held.
    void onRefused(std::function<void(memory_owner)> hook) { m_refusedHook = std::move(hook); }
    void onReclaimed(std::function<void(memory_owner)> hook) { m_reclaimedHook = std::move(hook); }

private:
    friend class memory_holder;

    struct slow_caller
    {
        std::size_t used = 0;                 // without what its idle holders have
        std::vector<memory_holder *> holders; // slow ones, the slowest for its size last
    };

    bool reserve(memory_holder &holder, std::size_t size, time_point now);
    bool fits(const memory_holder &holder, std::size_t size) const;
    bool isWithinShare(const memory_holder &holder, std::size_t size, time_point now);
    std::size_t shareOf(const std::string &caller) const;
    std::size_t usedByCaller(const std::string &caller) const;
    bool reclaimFor(const memory_holder &holder, std::size_t size, time_point now);
    std::vector<memory_holder *> idleHolders(const memory_holder &holder, time_point now) const;
    std::vector<memory_holder *> slowHolders(const memory_holder &holder, std::size_t size,
                                             time_point now) const;
    std::map<std::string, slow_caller> slowCallers(time_point now) const;
    bool fitsWithout(const std::vector<memory_holder *> &losers, const memory_holder &holder,
                     std::size_t size);
    void reclaim(const std::vector<memory_holder *> &losers, const memory_holder &holder,
                 std::size_t size);
    void resize(memory_holder &holder, std::size_t size);

    const std::size_t m_limit;
    std::size_t m_used = 0;
    std::array<std::size_t, memoryOwnerNames.size()> m_usedByOwner{};
    std::unordered_set<memory_holder *> m_holders;
    std::map<std::string, std::size_t> m_usedByCaller; // that hold something
    std::map<std::string, time_point> m_waitingUntil;  // by caller
    std::function<void(memory_owner)> m_refusedHook;
    std::function<void(memory_owner)> m_reclaimedHook;
};

// What one body or answer holds, until it is destroyed. The account must outlive it.
class memory_holder
{
public:
    // caller tells apart those that share the memory fairly; empty for one that is not limited to a
    // share.
    memory_holder(memory_account &account, memory_owner owner, std::string caller, time_point now);
    ~memory_holder();
    memory_holder(const memory_holder &) = delete;
    memory_holder &operator=(const memory_holder &) = delete;

    std::size_t size() const { return m_size; }
    // Makes the holder hold size, which must not shrink. Returns whether it is granted; if not, the
    // holder keeps what it has. Idle holders may be reclaimed for it.
    bool reserve(std::size_t size, time_point now);
    // The same for bytes that are there already. Is always granted.
    void charge(std::size_t size, time_point now);
    // Bytes that were received from or delivered to the other end.
    void noteProgress(std::size_t bytes, time_point now);
    // While hook is set, the holder may lose what it holds once it is idle, or slow and its caller
    // above its share. The hook must free the memory soon, must not call the account, and is called
    // once.
    void allowReclaim(std::function<void()> hook) { m_reclaim = std::move(hook); }

private:
    friend class memory_account;

    bool isIdle(time_point now) const;
    bool isSlow(time_point now) const;
    // The part of its size that it moves in a second.
    double relativePace(time_point now) const;

    memory_account &m_account;
    const memory_owner m_owner;
    const std::string m_caller;
    const time_point m_startedAt;
    std::size_t m_size = 0;
    std::size_t m_moved = 0;    // since m_startedAt
    std::size_t m_progress = 0; // since m_progressAt
    time_point m_progressAt;
    std::function<void()> m_reclaim;
};

} // namespace fescuedeck

#endif
