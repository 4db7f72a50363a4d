// Simulates calls with an Idempotency-Key on virtual time, with four routers, a log and a service
// that all fail at random. The seed determines the whole schedule.
#include "fescuedeck/claims/idempotent_call.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>

#include <catch2/catch.hpp>

#include "fescuedeck/base/ids.h"
#include "fescuedeck/stream/virtual_schedule.h"

namespace fescuedeck {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int routerCount = 4;
constexpr unix_millis logRetention = seconds(60);
constexpr duration callDeadline = seconds(2);

call_policy testPolicy()
{
    call_policy policy;
    policy.keyWindow = seconds(40);
    policy.maxAppendAttempts = 20;
    return policy;
}

claim_table_settings testTableSettings()
{
    claim_table_settings settings;
    settings.keepFor = seconds(48);
    return settings;
}

struct call_counts
{
    int ran = 0, notRun = 0, unknown = 0, executions = 0, storedAnswers = 0, kills = 0, pauses = 0;
    std::map<std::string, int> errors;
};

class call_simulation
{
public:
    call_simulation(std::uint64_t seed, call_counts &counts)
        : m_schedule(seed)
        , m_counts(counts)
    {
        for (int i = 0; i < routerCount; ++i) {
            m_routers[i].skew = milliseconds(m_schedule.below(800) - 400);
            startRouter(i);
        }
        m_faultRate = m_schedule.chance(0.2) ? 0.0 : 0.3 * uniformReal(m_schedule.random());
    }

    violations run()
    {
        const int keys = 1 + m_schedule.below(3);
        for (int i = 0; i < keys; ++i)
            m_schedule.after(milliseconds(m_schedule.below(3000)),
                             [this] { scheduleCallsWithNewKey(); });
        const int faults = m_schedule.below(6);
        for (int i = 0; i < faults; ++i)
            m_schedule.after(milliseconds(m_schedule.below(4000)), [this] { injectFault(); });
        m_schedule.run(time_point(seconds(200)));
        for (const auto &sent : m_sentCalls)
            checkSentCall(*sent);
        for (const auto &executed : m_executions)
            m_counts.executions += executed.second;
        return m_violations;
    }

private:
    // A call that a caller has sent to one router.
    struct sent_call
    {
        // Calls with the same request are copies of each other: it contains the key and identifies
        // the content.
        std::string key, request, attempt;
        time_point sentAt;
        std::optional<answer_caller> answer;
        time_point answeredAt;
        bool wasExecuted = false;
        bool isLost = false; // its router was killed before it answered
        std::unique_ptr<idempotent_call> call;
        int router = 0, incarnation = 0;
    };
    struct router
    {
        int incarnation = 0;
        time_point pausedSince, pausedUntil;
        unix_millis skew{ 0 };
        std::unique_ptr<claim_table> table;
        std::vector<std::shared_ptr<sent_call>> calls;
    };

    unix_millis wall(int index) const { return m_schedule.wall() + m_routers[index].skew; }
    call_time now(int index) const { return { m_schedule.now(), wall(index) }; }
    bool isBefore(time_point until) const { return m_schedule.now() < until; }
    duration networkDelay() { return m_schedule.between(milliseconds(1), milliseconds(4)); }
    // A random delay, because the events that wait for the end of a pause are handled in any order.
    duration resumeDelay() { return duration(m_schedule.below(3000)); }
    bool hasFault() { return m_schedule.chance(m_faultRate); }

    // Runs the event after the delay, or after the pause if the router is paused by then. Drops the
    // event if the router has been killed in the meantime.
    void atRouter(int index, duration delay, const std::function<void()> &event)
    {
        const int incarnation = m_routers[index].incarnation;
        m_schedule.after(delay, [this, index, incarnation, event] {
            if (m_routers[index].incarnation != incarnation)
                return;
            if (isBefore(m_routers[index].pausedUntil))
                atRouter(index, m_routers[index].pausedUntil - m_schedule.now() + resumeDelay(),
                         event);
            else
                event();
        });
    }

    void startRouter(int index)
    {
        router &started = m_routers[index];
        ++started.incarnation;
        started.pausedSince = started.pausedUntil = {};
        started.calls.clear();
        started.table = std::make_unique<claim_table>(testTableSettings(), firstRetainedOffset());
        readLog(index);
    }

    std::int64_t firstRetainedOffset() const
    {
        std::int64_t first = 0;
        while (first < static_cast<std::int64_t>(m_log.size())
               && m_log[first].time + logRetention < m_schedule.wall())
            ++first;
        return first;
    }

    // Applies new records of the log, notifies the open calls, and schedules the next read.
    void readLog(int index)
    {
        router &reader = m_routers[index];
        reader.table->expire(wall(index));
        if (!isBefore(m_logDownUntil)) {
            std::int64_t next = std::max(reader.table->nextOffset(), firstRetainedOffset());
            for (; next < static_cast<std::int64_t>(m_log.size()); ++next)
                reader.table->apply(m_log[next]);
        }
        bool hasOpenCalls = false;
        const auto calls = reader.calls;
        for (const auto &sent : calls) {
            if (sent->call->hasEnded())
                continue;
            hasOpenCalls = true;
            executeActions(sent, sent->call->logRead(now(index), *reader.table));
        }
        const duration readInterval = milliseconds(hasOpenCalls ? 5 + m_schedule.below(40) : 500);
        if (m_schedule.now() < time_point(seconds(190)))
            atRouter(index, readInterval, [this, index] { readLog(index); });
    }

    void injectFault()
    {
        const int index = m_schedule.below(routerCount);
        switch (m_schedule.below(4)) {
        case 0:
            ++m_counts.kills;
            for (const auto &sent : m_routers[index].calls)
                abortCall(*sent);
            startRouter(index);
            break;
        case 1:
        case 2:
            ++m_counts.pauses;
            m_routers[index].pausedUntil
                    = m_schedule.now()
                      + milliseconds(m_schedule.chance(0.2) ? 60000 : m_schedule.below(8000));
            break;
        default:
            m_logDownUntil = m_schedule.now() + milliseconds(m_schedule.below(6000));
        }
    }

    void abortCall(sent_call &aborted)
    {
        aborted.isLost = !aborted.answer;
        if (aborted.isLost)
            retryCall(aborted.key, aborted.request);
    }

    void scheduleCallsWithNewKey()
    {
        const std::vector<int> ages = { 0, 0, 0, 0, 3000, -3000, -8000, -20000 };
        const unix_millis created
                = m_schedule.wall()
                  - milliseconds(ages[m_schedule.below(static_cast<int>(ages.size()))]);
        const std::string key = makeUuidV7(created, m_schedule.random());
        const int copies = m_schedule.chance(0.5) ? 1 : 1 + m_schedule.below(routerCount);
        for (int i = 0; i < copies; ++i)
            scheduleCall(key, key + "#a", milliseconds(m_schedule.below(3)));
        if (m_schedule.chance(0.1)) // a different request with the same key
            scheduleCall(key, key + "#b", milliseconds(m_schedule.below(1000)));
        for (const int late : { 5000, 30000, 42000, 55000, 100000 }) {
            if (m_schedule.chance(0.3))
                scheduleCall(key, key + "#a", milliseconds(late + m_schedule.below(3000)));
        }
    }

    void scheduleCall(const std::string &key, const std::string &request, duration delay)
    {
        m_schedule.after(delay, [this, key, request] { send(key, request); });
    }

    // Lets a caller that got no answer, or was told that it may retry, send the call again. Each
    // request is retried at most four times.
    void retryCall(const std::string &key, const std::string &request)
    {
        if (m_retries[request]++ < 4)
            scheduleCall(key, request,
                         milliseconds(m_schedule.below(m_schedule.chance(0.5) ? 20 : 8000)));
    }

    void send(const std::string &key, const std::string &request)
    {
        auto sent = std::make_shared<sent_call>();
        sent->key = key;
        sent->request = request;
        sent->attempt = "t" + std::to_string(m_sentCalls.size());
        sent->sentAt = m_schedule.now();
        sent->router = m_schedule.below(routerCount);
        m_sentCalls.push_back(sent);
        sent->incarnation = m_routers[sent->router].incarnation;
        const int index = sent->router;
        m_routers[index].calls.push_back(sent);
        m_schedule.after(networkDelay(), [this, sent, index] {
            // A paused router reads the request after its pause, but it knows when the pause began.
            const router &reader = m_routers[index];
            const bool isPaused = isBefore(reader.pausedUntil);
            const duration paused = isPaused ? m_schedule.now() - reader.pausedSince : duration(0);
            const call_time since{ m_schedule.now() - paused,
                                   wall(index) - std::chrono::duration_cast<unix_millis>(paused) };
            atRouter(index, duration(0),
                     [this, sent, index, since] { accept(sent, index, since); });
        });
        // A caller that gets no answer within its timeout retries on another router.
        m_schedule.after(callDeadline + seconds(1), [this, sent] {
            if (!sent->answer && !sent->isLost)
                retryCall(sent->key, sent->request);
        });
        sent->call = std::make_unique<idempotent_call>(call_spec{}); // not started until accepted
    }

    void accept(const std::shared_ptr<sent_call> &sent, int index, const call_time &since)
    {
        call_spec spec;
        spec.attempt = sent->attempt;
        spec.router = std::to_string(index) + "." + std::to_string(sent->incarnation);
        spec.workspace = "w";
        spec.key = sent->key;
        spec.fingerprint = sent->request;
        spec.accepted = since;
        spec.deadline
                = { spec.accepted.steady + callDeadline,
                    spec.accepted.wall + std::chrono::duration_cast<unix_millis>(callDeadline) };
        spec.policy = testPolicy();
        sent->call = std::make_unique<idempotent_call>(spec);
        executeActions(sent, sent->call->start(now(index), m_routers[index].table.get()));
        atRouter(index, callDeadline, [this, sent, index] {
            executeActions(sent, sent->call->deadlinePassed(now(index)));
        });
    }

    void executeActions(const std::shared_ptr<sent_call> &sent, const call_actions &actions)
    {
        for (const call_action &action : actions)
            std::visit([&](const auto &one) { handle(sent, one); }, action);
    }

    // There are three cases: the record is lost, it is stored, or it is stored but the response is
    // lost. In each of the last two cases the record may be stored late.
    void handle(const std::shared_ptr<sent_call> &sent, const append_record &record)
    {
        const int index = sent->router;
        atRouter(index, record.delay, [this, sent, index, record] {
            const bool isStored = !isBefore(m_logDownUntil) && !hasFault();
            const bool isAnswered = isStored && !hasFault();
            const duration storeDelay
                    = hasFault() ? milliseconds(m_schedule.below(5000)) : networkDelay();
            if (isStored)
                m_schedule.after(storeDelay, [this, record] { store(record); });
            atRouter(index, isAnswered ? storeDelay + networkDelay() : milliseconds(100),
                     [this, sent, index, record, isAnswered] {
                         executeActions(sent, isAnswered ? sent->call->recordAppended(
                                                      now(index), record.id, m_offsets[record.id])
                                                         : sent->call->appendFailed(now(index),
                                                                                    record.id));
                     });
        });
    }

    void store(const append_record &record)
    {
        const auto offset = static_cast<std::int64_t>(m_log.size());
        m_offsets[record.id] = offset;
        m_log.push_back({ offset, record.id, m_schedule.wall(), record.body });
    }

    void handle(const std::shared_ptr<sent_call> & /*sent*/, const read_log & /*read*/) {}

    void handle(const std::shared_ptr<sent_call> &sent, const open_connection & /*open*/)
    {
        const int index = sent->router;
        const bool isReady = !hasFault();
        const duration time = hasFault() ? milliseconds(m_schedule.below(4000)) : networkDelay();
        atRouter(index, time, [this, sent, index, isReady] {
            executeActions(sent, isReady ? sent->call->connectionReady(now(index))
                                         : sent->call->connectionFailed(now(index)));
        });
    }

    void handle(const std::shared_ptr<sent_call> &sent, const send_request & /*send*/)
    {
        const int index = sent->router;
        // The router may be paused or killed between its check of the deadline and the write.
        atRouter(index, duration(m_schedule.below(500)), [this, sent, index] {
            if (hasFault()) {
                atRouter(index, networkDelay(), [this, sent, index] {
                    executeActions(sent, m_schedule.chance(0.5)
                                                 ? sent->call->responseLost(now(index), false)
                                                 : sent->call->refused(now(index)));
                });
                return;
            }
            m_schedule.after(networkDelay(),
                             [this, sent, index] { executeAtService(sent, index); });
        });
    }

    void executeAtService(const std::shared_ptr<sent_call> &sent, int index)
    {
        const bool failsBeforeExecution = hasFault();
        const bool failsAfterExecution = hasFault();
        if (!failsBeforeExecution) {
            sent->wasExecuted = true;
            if (++m_executions[sent->key] > 1)
                m_violations.push_back(sent->key + " was executed more than once");
        }
        const stored_answer answer{
            201, "text/plain", sent->attempt + std::string(m_schedule.chance(0.2) ? 3000 : 1, 'x')
        };
        if (!failsBeforeExecution)
            m_firstAnswer.emplace(sent->key, answer);
        const duration time = milliseconds(m_schedule.chance(0.1) ? 2500 : 5);
        atRouter(index, time,
                 [this, sent, index, answer, isLost = failsBeforeExecution || failsAfterExecution] {
                     executeActions(sent,
                                    isLost ? sent->call->responseLost(now(index), true)
                                           : sent->call->responseReceived(now(index), answer));
                 });
    }

    void handle(const std::shared_ptr<sent_call> &sent, const ask_claimant &ask)
    {
        const int index = sent->router;
        const int target = ask.router[0] - '0';
        const bool isAlive
                = ask.router
                  == std::to_string(target) + "." + std::to_string(m_routers[target].incarnation);
        const bool isReachable = isAlive && !isBefore(m_routers[target].pausedUntil) && !hasFault();
        std::optional<peer_outcome> outcome;
        if (isReachable) {
            for (const auto &other : m_routers[target].calls) {
                if (other != sent && other->key == sent->key
                    && (!outcome || outcome->status != peer_call_status::Completed))
                    outcome = other->call->outcomeForPeer();
            }
        }
        atRouter(index, networkDelay() * 2, [this, sent, index, outcome] {
            executeActions(sent, sent->call->outcomeFromPeer(now(index), outcome));
        });
    }

    void handle(const std::shared_ptr<sent_call> &sent, const answer_caller &answer)
    {
        if (sent->answer)
            m_violations.push_back(sent->attempt + " was answered twice");
        sent->answer = answer;
        sent->answeredAt = m_schedule.now();
        if (answer.outcome == call_outcome::Ran && !sent->wasExecuted)
            ++m_counts.storedAnswers;
        if (answer.outcome == call_outcome::Ran && m_executions[sent->key] != 1)
            m_violations.push_back(sent->attempt
                                   + ": reported ran, but was not executed exactly once");
        if (answer.response && !(*answer.response == m_firstAnswer[sent->key]))
            m_violations.push_back(sent->attempt + ": the answer differs from the first one");
        if (answer.retryAfter && m_schedule.chance(0.5))
            retryCall(sent->key, sent->request);
    }

    void checkSentCall(const sent_call &sent)
    {
        if (!sent.answer) {
            if (!sent.isLost && !isBefore(m_routers[sent.router].pausedUntil))
                m_violations.push_back(sent.attempt + " got no answer");
            return;
        }
        m_counts.ran += sent.answer->outcome == call_outcome::Ran ? 1 : 0;
        m_counts.notRun += sent.answer->outcome == call_outcome::NotRun ? 1 : 0;
        m_counts.unknown += sent.answer->outcome == call_outcome::Unknown ? 1 : 0;
        if (sent.answer->error)
            ++m_counts.errors[sent.answer->error->message()];
        if (sent.answer->outcome != call_outcome::NotRun)
            return;
        // Copies that the caller sent before it got this answer must not run on any router.
        for (const auto &other : m_sentCalls) {
            if (other->request == sent.request && other->wasExecuted
                && other->sentAt <= sent.answeredAt)
                m_violations.push_back(sent.attempt + ": reported not-run, but " + other->attempt
                                       + " ran");
        }
    }

    virtual_schedule m_schedule;
    call_counts &m_counts;
    double m_faultRate = 0;
    std::array<router, routerCount> m_routers;
    std::vector<log_record> m_log;
    std::map<std::string, std::int64_t> m_offsets;
    time_point m_logDownUntil;
    std::vector<std::shared_ptr<sent_call>> m_sentCalls;
    std::map<std::string, int> m_retries, m_executions;
    std::map<std::string, stored_answer> m_firstAnswer;
    violations m_violations;
};

} // namespace

TEST_CASE("calls with a key run at most once and report true outcomes", "[claims][schedule]")
{
    // Guards against a call that runs twice, or whose reported outcome is wrong, when callers retry
    // it on other routers while routers, log and service fail. The effect would be lost or
    // duplicated signatures and reservations.
    call_counts counts;
    const violations found = runSeeds(
            6000, [&](std::uint64_t seed) { return call_simulation(seed, counts).run(); });
    INFO(summaryOf(found));
    CHECK(found.empty());
    if (runsOneSeed())
        return;
    for (const auto &error : counts.errors)
        UNSCOPED_INFO(error.second << " " << error.first);
    CHECK(counts.executions > 4000);
    CHECK(counts.ran > 4000);
    CHECK(counts.storedAnswers > 1000);
    CHECK(counts.notRun > 500);
    CHECK(counts.unknown > 1000);
    CHECK(counts.kills > 1000);
    CHECK(counts.pauses > 1000);
}

} // namespace fescuedeck
