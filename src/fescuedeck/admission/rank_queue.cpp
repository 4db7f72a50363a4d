#include "fescuedeck/admission/rank_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescuedeck {
namespace {

// Sums of shares are not exact, so that equal amounts may differ by this part.
constexpr double roundingTolerance = 1e-9;
// Longest time that is predicted. It keeps the conversion to a duration in range.
constexpr double maxPredictedSeconds = 3600;
// Accepted work is averaged over about this time, so that a burst of more urgent requests counts
// while it lasts.
constexpr double acceptedWindowSeconds = 2;
// More urgent arrivals that exceed the rate are refused in part, so that some of it remains.
constexpr double minRateShare = 0.05;

duration toDuration(double seconds)
{
    return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(std::min(seconds, maxPredictedSeconds)));
}

} // namespace

rank_queue::rank_queue(rank_queue_settings settings)
    : m_settings(settings)
{
}

push_result rank_queue::push(waiting_request request, time_point now, double servedPerSecond)
{
    request.rank = clampRank(request.rank);
    if (request.hasBegun) {
        m_begun.push_back(std::move(request));
        ++m_size;
        return {};
    }
    const duration wait
            = predictedWait(request.workspace, request.rank, request.work, now, servedPerSecond);
    if (now + wait > request.latestStart)
        return { push_outcome::TooLate, std::nullopt };
    push_result result;
    if (m_size - m_begun.size() >= m_settings.maxWaiting) {
        result.displaced = displaceFor(request.rank);
        if (!result.displaced)
            return { push_outcome::QueueFull, std::nullopt };
    }
    recordAccepted(request.rank, request.work, now);
    rank_state &state = m_ranks[static_cast<std::size_t>(request.rank)];
    workspace_queue &owner = state.workspaces[request.workspace];
    if (owner.requests.empty())
        owner.start = std::max(owner.start, state.virtualTime);
    owner.work += request.work;
    state.work += request.work;
    ++state.waiting;
    ++m_size;
    owner.requests.push_back(std::move(request));
    return result;
}

void rank_queue::recordAccepted(int rank, double work, time_point now)
{
    rank_state &state = m_ranks[static_cast<std::size_t>(clampRank(rank))];
    state.acceptedPerSecond = acceptedPerSecond(rank, now) + work / acceptedWindowSeconds;
    state.acceptedAt = now;
}

double rank_queue::acceptedPerSecond(int rank, time_point now) const
{
    const rank_state &state = m_ranks[static_cast<std::size_t>(clampRank(rank))];
    if (state.acceptedPerSecond <= 0)
        return 0;
    const double elapsed = std::chrono::duration<double>(now - state.acceptedAt).count();
    return state.acceptedPerSecond * std::exp(-std::max(0.0, elapsed) / acceptedWindowSeconds);
}

std::optional<std::uint64_t> rank_queue::displaceFor(int rank)
{
    int least = rankCount - 1;
    while (least > rank && m_ranks[static_cast<std::size_t>(least)].waiting == 0)
        --least;
    if (least <= rank)
        return std::nullopt;
    // Ids increase with the arrivals.
    workspace_queue *newest = nullptr;
    for (auto &[name, owner] : m_ranks[static_cast<std::size_t>(least)].workspaces) {
        const bool isNewer
                = !owner.requests.empty()
                  && (newest == nullptr || owner.requests.back().id > newest->requests.back().id);
        newest = isNewer ? &owner : newest;
    }
    const std::uint64_t id = newest->requests.back().id;
    eraseAt(least, *newest, std::prev(newest->requests.end()));
    return id;
}

const rank_queue::named_queue &rank_queue::nextWorkspace(const rank_state &state)
{
    const named_queue *best = nullptr;
    for (const named_queue &each : state.workspaces) {
        const workspace_queue &owner = each.second;
        if (owner.requests.empty())
            continue;
        const bool isEarlier = best == nullptr || owner.start < best->second.start
                               || (owner.start == best->second.start
                                   && owner.requests.front().id < best->second.requests.front().id);
        best = isEarlier ? &each : best;
    }
    return *best;
}

const waiting_request &rank_queue::headOf(int rank) const
{
    return nextWorkspace(m_ranks[static_cast<std::size_t>(rank)]).second.requests.front();
}

bool rank_queue::hasWaitingBelow(int rank) const
{
    return std::any_of(m_ranks.begin() + rank + 1, m_ranks.end(),
                       [](const rank_state &state) { return state.waiting > 0; });
}

// Returns -1 if no request waits that has not begun.
int rank_queue::chooseRank() const
{
    int chosen = -1;
    for (int rank = rankCount - 1; rank >= 0; --rank) {
        const rank_state &state = m_ranks[static_cast<std::size_t>(rank)];
        if (state.waiting == 0)
            continue;
        // What this rank gives up for the request must be owed before, so that its requests are
        // delayed as little as possible.
        const bool isLowerOwed = chosen >= 0 && m_settings.lowerRankShare > 0
                                 && state.owedToLower >= headOf(chosen).work
                                                                 * (1 - m_settings.lowerRankShare)
                                                                 * (1 - roundingTolerance);
        chosen = isLowerOwed ? chosen : rank;
    }
    return chosen;
}

const waiting_request *rank_queue::front() const
{
    if (!m_begun.empty())
        return &m_begun.front();
    const int rank = chooseRank();
    return rank < 0 ? nullptr : &headOf(rank);
}

void rank_queue::chargeRanks(int admitted, double work)
{
    const double share = m_settings.lowerRankShare;
    for (int rank = 0; rank <= admitted; ++rank) {
        rank_state &state = m_ranks[static_cast<std::size_t>(rank)];
        if (rank == admitted)
            state.owedToLower += hasWaitingBelow(rank) ? share * work : 0;
        else if (state.waiting > 0)
            state.owedToLower -= (1 - share) * work;
    }
}

void rank_queue::popFront()
{
    if (!m_begun.empty()) {
        m_begun.pop_front();
        --m_size;
        return;
    }
    const int rank = chooseRank();
    if (rank < 0)
        return;
    rank_state &state = m_ranks[static_cast<std::size_t>(rank)];
    workspace_queue &owner = state.workspaces[nextWorkspace(state).first];
    const double work = owner.requests.front().work;
    chargeRanks(rank, work);
    state.virtualTime = owner.start;
    owner.start += work;
    eraseAt(rank, owner, owner.requests.begin());
}

void rank_queue::eraseAt(int rank, workspace_queue &owner, std::deque<waiting_request>::iterator at)
{
    rank_state &state = m_ranks[static_cast<std::size_t>(rank)];
    owner.work -= at->work;
    state.work -= at->work;
    owner.requests.erase(at);
    --state.waiting;
    --m_size;
    if (state.waiting == 0) {
        state.workspaces.clear();
        state.virtualTime = 0;
        state.work = 0;
        return;
    }
    for (auto each = state.workspaces.begin(); each != state.workspaces.end();) {
        const bool isForgotten
                = each->second.requests.empty() && each->second.start <= state.virtualTime;
        each = isForgotten ? state.workspaces.erase(each) : std::next(each);
    }
}

bool rank_queue::remove(std::uint64_t id)
{
    const auto matches = [id](const waiting_request &request) { return request.id == id; };
    const auto begun = std::find_if(m_begun.begin(), m_begun.end(), matches);
    if (begun != m_begun.end()) {
        m_begun.erase(begun);
        --m_size;
        return true;
    }
    for (int rank = 0; rank < rankCount; ++rank) {
        for (auto &[name, owner] : m_ranks[static_cast<std::size_t>(rank)].workspaces) {
            const auto found = std::find_if(owner.requests.begin(), owner.requests.end(), matches);
            if (found == owner.requests.end())
                continue;
            eraseAt(rank, owner, found);
            return true;
        }
    }
    return false;
}

std::size_t rank_queue::waitingOf(int rank) const
{
    return m_ranks[static_cast<std::size_t>(clampRank(rank))].waiting;
}

double rank_queue::workOf(int rank) const
{
    return m_ranks[static_cast<std::size_t>(clampRank(rank))].work;
}

duration rank_queue::predictedWait(const std::string &workspace, int rank, double work,
                                   time_point now, double servedPerSecond) const
{
    if (servedPerSecond <= 0)
        return {};
    double begun = 0;
    for (const waiting_request &request : m_begun)
        begun += request.work;
    const auto &workspaces = m_ranks[static_cast<std::size_t>(rank)].workspaces;
    const auto own = workspaces.find(workspace);
    const double ownWork = own == workspaces.end() ? 0 : own->second.work;
    // Each other workspace is served as much as this one until the request begins.
    double sameRank = ownWork;
    for (const auto &[name, owner] : workspaces)
        sameRank += name == workspace ? 0 : std::min(owner.work, ownWork + work);
    double moreUrgent = 0;
    double arriving = 0; // more urgent work per second that overtakes the request
    double guaranteed = hasWaitingBelow(rank) ? 1 - m_settings.lowerRankShare : 1;
    const double unshared = servedPerSecond * guaranteed;
    for (int other = 0; other < rank; ++other) {
        moreUrgent += workOf(other);
        arriving += acceptedPerSecond(other, now);
        guaranteed *= waitingOf(other) > 0 ? m_settings.lowerRankShare : 1;
    }
    const double rate = std::max(unshared - arriving, unshared * minRateShare);
    double seconds = (begun + moreUrgent + sameRank) / rate;
    // A rank with a guaranteed share does not wait until the more urgent ones are empty.
    if (guaranteed > 0)
        seconds = std::min(seconds, begun / servedPerSecond
                                            + (sameRank + work) / (servedPerSecond * guaranteed));
    return toDuration(seconds);
}

double admissibleWork(double free, double peersMoreUrgent, double own, double peersSameRank,
                      double lowerRankShare)
{
    if (free <= 0 || own <= 0)
        return 0;
    const double left = std::max(free - peersMoreUrgent, free * lowerRankShare);
    return left * own / (own + peersSameRank);
}

} // namespace fescuedeck
