// One request of a caller on its way through the gateway: attempts, resumption, and the answer.
#ifndef FESCUEDECK_GATEWAY_FORWARDED_CALL_H
#define FESCUEDECK_GATEWAY_FORWARDED_CALL_H

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/gateway/endpoint_choice.h"
#include "fescuedeck/gateway/event_splitter.h"
#include "fescuedeck/gateway/gateway_context.h"
#include "fescuedeck/net/http_server.h"

namespace fescuedeck {

// How one sending ended, as far as repeating it is concerned.
enum class attempt_end {
    Answered,    // the caller has the answer
    NotRun,      // the request has certainly not run
    MayHaveRun,  // it may have run, and there is no usable answer
    Interrupted, // events have reached the caller and more are due
    CallerLeft,
};

// Why a request that has no good answer is not sent again.
enum class give_up_reason {
    NoEndpoint, // none can be used, or none has room
    NoAttempt,  // it must not run again, or its attempts or its time are used up
    NoRetry,    // the retry budget is spent
};

constexpr name_table<give_up_reason, 3> giveUpReasonNames = { {
        { give_up_reason::NoEndpoint, "no_endpoint" },
        { give_up_reason::NoAttempt, "no_attempt" },
        { give_up_reason::NoRetry, "no_retry" },
} };

// Used by the coroutine of its exchange only.
class forwarded_call
{
public:
    forwarded_call(gateway_context &context, http_exchange &exchange,
                   std::shared_ptr<const config_index> config, const route_rule &route,
                   const call_info &info);

    std::string workspace;
    std::string fingerprint; // of the request, for the crash ledger
    time_point arrivedAt{};  // at this gateway
    time_point end{};        // the answer is due

    void run();

private:
    struct attempt;

    std::optional<destination> waitForDestination();
    duration patience() const;
    std::optional<destination> waitForRoom(std::optional<destination> to);
    std::optional<destination> choose(const std::set<std::string> &excluded) const;
    bool hasAlternativeTo(const destination &to) const;
    double expectedAnswerTokens() const;
    attempt_end send(const destination &to);
    void logRepetition(const destination &to) const;
    attempt_end judge(const destination &to, attempt &current, const call_result &result);
    attempt_end judgeFailure(const destination &to, const attempt &current,
                             const call_result &result);
    attempt_end judgeStreamEnd(const destination &to, const attempt &current);
    attempt_end passOn(const destination &to, const http_response &response);
    void onStreamHead(attempt &current, const http_response &head);
    void onStreamPart(attempt &current, std::string_view part);
    bool goesOn(attempt_end last);
    bool isRepeatable(attempt_end last) const;
    bool isRepeatableKind() const { return m_route.kind == call_kind::Safe || m_route.isResumable; }
    void noteCrash(const destination &to);
    void refuseFinally(attempt_end last);
    duration silenceLimit(attempt &current) const;
    static void noteEvents(attempt &current);
    void notePassed(time_point now);
    void doubtChain(const destination &to, const attempt &current);
    void blame(const destination &to, const std::string &faultAddress);
    duration remaining() const { return end - steadyNow(); }
    bool isSealedAnswer(const answer_info &answer, const http_response &response) const;
    void finish(const char *outcome);

    gateway_context &m_context;
    http_exchange &m_exchange;
    std::shared_ptr<const config_index> m_config;
    const route_rule &m_route;
    const call_info &m_info;
    const std::string m_service;
    const service_rule *m_rule;
    std::set<std::string> m_failed; // endpoints
    int m_runs = 0;                 // sendings that may have run
    int m_sendings = 0;
    std::string m_lastEndpoint; // of the last sending
    time_point m_lastPassed{};  // when the caller last got events
    duration m_longestPause{};  // between two events that the caller got
    int m_status = 0;           // that the caller got; 0 if none
    give_up_reason m_gaveUp = give_up_reason::NoEndpoint;
    bool m_wasBusy = false;     // an endpoint was full
    bool m_streamBegun = false; // the caller has the head of the answer
    bool m_hasLeft = false;
    call_cancellation m_cancellation; // of the current sending
    std::optional<std::int64_t> m_lastEvent;
    // An endpoint's own failure, which the caller gets if no other endpoint does better.
    std::optional<http_response> m_ownFailure;
};

} // namespace fescuedeck

#endif
