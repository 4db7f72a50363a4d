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
enum class attempt_outcome {
    Answered,    // the caller has the answer
    NotRun,      // the request has certainly not run
    MayHaveRun,  // it may have run, and there is no usable answer
    Interrupted, // events have reached the caller and more are due
    CallerLeft,
};

// Why a request that has no good answer is not sent again.
enum class give_up_reason {
    NoEndpoint,           // none can be used, or none has room
    AttemptsExhausted,    // it must not run again, or its attempts or its time are used up
    RetryBudgetExhausted, // the retry budget is spent
};

constexpr name_table<give_up_reason, 3> giveUpReasonNames = { {
        { give_up_reason::NoEndpoint, "no_endpoint" },
        { give_up_reason::AttemptsExhausted, "no_attempt" },
        { give_up_reason::RetryBudgetExhausted, "no_retry" },
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
    time_point deadline{};   // the answer is due

    void run();

private:
    struct attempt;

    std::optional<destination> waitForDestination();
    duration endpointWaitLimit() const;
    std::optional<destination> waitForCapacity(std::optional<destination> to);
    std::optional<destination> chooseDestination(const std::set<std::string> &excluded) const;
    bool hasAlternativeTo(const destination &to) const;
    double expectedAnswerTokens() const;
    attempt_outcome runAttempt(const destination &to);
    void logRetry(const destination &to) const;
    attempt_outcome handleResult(const destination &to, attempt &current,
                                 const call_result &result);
    attempt_outcome handleFailure(const destination &to, const attempt &current,
                                  const call_result &result);
    attempt_outcome handleStreamEnd(const destination &to, const attempt &current);
    attempt_outcome relayResponse(const destination &to, const http_response &response);
    void onStreamHead(attempt &current, const http_response &head);
    void onStreamPart(attempt &current, std::string_view part);
    bool acquireRetry(attempt_outcome last);
    bool isRetryable(attempt_outcome last) const;
    bool isRetryableRoute() const { return m_route.kind == call_kind::Safe || m_route.isResumable; }
    void recordCrash(const destination &to);
    void giveUp(attempt_outcome last);
    duration stallLimit(attempt &current) const;
    static void recordReceivedEvents(attempt &current);
    void recordRelayedEvents(time_point now);
    void suspectChain(const destination &to, const attempt &current);
    void suspectEndpoint(const destination &to, const std::string &faultAddress);
    duration remainingTime() const { return deadline - steadyNow(); }
    bool isValidAnswer(const response_info &answer, const http_response &response) const;
    void finish(const char *outcome);

    gateway_context &m_context;
    http_exchange &m_exchange;
    std::shared_ptr<const config_index> m_config;
    const route_rule &m_route;
    const call_info &m_info;
    const std::string m_service;
    const service_rule *m_rule;
    std::set<std::string> m_failedEndpoints; // endpoints
    int m_possibleRuns = 0;                  // sendings that may have run
    int m_attempts = 0;
    std::string m_lastEndpoint;   // of the last sending
    time_point m_lastRelayedAt{}; // when the caller last got events
    duration m_longestGap{};      // between two events that the caller got
    int m_status = 0;             // that the caller got; 0 if none
    give_up_reason m_giveUpReason = give_up_reason::NoEndpoint;
    bool m_wasEndpointBusy = false;  // an endpoint was full
    bool m_hasStreamStarted = false; // the caller has the head of the answer
    bool m_hasCallerLeft = false;
    call_cancellation m_cancellation; // of the current sending
    std::optional<std::int64_t> m_lastEventId;
    // An endpoint's own failure, which the caller gets if no other endpoint does better.
    std::optional<http_response> m_endpointFailure;
};

} // namespace fescuedeck

#endif
