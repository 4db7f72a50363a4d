// Queue of requests that wait for a route, shared fairly between workspaces.
//
// The queue uses start-time fair queueing, and it measures the share of a workspace in predicted
// work. So a workspace that floods its queue delays its own requests, but not those of others.
// Streams that have begun and are resumed after a failure come before new requests. A request whose
// predicted wait exceeds its deadline is refused on arrival.
//
// Not thread-safe: the caller must hold the admission lock (rank 3).
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
    time_point deadline{}; // latest start, which is not checked for a started stream
    bool started = false;  // a stream that has begun and waits for a new attempt
};

class fair_queue
{
public:
    // Adds a workspace, or replaces the weight and the queue limit of a known one, which keeps its
    // waiting requests. push() refuses new requests of a workspace that was never set.
    void setWorkspace(const std::string &name, double weight, int queueLimit);

    // Adds a request. Fails with Overloaded if the workspace is unknown, if its queue is full, or
    // if the predicted wait exceeds the time until the deadline. A started stream is always
    // accepted.
    result<void> push(queued_request request, time_point now);
    // Removes and returns the next request to start, or returns nothing if none waits. New requests
    // whose deadline has passed are skipped; takeExpired() returns them.
    std::optional<queued_request> pop(time_point now);
    // Returns a popped request to the head of its queue, because no route was free.
    void putBack(queued_request request);
    // Removes a request whose caller has disconnected. Returns false if the request does not wait.
    // The time is linear in the number of started streams and in the length of the workspace's
    // queue.
    bool remove(const std::string &workspace, const std::string &id);
    // Returns the requests whose deadline passed in the queue, and forgets them.
    std::vector<queued_request> takeExpired() { return std::exchange(m_expired, {}); }

    // Charges the workspace for the difference between the predicted and the actual work of a
    // request when the actual work is known.
    void adjustCharge(const std::string &workspace, double predicted, double actual);
    // Records work that any route has completed. The predicted wait depends on the rate of this
    // work, so call it at each completion.
    void recordServed(double work, time_point now);

    std::size_t size() const { return m_size; }
    bool isEmpty() const { return m_size == 0; }
    std::size_t sizeOf(const std::string &workspace) const;
    // The rate of completed work, or 0 while it is unknown.
    double servedPerSecond() const { return m_rate; }
    // Returns the predicted time in seconds until a new request of the workspace would start, or 0
    // while the rate of completed work is unknown.
    double predictedWait(const std::string &workspace) const;

private:
    struct workspace_queue
    {
        double weight = 1;
        int limit = 0;           // of the number of waiting requests
        double virtualStart = 0; // virtual time at which its next request starts
        double backlog = 0;      // predicted work of its waiting requests
        std::deque<queued_request> queue;
    };
    using active_entry = std::pair<double, workspace_queue *>;

    void enqueue(workspace_queue &owner, queued_request request, bool atHead);
    queued_request dequeue(workspace_queue &owner);

    std::unordered_map<std::string, workspace_queue> m_workspaces;
    std::set<active_entry> m_active; // workspaces with waiting requests, by virtual start
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
