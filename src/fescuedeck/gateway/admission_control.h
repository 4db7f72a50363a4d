// Decides when the requests of this gateway that need room at engines may begin.
//
// If the configuration holds different ranks, requests wait in one rank_queue for each service. The
// front of a queue looks for free cache, which is shared with the peers by the waiting work that
// their digests report. After a share of its time that grows with its rank, a request looks for
// itself and accepts a fuller cache, regardless of the order and of the peers. If all ranks are
// equal, each request waits for itself.
#ifndef FESCUEDECK_GATEWAY_ADMISSION_CONTROL_H
#define FESCUEDECK_GATEWAY_ADMISSION_CONTROL_H

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/admission/rank_queue.h"
#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/gateway_settings.h"
#include "fescuedeck/peer/peer_message.h"
#include "fescuedeck/router/wait_event.h"
#include "fescuedeck/telemetry/metrics.h"

namespace fescuedeck {

// A request that has not begun. The fill of a destination is the used share of its usable cache.
struct admission_request
{
    std::string service;
    std::string workspace;
    int rank = 0;
    double work = 0;          // predicted, in tokens
    time_point latestStart{}; // the request is refused if it has not begun by then
    double firstFill = 0;     // of the best destination now
    // Chooses the best destination again and returns its fill; empty if there is none.
    std::function<std::optional<double>()> fill;
    // Tokens that all gateways together may add to the service until its caches are filled to the
    // given share.
    std::function<double(double maxFill)> freeTokens;
    std::function<bool()> hasCallerLeft;
};

enum class admission_outcome {
    Admitted,      // to the destination that was chosen last
    NoDestination, // no destination is usable
    Refused,       // no room within the time of the request, or the queue is full
    CallerLeft,
};

// Not thread-safe.
class admission_control
{
public:
    // All arguments must outlive this object.
    admission_control(const gateway_settings &settings, metrics &counters, const random_fn &random);

    // Suspends the coroutine until the request is admitted or refused, at latestStart at the
    // latest. Refuses at once what cannot begin now if the queue is full, if latestStart has
    // passed, or if the best destination is much too full and the work ahead takes too long. The
    // caller must count the work of an admitted request as in flight before it suspends the
    // coroutine again.
    admission_outcome admit(const admission_request &request, boost::asio::yield_context yield);
    // The same without ranks: waits until a destination has room. At latestStart, a destination
    // that is not much too full is accepted.
    admission_outcome waitForRoom(const admission_request &request,
                                  boost::asio::yield_context yield);
    // Suspends the coroutine until room may have become free at the service, for 20 ms at most.
    void sleepUntilChange(const std::string &service, boost::asio::yield_context yield);

    // The endpoints or the digests of peers have changed.
    void onRoomChanged();
    // The caller of a request that waits may have left.
    void onCallerLeft(const std::string &service);
    // Sets what peers report as waiting, without this gateway's own work.
    void setPeersWaiting(waiting_work waiting) { m_peersWaiting = std::move(waiting); }
    // What waits at this gateway.
    waiting_work waiting() const;
    // Expected time until a new request could begin; zero while it is unknown.
    duration predictedWait(const std::string &service, const std::string &workspace, int rank,
                           double work) const;

private:
    friend class running_work;

    struct waiter
    {
        std::optional<wait_event> event; // set while the coroutine sleeps
        bool isDisplaced = false;
    };
    // The right of this gateway to a part of the free capacity, for one rank.
    struct allowance
    {
        double tokens = 0;
        time_point renewsAt{};
    };
    struct service_state
    {
        rank_queue queue;
        std::map<std::uint64_t, waiter> waiters; // of the queue, by id
        std::set<waiter *> unranked;
        std::array<allowance, rankCount> allowances;
        double workInFlight = 0;
        double meanSeconds = 0; // of attempts that were answered, smoothed
        int samples = 0;
        std::set<int> ranksWithGauge;
        bool isRefusing = false;
        time_point refusedAt{};

        double servedPerSecond() const;
    };

    admission_outcome waitInQueue(service_state &state, std::uint64_t id,
                                  const admission_request &request,
                                  boost::asio::yield_context yield);
    bool mayBegin(service_state &state, const admission_request &request, double fill,
                  double maxFill, time_point now);
    static void sleep(waiter &sleeper, time_point until, boost::asio::yield_context yield);
    static void wake(waiter &sleeper);
    static void wakeFront(service_state &state);
    void addGauge(const std::string &service, int rank);
    void recordAdmitted(service_state &state, const admission_request &request, duration waited);
    void recordRefused(service_state &state, const admission_request &request, const char *reason);

    const gateway_settings &m_settings;
    metrics &m_counters;
    const random_fn &m_random;
    std::map<std::string, service_state> m_services;
    waiting_work m_peersWaiting;
    std::uint64_t m_lastId = 0;
};

// Counts the work of one attempt as in flight at the service while this object lives.
class running_work
{
public:
    running_work(admission_control &admission, std::string service, double work);
    ~running_work();
    running_work(const running_work &) = delete;
    running_work &operator=(const running_work &) = delete;

    // The attempt has been answered, so that its time says how fast the service works.
    void setAnswered() { m_isAnswered = true; }

private:
    admission_control &m_admission;
    const std::string m_service;
    const double m_work;
    const time_point m_begunAt;
    bool m_isAnswered = false;
};

} // namespace fescuedeck

#endif
