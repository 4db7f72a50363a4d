#include "fescuedeck/gateway/admission_control.h"

#include <algorithm>
#include <utility>

#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {
namespace {

// A request waits while the usable cache of its chain is filled beyond this share.
constexpr double maxAdmittedFill = 1;
// If the cache is filled beyond this share after the wait, the request is refused. The caller
// retries it later, when there may be capacity.
constexpr double maxFillAfterWait = 1.3;
// A request waits for free cache for a share of its latency objective, and then accepts a
// destination up to maxFillAfterWait, because it would be late otherwise. Less urgent requests wait
// longer and so leave the free cache to more urgent ones.
constexpr double firstRankWaitShare = 0.125;
constexpr double waitSharePerRank = 0.1875;
constexpr double maxWaitShare = 0.5;
// Suspicions expire without an event, so that waiting requests also look for room this often.
constexpr duration fallbackInterval = std::chrono::milliseconds(20);
// All requests that accept a fuller cache look for it, and each look searches for a chain. Hosts
// with a small share of a core could not afford that for a long queue at the interval above.
constexpr duration crowdedInterval = std::chrono::milliseconds(100);
// Peers report their waiting work this often within a failure domain.
constexpr duration allowanceInterval = std::chrono::milliseconds(300);
// The time of an attempt is uncertain before this many were answered.
constexpr int minSamples = 5;
constexpr double sampleWeight = 0.1;
// A queue that has refused nothing for this long has stopped refusing.
constexpr duration refusingPeriod = std::chrono::seconds(5);

} // namespace

admission_control::admission_control(const gateway_settings &settings, metrics &counters,
                                     const random_fn &random)
    : m_settings(settings)
    , m_counters(counters)
    , m_random(random)
{
}

double admission_control::service_state::servedPerSecond() const
{
    return samples < minSamples || meanSeconds <= 0 ? 0 : workInFlight / meanSeconds;
}

void admission_control::sleep(waiter &sleeper, time_point until, boost::asio::yield_context yield)
{
    const wait_event event(yield);
    sleeper.event = event;
    event.waitUntil(until, yield);
    sleeper.event.reset();
}

void admission_control::wake(waiter &sleeper)
{
    if (sleeper.event)
        sleeper.event->set();
}

void admission_control::wakeFront(service_state &state)
{
    const waiting_request *front = state.queue.front();
    if (front != nullptr)
        wake(state.waiters.at(front->id));
}

void admission_control::sleepUntilChange(const std::string &service,
                                         boost::asio::yield_context yield)
{
    service_state &state = m_services[service];
    waiter sleeper;
    state.unranked.insert(&sleeper);
    sleep(sleeper, steadyNow() + fallbackInterval, yield);
    state.unranked.erase(&sleeper);
}

admission_outcome admission_control::waitForRoom(const admission_request &request,
                                                 boost::asio::yield_context yield)
{
    std::optional<double> fill = request.firstFill;
    while (fill && *fill > maxAdmittedFill && steadyNow() < request.latestStart
           && !request.hasCallerLeft()) {
        sleepUntilChange(request.service, yield);
        fill = request.fill();
    }
    if (!fill)
        return admission_outcome::NoDestination;
    return *fill <= maxFillAfterWait ? admission_outcome::Admitted : admission_outcome::Refused;
}

admission_outcome admission_control::admit(const admission_request &request,
                                           boost::asio::yield_context yield)
{
    service_state &state = m_services[request.service];
    const time_point now = steadyNow();
    state.queue.setLowerRankShare(m_settings.lowerRankShare);
    const bool mayBeginAtOnce
            = state.queue.isEmpty()
              && mayBegin(state, request, request.firstFill, maxAdmittedFill, now);
    if (mayBeginAtOnce) {
        state.queue.recordAccepted(request.rank, request.work, now);
        recordAdmitted(state, request, {});
        return admission_outcome::Admitted;
    }
    const std::uint64_t id = ++m_lastId;
    // While chains accept requests after a wait, the rate of completed work limits nothing.
    const bool acceptsAfterWait = request.firstFill <= maxFillAfterWait;
    const push_result pushed = state.queue.push(
            { id, request.workspace, request.rank, request.work, false, request.latestStart }, now,
            acceptsAfterWait ? 0 : state.servedPerSecond());
    if (pushed.outcome != push_outcome::Waiting) {
        const bool isFull = pushed.outcome == push_outcome::QueueFull;
        recordRefused(state, request, isFull ? "queue_full" : "too_late");
        return admission_outcome::Refused;
    }
    if (pushed.displaced) {
        waiter &displaced = state.waiters.at(*pushed.displaced);
        displaced.isDisplaced = true;
        wake(displaced);
    }
    addGauge(request.service, request.rank);
    state.waiters.try_emplace(id);
    wakeFront(state); // a new request or share may have changed which one is the front
    const admission_outcome outcome = waitInQueue(state, id, request, yield);
    state.waiters.erase(id);
    if (outcome == admission_outcome::Admitted)
        recordAdmitted(state, request, steadyNow() - now);
    wakeFront(state);
    return outcome;
}

namespace {

// How long the request waits for a destination up to maxAdmittedFill.
duration waitForFreeCache(const admission_request &request, time_point now)
{
    const double share
            = std::min(maxWaitShare, firstRankWaitShare + waitSharePerRank * request.rank);
    return std::chrono::duration_cast<duration>((request.latestStart - now) * share);
}

} // namespace

admission_outcome admission_control::waitInQueue(service_state &state, std::uint64_t id,
                                                 const admission_request &request,
                                                 boost::asio::yield_context yield)
{
    waiter &self = state.waiters.at(id);
    const time_point queuedAt = steadyNow();
    const time_point acceptsMoreFrom = queuedAt + waitForFreeCache(request, queuedAt);
    bool isFirstLook = true;
    while (true) {
        const time_point now = steadyNow();
        if (self.isDisplaced) {
            recordRefused(state, request, "queue_full");
            return admission_outcome::Refused;
        }
        if (request.hasCallerLeft()) {
            state.queue.remove(id);
            return admission_outcome::CallerLeft;
        }
        const bool isFront = state.queue.front()->id == id;
        const bool acceptsMore = now >= acceptsMoreFrom;
        if (isFront || acceptsMore) {
            const std::optional<double> fill
                    = isFirstLook ? std::optional<double>(request.firstFill) : request.fill();
            if (!fill) {
                state.queue.remove(id);
                return admission_outcome::NoDestination;
            }
            if (isFront && mayBegin(state, request, *fill, maxAdmittedFill, now)) {
                state.queue.popFront();
                return admission_outcome::Admitted;
            }
            if (acceptsMore && *fill <= maxFillAfterWait) {
                state.queue.remove(id);
                return admission_outcome::Admitted;
            }
        }
        isFirstLook = false;
        if (now >= request.latestStart) {
            state.queue.remove(id);
            recordRefused(state, request, "expired");
            return admission_outcome::Refused;
        }
        // The others are woken when they become the front.
        time_point nextLook = acceptsMoreFrom;
        if (isFront)
            nextLook = now + fallbackInterval;
        else if (acceptsMore)
            nextLook = now + crowdedInterval;
        sleep(self, std::min(nextLook, request.latestStart), yield);
    }
}

// Takes from the allowance of the rank if the result is true.
bool admission_control::mayBegin(service_state &state, const admission_request &request,
                                 double fill, double maxFill, time_point now)
{
    if (fill > maxFill)
        return false;
    double moreUrgent = 0;
    double sameRank = 0;
    for (int rank = 0; rank <= request.rank; ++rank) {
        const auto found = m_peersWaiting.find({ request.service, rank });
        if (found != m_peersWaiting.end())
            (rank < request.rank ? moreUrgent : sameRank) += found->second;
    }
    allowance &allowed = state.allowances[static_cast<std::size_t>(request.rank)];
    if (moreUrgent + sameRank <= 0) {
        allowed = {};
        return true;
    }
    if (now >= allowed.renewsAt) {
        // A part of the capacity that is too small for one request adds up. It begins at a random
        // level, so that gateways with equal parts do not admit their requests together.
        if (allowed.renewsAt == time_point{})
            allowed.tokens = uniformReal(m_random) * request.work;
        const double own = std::max(state.queue.workOf(request.rank), request.work);
        const double part = admissibleWork(request.freeTokens(maxFill), moreUrgent, own, sameRank,
                                           m_settings.lowerRankShare);
        allowed.tokens = std::min(allowed.tokens + part, std::max(part, request.work));
        allowed.renewsAt = now + allowanceInterval;
    }
    if (allowed.tokens < request.work)
        return false;
    allowed.tokens -= request.work;
    return true;
}

void admission_control::onRoomChanged()
{
    for (auto &[service, state] : m_services) {
        wakeFront(state);
        for (waiter *each : state.unranked)
            wake(*each);
    }
}

void admission_control::onCallerLeft(const std::string &service)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    for (auto &[id, each] : found->second.waiters)
        wake(each);
}

waiting_work admission_control::waiting() const
{
    waiting_work waiting;
    for (const auto &[service, state] : m_services) {
        for (int rank = 0; rank < rankCount; ++rank) {
            if (state.queue.waitingOf(rank) > 0)
                waiting[{ service, rank }] = state.queue.workOf(rank);
        }
    }
    return waiting;
}

duration admission_control::predictedWait(const std::string &service, const std::string &workspace,
                                          int rank, double work) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return {};
    const service_state &state = found->second;
    return state.queue.predictedWait(workspace, rank, work, steadyNow(), state.servedPerSecond());
}

void admission_control::addGauge(const std::string &service, int rank)
{
    service_state &state = m_services[service];
    if (!state.ranksWithGauge.insert(rank).second)
        return;
    m_counters.setGauge(
            "fescuedeck_admission_waiting",
            { { "service", service }, { "rank", std::to_string(rank) } },
            [&state, rank] { return static_cast<double>(state.queue.waitingOf(rank)); });
}

void admission_control::recordAdmitted(service_state &state, const admission_request &request,
                                       duration waited)
{
    m_counters
            .counterOf("fescuedeck_admission_admitted_total",
                       { { "service", request.service }, { "rank", std::to_string(request.rank) } })
            .add();
    m_counters.histogramOf("fescuedeck_admission_wait_seconds", { { "service", request.service } })
            .observe(waited);
    if (state.isRefusing && steadyNow() - state.refusedAt >= refusingPeriod) {
        state.isRefusing = false;
        event_line("admission_accepts").field("service", request.service);
    }
}

void admission_control::recordRefused(service_state &state, const admission_request &request,
                                      const char *reason)
{
    m_counters
            .counterOf("fescuedeck_admission_refused_total",
                       { { "service", request.service },
                         { "rank", std::to_string(request.rank) },
                         { "reason", reason } })
            .add();
    state.refusedAt = steadyNow();
    if (state.isRefusing)
        return;
    state.isRefusing = true;
    event_line("admission_refuses", event_level::Warning)
            .field("service", request.service)
            .field("rank", request.rank)
            .field("reason", reason)
            .field("waiting", static_cast<int>(state.queue.size()));
}

running_work::running_work(admission_control &admission, std::string service, double work)
    : m_admission(admission)
    , m_service(std::move(service))
    , m_work(work)
    , m_begunAt(steadyNow())
{
    m_admission.m_services[m_service].workInFlight += m_work;
}

running_work::~running_work()
{
    admission_control::service_state &state = m_admission.m_services[m_service];
    state.workInFlight = std::max(0.0, state.workInFlight - m_work);
    if (m_isAnswered) {
        const double seconds = std::chrono::duration<double>(steadyNow() - m_begunAt).count();
        const double weight = std::max(sampleWeight, 1.0 / ++state.samples);
        state.meanSeconds += weight * (seconds - state.meanSeconds);
    }
    // The waiting coroutines run after the load of the endpoints has been reduced.
    admission_control::wakeFront(state);
    for (admission_control::waiter *each : state.unranked)
        admission_control::wake(*each);
}

} // namespace fescuedeck
