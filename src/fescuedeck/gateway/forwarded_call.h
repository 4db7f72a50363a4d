// Forwards one request of a caller: chooses endpoints, runs attempts, resumes an interrupted stream
// at another endpoint, and answers the caller.
//
// A sound endpoint may be silent for a while. Its attempt therefore stays open while a replacement
// starts at another endpoint. The first of them that delivers goes on, and the others are
// cancelled. Only one attempt, the owner, delivers to the caller.
#ifndef FESCUEDECK_GATEWAY_FORWARDED_CALL_H
#define FESCUEDECK_GATEWAY_FORWARDED_CALL_H

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/gateway/destination_chooser.h"
#include "fescuedeck/gateway/event_splitter.h"
#include "fescuedeck/gateway/gateway_context.h"
#include "fescuedeck/gateway/relay_protocol.h"
#include "fescuedeck/net/http_server.h"
#include "fescuedeck/router/wait_event.h"

namespace fescuedeck {

// Outcome of one attempt. It decides whether another attempt is allowed.
enum class attempt_outcome {
    Answered,    // the caller has received the answer
    NotRun,      // the request has certainly not run
    MayHaveRun,  // the request may have run, and there is no usable answer
    Interrupted, // the caller has received some events of a stream that is not complete
    CallerLeft,  // the caller has disconnected
};

constexpr name_table<attempt_outcome, 5> attemptOutcomeNames = { {
        { attempt_outcome::Answered, "answered" },
        { attempt_outcome::NotRun, "not_run" },
        { attempt_outcome::MayHaveRun, "may_have_run" },
        { attempt_outcome::Interrupted, "interrupted" },
        { attempt_outcome::CallerLeft, "caller_left" },
} };

// Why a request without a good answer gets no further attempt.
enum class give_up_reason {
    NoEndpoint,           // no usable endpoint has capacity
    AttemptsExhausted,    // the request must not run again, or its attempts or time are used up
    RetryBudgetExhausted, // the service has no retry left
    Quarantined,          // the request crashes endpoints
};

constexpr name_table<give_up_reason, 4> giveUpReasonNames = { {
        { give_up_reason::NoEndpoint, "no_endpoint" },
        { give_up_reason::AttemptsExhausted, "no_attempt" },
        { give_up_reason::RetryBudgetExhausted, "no_retry" },
        { give_up_reason::Quarantined, "quarantined" },
} };

// Set the public fields, then call run() once. Only the coroutine of the exchange may use an object
// of this class.
class forwarded_call
{
public:
    // relayed is the claim of the gateway that relayed the request; empty for a caller's request.
    forwarded_call(gateway_context &context, http_exchange &exchange,
                   std::shared_ptr<const config_index> config, const route_rule &route,
                   const call_info &info, std::optional<relay_claim> relayed);
    ~forwarded_call();
    forwarded_call(const forwarded_call &) = delete;
    forwarded_call &operator=(const forwarded_call &) = delete;

    std::string workspace;
    int rank = 0; // urgency, 0 (first) to 9
    request_identity identity;
    time_point arrivedAt{}; // time of arrival at this gateway
    time_point deadline{};  // the caller waits for the answer until then

    // Returns when the caller has been answered or has disconnected, or when its stream was
    // aborted. Suspends the coroutine while it waits.
    void run();

private:
    struct attempt;

    // Waits until a request can be sent somewhere. Empty if nothing is available within
    // endpointWaitLimit(), or if the caller has disconnected.
    std::optional<destination> waitForDestination();
    // Returns a peer instead of an endpoint while this gateway does not reach the endpoints. A
    // request that was relayed once is not relayed again.
    std::optional<destination> chooseDestination();
    // A gateway that loses its links needs a moment to find out. Waits for that after connections
    // to several endpoints have failed, so that the request does not use up its attempts before.
    void waitForReachability();
    // How long the request may wait for an endpoint:
    // - A request that may have run can no longer be refused as not run. It waits longest.
    // - A request that has not run waits for a share of its objective, so that a suspicion that
    //   soon expires does not cause a refusal.
    // - While the list of endpoints is incomplete, a request that has not run waits longer, up to
    //   maxEndpointWait after its arrival.
    duration endpointWaitLimit() const;
    // Waits for admission while the caches of the best chain are full, because engines that get
    // more requests than fit preempt some of them and delay all. Empty if the request is not
    // admitted, or as soon as no destination is usable.
    std::optional<destination> waitForCapacity(std::optional<destination> to);
    // Whether the request takes part in the order by ranks.
    bool isRanked() const { return m_engine != nullptr && m_config->hasDifferentRanks(); }
    // The request must have begun by then. Without ranks, the end of its wait for room.
    time_point latestStart() const;
    double expectedTokens() const;
    // The usual length of an answer of this service, but no more than the caller accepts. Callers
    // state a maximum that few answers reach.
    double expectedAnswerTokens() const;
    // The same once the stream has got so far.
    double grownAnswerTokens() const;
    answer_request answerRequest() const;
    // Records the length of an answer that has arrived whole.
    void recordAnswerLength();
    // Counts the request in the retry budget once, unless a peer counts it.
    void recordInBudget(const std::optional<destination> &to);
    // Sends the request to the destination and relays a stream while it arrives.
    attempt_outcome runAttempt(const destination &to);
    // Lists a further attempt as open. It has not been sent.
    attempt &beginAttempt(const destination &to);
    // Lists the attempt among the streams whose path may change, with the tokens it needs in
    // caches.
    void listRunningStream(attempt &current, double tokens);
    call_options callOptions(attempt &current);
    // Evaluates the result of an open attempt, which is not listed afterwards.
    attempt_outcome endAttempt(attempt &current, const call_result &result);
    attempt_outcome evaluate(attempt &current, const call_result &result);
    http_request requestTo(const destination &to) const;
    // Counts the end of an attempt, which may or cannot have reached an endpoint.
    void countSending(bool hasReachedEndpoint);
    // Replaces an attempt without progress, while this gateway is isolated, if another may follow.
    void moveIfStalled(attempt &current);
    // Replaces an attempt that has lost an engine, without waiting for a silence, if another may
    // follow.
    void replaceLost(attempt &current);
    // The next functions run replacements of silent attempts. Only those that say so may suspend
    // the coroutine.
    //
    // Asks peers for a retry if the attempt is silent and lacks one. Returns the time until the
    // attempt is to be checked again.
    duration borrowIfSilent(const attempt &current);
    // Whether the attempt may get a replacement now. Reserves a retry for it.
    bool mayReplace(attempt &current) const;
    // Open attempts that may have run the request. Whoever runs it next must count them.
    int openRuns() const;
    // Starts a replacement if there is a destination for it and a retry in the budget.
    void startReplacement(attempt &current);
    std::optional<destination> chooseReplacement(const attempt &current);
    // No further attempt of this request goes to the destination's endpoints or peer.
    void exclude(const destination &from);
    // Records, once, that the attempt is silent and which endpoints may be the reason.
    void recordSilence(attempt &current);
    // A replacement has a part of the answer or has ended.
    void onReplacementNews(attempt &replacement);
    // Whether the result completes the answer that the caller gets.
    bool isWholeAnswer(const attempt &current, const call_result &result) const;
    // Makes the attempt the one that delivers to the caller. Cancels the others.
    void makeOwner(attempt &current);
    // Cancels all open attempts but the given ones.
    void withdrawOthers(const attempt *kept, const attempt *alsoKept = nullptr);
    attempt_outcome recordWithdrawal(const attempt &current);
    // Whether other attempts may still succeed, so that a failure must not reach the caller.
    bool isOneOfSeveral(const attempt &current) const;
    // Goes on with the replacements that are open after the given outcome, until one has answered
    // the caller or none is left. Suspends the coroutine.
    attempt_outcome runReplacements(attempt_outcome last);
    // Relays the answer of a replacement. Suspends the coroutine.
    attempt_outcome deliver(attempt &owner);
    // Suspends the coroutine until onReplacementNews() or a caller that leaves.
    void waitForNews();
    attempt_outcome outcomeAfterRun() const;
    void logRetry(const destination &to) const;
    // The next four functions evaluate the end of an attempt. They answer the caller if the result
    // allows it, and record what the result says about the endpoints.
    attempt_outcome handleResult(const destination &to, attempt &current,
                                 const call_result &result);
    attempt_outcome handleFailure(const destination &to, const attempt &current,
                                  const call_result &result);
    attempt_outcome handleStreamEnd(const destination &to, const attempt &current);
    // Records an answer without a length, whose end is that of its connection.
    void logConnectionEnd(const attempt &current, const call_result &result) const;
    attempt_outcome answerCaller(const destination &to, const http_response &response);
    // Evaluates the end of an attempt at a peer. Says nothing about endpoints, because the peer
    // draws those conclusions itself.
    attempt_outcome handleRelayResult(const destination &to, attempt &current,
                                      const call_result &result);
    attempt_outcome handleRelayedResponse(attempt &current, const http_response &whole);
    // Send the answer, or the end of a stream, to the caller. No replacement starts from then on,
    // and none takes over. Suspend the coroutine.
    void respond(const http_response &response);
    void finishStream();
    void logRelay(const attempt &current, const call_result &result, attempt_outcome outcome) const;
    // Decodes the head of a response that has just arrived, and records what the endpoint states
    // about itself: its request limit, and that it is leaving.
    response_info readNewResponse(const attempt &current, const http_response &response);
    void onStreamHead(attempt &current, const http_response &head);
    // Returns the whole events that the caller does not have yet.
    std::string readEvents(attempt &current, std::string_view part);
    // Sends events to the caller. Suspends the coroutine.
    void writeEvents(attempt &current, const std::string &events);
    // Decides whether another attempt follows, and if so takes a retry from the retry budget. Sets
    // m_giveUpReason.
    bool acquireRetry(attempt_outcome last);
    // Waits for a retry that a peer lends, and takes it. Suspends the coroutine.
    bool borrowRetry();
    // Whether another attempt is allowed, regardless of the retry budget, after possibleRuns
    // attempts in which the request may have run.
    bool isRetryable(attempt_outcome last, int possibleRuns) const;
    // Whether another attempt is allowed if the open ones fail and may have run the request.
    bool isRetryableIfAttemptsFail() const;
    bool isQuarantined() const { return m_context.crashes.isQuarantined(identity, steadyNow()); }
    // The request may crash the endpoint after the gateway has stopped waiting.
    void recordIfAbandoned(const attempt &current, const call_result &result);
    void recordAbandoned(const attempt &current);
    // The endpoint closed the connection, which it also does when it crashes.
    void recordCrash(const destination &to, const attempt &current);
    // The response ended before the answer had begun. Finds out whether the engine has crashed.
    void recordEarlyEnd(const destination &to);
    // Ends the request without a good answer: refuses it, or aborts a stream that has started.
    void giveUp(attempt_outcome last);
    // Time until the attempt is checked again. Starts a replacement if the stream has produced no
    // event for too long.
    duration timeUntilStall(attempt &current);
    void recordReceivedEvents(attempt &current);
    void recordWrittenEvents(time_point now);
    // Handles a stalled or broken chain, any engine of which may have failed. This request avoids
    // the whole chain from then on. If the evidence is strong, other requests avoid it for
    // chainSuspicionDuration. Meanwhile the first engine is asked which engine it waits for.
    void suspectChain(const destination &to, const attempt &current);
    // The stage with the address, or the first one if no stage has it.
    static endpoint_ptr stageAt(const destination &to, const std::string &address);
    bool isShortOfMemory(const endpoint_record &engine) const;
    // Makes this request, and for a while all others, avoid the endpoint at fault: the stage with
    // faultAddress, or the first one if no stage has that address. If an engine refused its part of
    // a chain, asks it for a report.
    void suspectEndpoint(const destination &to, const std::string &faultAddress);
    duration remainingTime() const { return deadline - steadyNow(); }
    // Whether the answer belongs to this request. A faulty endpoint may send additional responses
    // late, in place of the next one. They name an earlier request, or none.
    bool isResponseToThisRequest(const response_info &answer, bool isReusedConnection) const;
    // Whether the answer belongs to this request, has the requested encoding, does not contradict
    // itself and, if it is a success, is sealed by the endpoint.
    bool isValidAnswer(const response_info &answer, const http_response &response) const;
    // Records the log line and the metrics of the request.
    void finish(const char *outcome);

    gateway_context &m_context;
    http_exchange &m_exchange;
    std::shared_ptr<const config_index> m_config;
    const route_rule &m_route;
    const call_info &m_info;
    const std::optional<relay_claim> m_relayed;
    const std::string m_service;
    const engine_spec *m_engine; // null for a plain service
    destination_chooser m_destinations;
    int m_possibleRuns = 0; // attempts in which the request may have run
    int m_attempts = 0;
    int m_unsentAttempts = 0;      // attempts that reached neither an endpoint nor a peer
    bool m_hasBeenSent = false;    // an endpoint may have received the request
    bool m_hasUnusedRetry = false; // taken from the budget for an attempt that reached none
    bool m_isRecordedInBudget = false;
    std::string m_lastEndpoint;   // id of the first endpoint of the last attempt
    time_point m_lastWriteAt{};   // when events were last sent to the caller
    duration m_firstEventAfter{}; // from the arrival to the first event; zero if there was none
    duration m_longestGap{};      // between two writes of events to the caller
    int m_status = 0;             // sent to the caller; 0 if none
    give_up_reason m_giveUpReason = give_up_reason::NoEndpoint;
    bool m_wasEndpointBusy = false;  // an endpoint refused the request or a chain was full
    bool m_hasStreamStarted = false; // the head of the answer was sent to the caller
    bool m_hasCallerLeft = false;
    // The attempts that are open, in the order in which they began. The last one may get a
    // replacement. The first runs in the coroutine of the exchange unless it is a replacement.
    std::vector<std::unique_ptr<attempt>> m_open;
    attempt *m_owner = nullptr;                // delivers to the caller; null while none does
    std::optional<wait_event> m_news;          // what the coroutine of the exchange waits for
    bool m_isWriting = false;                  // events to the caller
    time_point m_writtenAt{};                  // when the last write of events ended
    std::optional<std::int64_t> m_lastEventId; // of the last event that the caller has
    // Failure response of an endpoint. The caller gets it if no further attempt succeeds.
    std::optional<http_response> m_endpointFailure;
};

} // namespace fescuedeck

#endif
