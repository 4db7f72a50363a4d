#include "fescuedeck/admission/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace fescuedeck {
namespace {

// Duration of one measurement of the rate of completed work, and its weight in the moving average.
constexpr duration rateWindow = std::chrono::milliseconds(250);
constexpr double rateWeight = 0.2;
// Number of requests that a workspace may start ahead of its turn after it was idle. If deadlines
// are short, the queue of a small workspace is often empty when its turn comes, and without this
// credit such a workspace lost up to half of its share.
constexpr double creditRequests = 4;
// Each request counts as at least this much work, so that the virtual start of a workspace also
// advances if its queue is refilled one request at a time.
constexpr double minWork = 1e-6;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void fair_queue::setWorkspace(const std::string &name, double weight, int queueLimit)
{
    workspace_queue &owner = m_workspaces[name];
    const bool isActive = !owner.queue.empty();
    if (isActive)
        m_activeWeight += weight - owner.weight;
    owner.weight = weight;
    owner.limit = queueLimit;
}

std::size_t fair_queue::sizeOf(const std::string &workspace) const
{
    const auto found = m_workspaces.find(workspace);
    return found == m_workspaces.end() ? 0 : found->second.queue.size();
}

double fair_queue::predictedWait(const std::string &workspace) const
{
    const auto found = m_workspaces.find(workspace);
    if (m_rate <= 0 || found == m_workspaces.end())
        return 0;
    const workspace_queue &owner = found->second;
    const double weight = m_activeWeight + (owner.queue.empty() ? owner.weight : 0);
    // Virtual time advances by one while each active workspace is served as many units of work as
    // its weight.
    const double ahead = owner.virtualStart + owner.backlog / owner.weight - m_virtualTime;
    const double forOwnShare = std::max(0.0, ahead) * weight;
    return (m_startedBacklog + std::min(m_backlog, forOwnShare)) / m_rate;
}

result<void> fair_queue::push(queued_request request, time_point now)
{
    request.work = std::max(request.work, minWork);
    if (request.started) {
        m_startedBacklog += request.work;
        ++m_size;
        m_started.push_back(std::move(request));
        return boost::outcome_v2::success();
    }
    const auto found = m_workspaces.find(request.workspace);
    if (found == m_workspaces.end())
        return makeFailure(errc::Overloaded, "workspace " + request.workspace + " has no queue");
    workspace_queue &owner = found->second;
    if (static_cast<int>(owner.queue.size()) >= owner.limit)
        return makeFailure(errc::Overloaded, "workspace " + request.workspace + ": queue is full");
    const double wait = predictedWait(request.workspace);
    if (wait > seconds(request.deadline - now))
        return makeFailure(errc::Overloaded, "workspace " + request.workspace
                                                     + ": the predicted wait exceeds the deadline");
    enqueue(owner, std::move(request), false);
    return boost::outcome_v2::success();
}

void fair_queue::enqueue(workspace_queue &owner, queued_request request, bool atHead)
{
    if (owner.queue.empty()) {
        const double credit = creditRequests * request.work / owner.weight;
        owner.virtualStart = atHead ? owner.virtualStart
                                    : std::max(owner.virtualStart, m_virtualTime - credit);
        m_active.insert({ owner.virtualStart, &owner });
        m_activeWeight += owner.weight;
    }
    owner.backlog += request.work;
    m_backlog += request.work;
    ++m_size;
    if (atHead)
        owner.queue.push_front(std::move(request));
    else
        owner.queue.push_back(std::move(request));
}

// Removes the first request of the workspace and charges the workspace for its predicted work.
queued_request fair_queue::dequeue(workspace_queue &owner)
{
    queued_request request = std::move(owner.queue.front());
    owner.queue.pop_front();
    m_active.erase({ owner.virtualStart, &owner });
    m_virtualTime = std::max(m_virtualTime, owner.virtualStart);
    owner.virtualStart += request.work / owner.weight;
    owner.backlog = owner.queue.empty() ? 0 : owner.backlog - request.work;
    m_backlog = std::max(0.0, m_backlog - request.work);
    --m_size;
    if (owner.queue.empty())
        m_activeWeight = std::max(0.0, m_activeWeight - owner.weight);
    else
        m_active.insert({ owner.virtualStart, &owner });
    return request;
}

std::optional<queued_request> fair_queue::pop(time_point now)
{
    if (!m_started.empty()) {
        queued_request request = std::move(m_started.front());
        m_started.pop_front();
        m_startedBacklog = m_started.empty() ? 0 : m_startedBacklog - request.work;
        --m_size;
        return request;
    }
    while (!m_active.empty()) {
        workspace_queue &owner = *m_active.begin()->second;
        queued_request request = dequeue(owner);
        if (request.deadline >= now)
            return request;
        adjustCharge(request.workspace, request.work, 0);
        m_expired.push_back(std::move(request));
    }
    return std::nullopt;
}

void fair_queue::putBack(queued_request request)
{
    if (request.started) {
        m_startedBacklog += request.work;
        ++m_size;
        m_started.push_front(std::move(request));
        return;
    }
    const auto found = m_workspaces.find(request.workspace);
    if (found == m_workspaces.end())
        return;
    adjustCharge(request.workspace, request.work, 0);
    enqueue(found->second, std::move(request), true);
}

bool fair_queue::remove(const std::string &workspace, const std::string &id)
{
    const auto matches = [&id](const queued_request &candidate) { return candidate.id == id; };
    const auto begun = std::find_if(m_started.begin(), m_started.end(), matches);
    if (begun != m_started.end()) {
        m_startedBacklog = std::max(0.0, m_startedBacklog - begun->work);
        m_started.erase(begun);
        --m_size;
        return true;
    }
    const auto found = m_workspaces.find(workspace);
    if (found == m_workspaces.end())
        return false;
    workspace_queue &owner = found->second;
    const auto waiting = std::find_if(owner.queue.begin(), owner.queue.end(), matches);
    if (waiting == owner.queue.end())
        return false;
    owner.backlog -= waiting->work;
    m_backlog = std::max(0.0, m_backlog - waiting->work);
    owner.queue.erase(waiting);
    --m_size;
    if (owner.queue.empty()) {
        m_active.erase({ owner.virtualStart, &owner });
        m_activeWeight = std::max(0.0, m_activeWeight - owner.weight);
        owner.backlog = 0;
    }
    return true;
}

void fair_queue::adjustCharge(const std::string &workspace, double predicted, double actual)
{
    const auto found = m_workspaces.find(workspace);
    if (found == m_workspaces.end())
        return;
    workspace_queue &owner = found->second;
    const bool isActive = !owner.queue.empty();
    if (isActive)
        m_active.erase({ owner.virtualStart, &owner });
    owner.virtualStart += (actual - predicted) / owner.weight;
    if (isActive)
        m_active.insert({ owner.virtualStart, &owner });
}

void fair_queue::recordServed(double work, time_point now)
{
    if (m_windowStart == time_point{})
        m_windowStart = now;
    m_windowWork += work;
    const duration elapsed = now - m_windowStart;
    if (elapsed < rateWindow)
        return;
    const double rate = m_windowWork / seconds(elapsed);
    m_rate = m_rate <= 0 ? rate : m_rate + rateWeight * (rate - m_rate);
    m_windowWork = 0;
    m_windowStart = now;
}

} // namespace fescuedeck
