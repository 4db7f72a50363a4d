// Limits the number of drafts that run at once and decides which waiting draft starts next.
//
// Waiting drafts share the capacity fairly between workspaces, according to the workspaces'
// weights. The queue of each workspace is bounded, and a draft whose predicted wait exceeds its
// deadline is rejected at once. A draft calls admit() once and keeps the returned ticket until it
// has ended.
#ifndef FESCUEDECK_ROUTER_DRAFT_ADMISSION_H
#define FESCUEDECK_ROUTER_DRAFT_ADMISSION_H

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "fescuedeck/admission/fair_queue.h"
#include "fescuedeck/base/error.h"
#include "fescuedeck/base/guarded.h"
#include "fescuedeck/bundle/bundle.h"
#include "fescuedeck/router/wait_event.h"

namespace fescuedeck {

class draft_admission;

// Permits one draft to run. The destructor ends the permission, so that a waiting draft can start.
class admission_ticket
{
public:
    admission_ticket(draft_admission &owner, std::string workspace, double predictedWork);
    ~admission_ticket();
    admission_ticket(admission_ticket &&other) noexcept;
    admission_ticket &operator=(admission_ticket &&) = delete;

    // Sets the work that the draft has done, in the unit of queued_request::work. The destructor
    // replaces the predicted work by it in the account of the workspace. The work is 0 if this
    // function is not called.
    void setActualWork(double work) { m_actualWork = work; }

private:
    draft_admission *m_owner;
    std::string m_workspace;
    double m_predictedWork;
    double m_actualWork = 0;
};

// Thread-safe.
class draft_admission
{
public:
    // At most draftsInFlight drafts run at once.
    explicit draft_admission(int draftsInFlight);

    // Takes the weights and queue limits of the workspaces from a bundle.
    void setWorkspaces(const bundle &content);
    // Waits until the draft may start. Fails with
    // - Overloaded if the workspace's queue is full, if the predicted wait exceeds the deadline, or
    //   if the deadline passed while the draft was queued;
    // - ConnectionClosed if callerLeft, which is called on the coroutine of yield, returned true.
    result<admission_ticket> admit(const queued_request &request,
                                   const std::function<bool()> &callerLeft,
                                   boost::asio::yield_context yield);
    std::size_t waiting() const; // number of queued drafts
    int running() const;         // number of admitted drafts

private:
    friend class admission_ticket;

    struct tables
    {
        fair_queue queue;
        std::unordered_map<std::string, wait_event> waiters; // by request id
        int running = 0;
    };

    void release(const std::string &workspace, double predictedWork, double actualWork);
    void dispatch();

    const int m_limit;
    guarded<tables> m_tables;
};

} // namespace fescuedeck

#endif
