// Decides when a draft may start: weighted fair between workspaces, bounded, with early refusal.
//
// A draft calls admit() once and waits there for its turn; a ticket holds its place until the draft
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

// Releases the place on destruction. Movable.
class admission_ticket
{
public:
    admission_ticket(draft_admission &owner, std::string workspace, double predictedWork);
    ~admission_ticket();
    admission_ticket(admission_ticket &&other) noexcept;
    admission_ticket &operator=(admission_ticket &&) = delete;

    // Work that was done, in the unit of the prediction; corrects the workspace's account.
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
    explicit draft_admission(int draftsInFlight);

    void setWorkspaces(const bundle &content);
    // Waits for the draft's turn. Fails with Overloaded (queue full, predicted wait too long, or
    // the deadline passed in the queue) or ConnectionClosed (callerLeft returned true).
    result<admission_ticket> admit(const queued_request &request,
                                   const std::function<bool()> &callerLeft,
                                   boost::asio::yield_context yield);
    std::size_t waiting() const;
    int running() const;

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
