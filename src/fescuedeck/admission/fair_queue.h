// Queue of requests that wait for a route, shared fairly between workspaces.
//
// Start-time fair queueing in units of predicted work: a workspace that floods its queue delays
// itself, not the others. Streams that have begun (resumed after a failure) come before new
// requests. A request whose predicted wait exceeds its deadline is refused on arrival.
// Not thread-safe: the owner holds the admission lock (rank 3).
#ifndef FESCUEDECK_ADMISSION_FAIR_QUEUE_H
#define FESCUEDECK_ADMISSION_FAIR_QUEUE_H

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct queued_request
{
    std::string id;
    std::string workspace;
    double work = 1;       // predicted, in tokens
    time_point deadline{}; // latest start
    bool started = false;  // a stream that has begun and waits for a new attempt
};

class fair_queue
{
public:
    // Replaces weight and bound of a workspace; its queue stays. An unknown workspace is refused.
    void setWorkspace(const std::string &name, double weight, int queueLimit);

    // Fails with Overloaded: the workspace's queue is full, or the wait would exceed the deadline.
    result<void> push(queued_request request, time_point now);
    // The next request to start. Requests past their deadline are moved to takeExpired().
    std::optional<queued_request> pop(time_point now);
    // Puts a popped request back at the head of its queue, when no route was free.
    void putBack(queued_request request);
    // Removes a request whose caller left. Linear in the length of the workspace's queue.
    bool remove(const std::string &workspace, const std::string &id);
    std::vector<queued_request> takeExpired() { return std::exchange(m_expired, {}); }

    // Corrects the account of a workspace when the work of a request is known.
    void adjustCharge(const std::string &workspace, double predicted, double actual);
    // Work that all routes completed together, for the predicted wait. Call it with each
    // completion.
    void recordServed(double work, time_point now);

    std::size_t size() const { return m_size; }
    bool isEmpty() const { return m_size == 0; }
    std::size_t sizeOf(const std::string &workspace) const;
    double servedPerSecond() const { return m_rate; }
    // Seconds until a new request of the workspace would start; 0 while the rate is unknown.
    double predictedWait(const std::string &workspace) const;

private:
    struct workspace_queue
    {
        double weight = 1;
        int limit = 0;
        double virtualStart = 0; // virtual time at which its next request starts
        double backlog = 0;      // predicted work
        std::deque<queued_request> queue;
    };
    using active_entry = std::pair<double, workspace_queue *>;

    void enqueue(workspace_queue &owner, queued_request request, bool atHead);
    queued_request dequeue(workspace_queue &owner);

    std::unordered_map<std::string, workspace_queue> m_workspaces;
    std::set<active_entry> m_active; // workspaces with waiting requests, by start
    std::deque<queued_request> m_started;
    std::vector<queued_request> m_expired;
    double m_virtualTime = 0;
    double m_activeWeight = 0;
    double m_backlog = 0;
    double m_startedBacklog = 0;
    std::size_t m_size = 0;
    double m_rate = 0;
    double m_windowWork = 0;
    time_point m_windowStart{};
};

} // namespace fescuedeck

#endif
