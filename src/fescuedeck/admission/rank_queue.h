// Priority queue of the requests of one service that wait for capacity.
//
// Order: requests that have begun; then by rank, 0 first; inside a rank start-time fair queueing
// between workspaces by predicted work; inside a workspace by arrival. While several ranks wait,
// the ranks below the most urgent one together get a minimum share of the admitted work. The same
// rule divides that share among them.
//
// No member reads a clock. Work is in tokens. Not thread-safe.
#ifndef FESCUEDECK_ADMISSION_RANK_QUEUE_H
#define FESCUEDECK_ADMISSION_RANK_QUEUE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

constexpr int rankCount = 10;

// The nearest valid rank.
constexpr int clampRank(int rank)
{
    return rank < 0 ? 0 : (rank >= rankCount ? rankCount - 1 : rank);
}

struct rank_queue_settings
{
    double lowerRankShare = 0.1; // from 0 to 0.5
    // Requests that have not begun. A gateway of site one starts about 10 requests per second, so a
    // longer queue holds only requests that cannot begin within their objective.
    std::size_t maxWaiting = 256;
};

struct waiting_request
{
    std::uint64_t id = 0; // unique in the queue
    std::string workspace;
    int rank = 0; // 0 to 9
    double work = 1;
    bool hasBegun = false;
    time_point latestStart{};
};

enum class push_outcome {
    Waiting,
    QueueFull, // the new request has been refused
    TooLate,   // it cannot begin before latestStart
};

struct push_result
{
    push_outcome outcome = push_outcome::Waiting;
    std::optional<std::uint64_t> displaced; // a waiting request that was removed in its favour
};

class rank_queue
{
public:
    explicit rank_queue(rank_queue_settings settings = {});

    void setLowerRankShare(double share) { m_settings.lowerRankShare = share; }

    // Adds a request. A full queue refuses the newest request of the least urgent rank, which may
    // be the new one. A request that has begun is always accepted. servedPerSecond is the rate of
    // completed work; zero or less if it is unknown, in which case no request is too late.
    push_result push(waiting_request request, time_point now, double servedPerSecond);
    // The request to admit next; null if none waits. Valid until the next change of the queue.
    const waiting_request *front() const;
    // Removes the front, which is admitted, and charges its work to its workspace and rank.
    void popFront();
    // Removes a request that is not admitted. Returns false if it does not wait.
    bool remove(std::uint64_t id);

    std::size_t size() const { return m_size; }
    bool isEmpty() const { return m_size == 0; }
    std::size_t waitingOf(int rank) const;
    double workOf(int rank) const; // without requests that have begun
    // Records a request that was admitted without waiting. Its work delays less urgent requests.
    void recordAccepted(int rank, double work, time_point now);
    // Expected time until a new request could begin; zero if the rate is unknown.
    duration predictedWait(const std::string &workspace, int rank, double work, time_point now,
                           double servedPerSecond) const;

private:
    struct workspace_queue
    {
        double start = 0; // virtual start time of its first request
        double work = 0;  // of all its waiting requests
        std::deque<waiting_request> requests;
    };
    using named_queue = std::pair<const std::string, workspace_queue>;
    struct rank_state
    {
        // Keeps an idle workspace while its start lies ahead of virtualTime.
        std::map<std::string, workspace_queue> workspaces;
        double virtualTime = 0;
        std::size_t waiting = 0;
        double work = 0;
        // Work that is owed to the less urgent ranks. Grows by the share of what this rank gets
        // while they wait.
        double owedToLower = 0;
        double acceptedPerSecond = 0; // work, at acceptedAt
        time_point acceptedAt{};
    };

    int chooseRank() const;
    double acceptedPerSecond(int rank, time_point now) const;
    // The state must have a waiting request.
    static const named_queue &nextWorkspace(const rank_state &state);
    const waiting_request &headOf(int rank) const;
    bool hasWaitingBelow(int rank) const;
    void chargeRanks(int admitted, double work);
    void eraseAt(int rank, workspace_queue &owner, std::deque<waiting_request>::iterator at);
    std::optional<std::uint64_t> displaceFor(int rank);

    rank_queue_settings m_settings;
    std::array<rank_state, rankCount> m_ranks;
    std::deque<waiting_request> m_begun;
    std::size_t m_size = 0;
};

// Work of one rank that a gateway may admit now, if all gateways follow the same rule. free is the
// capacity that is free for all gateways. Work of more urgent ranks that waits at the peers comes
// first, apart from lowerRankShare of the capacity. The rest is divided by waiting work.
double admissibleWork(double free, double peersMoreUrgent, double own, double peersSameRank,
                      double lowerRankShare);

} // namespace fescuedeck

#endif
