#include "fescuedeck/router/draft_admission.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fescuedeck {
namespace {

// A waiting draft checks at this interval whether its caller has disconnected.
constexpr duration callerCheckInterval = std::chrono::milliseconds(100);

} // namespace

admission_ticket::admission_ticket(draft_admission &owner, std::string workspace,
                                   double predictedWork)
    : m_owner(&owner)
    , m_workspace(std::move(workspace))
    , m_predictedWork(predictedWork)
{
}

admission_ticket::admission_ticket(admission_ticket &&other) noexcept
    : m_owner(std::exchange(other.m_owner, nullptr))
    , m_workspace(std::move(other.m_workspace))
    , m_predictedWork(other.m_predictedWork)
    , m_actualWork(other.m_actualWork)
{
}

admission_ticket::~admission_ticket()
{
    if (m_owner)
        m_owner->release(m_workspace, m_predictedWork, m_actualWork);
}

draft_admission::draft_admission(int draftsInFlight)
    : m_limit(draftsInFlight)
    , m_tables(lock_rank::Admission)
{
}

void draft_admission::setWorkspaces(const bundle &content)
{
    m_tables.with([&](tables &all) {
        for (const workspace_spec &workspace : content.workspaces)
            all.queue.setWorkspace(workspace.name, workspace.weight, workspace.queueLimit);
    });
}

result<admission_ticket> draft_admission::admit(const queued_request &request,
                                                const std::function<bool()> &callerLeft,
                                                boost::asio::yield_context yield)
{
    const wait_event admitted(yield);
    const auto queued = m_tables.with([&](tables &all) {
        auto pushed = all.queue.push(request, steadyNow());
        if (pushed)
            all.waiters.emplace(request.id, admitted);
        return pushed;
    });
    if (!queued)
        return queued.error();
    dispatch();
    const auto mustStopWaiting = [&] { return steadyNow() >= request.deadline || callerLeft(); };
    while (!admitted.waitUntil(std::min(request.deadline, steadyNow() + callerCheckInterval),
                               yield)) {
        if (!mustStopWaiting())
            continue;
        // dispatch() removes the waiter of a draft that it admits. If the waiter is no longer
        // registered, the draft has been admitted in the meantime.
        const bool wasWaiting = m_tables.with([&](tables &all) {
            all.queue.remove(request.workspace, request.id);
            return all.waiters.erase(request.id) > 0;
        });
        if (!wasWaiting)
            break;
        if (callerLeft())
            return makeFailure(errc::ConnectionClosed,
                               "the caller disconnected while the draft was queued");
        return makeFailure(errc::Overloaded, "the deadline passed while the draft was queued");
    }
    return admission_ticket(*this, request.workspace, request.work);
}

std::size_t draft_admission::waiting() const
{
    return m_tables.with([](const tables &all) { return all.queue.size(); });
}

int draft_admission::running() const
{
    return m_tables.with([](const tables &all) { return all.running; });
}

void draft_admission::release(const std::string &workspace, double predictedWork, double actualWork)
{
    m_tables.with([&](tables &all) {
        --all.running;
        all.queue.adjustCharge(workspace, predictedWork, actualWork);
        all.queue.recordServed(actualWork, steadyNow());
    });
    dispatch();
}

void draft_admission::dispatch()
{
    std::vector<wait_event> admitted;
    m_tables.with([&](tables &all) {
        while (all.running < m_limit) {
            const auto next = all.queue.pop(steadyNow());
            if (!next)
                break;
            const auto waiter = all.waiters.find(next->id);
            if (waiter == all.waiters.end())
                continue;
            admitted.push_back(waiter->second);
            all.waiters.erase(waiter);
            ++all.running;
        }
        // Expired drafts need no notification, because their coroutines check the deadline.
        all.queue.takeExpired();
    });
    for (const wait_event &event : admitted)
        event.set();
}

} // namespace fescuedeck
