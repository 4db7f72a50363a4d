#include "fescuedeck/gateway/forwarded_call.h"

#include <algorithm>

#include "fescuedeck/base/hash.h"
#include "fescuedeck/gateway/chain_progress.h"
#include "fescuedeck/gateway/forwarded_call_attempt.h"
#include "fescuedeck/gateway/retry_after.h"
#include "fescuedeck/router/wait_event.h"
#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {
namespace {

constexpr int statusOk = 200;
// Attempts allowed beyond the maximum of the route, because attempts that an endpoint refuses do
// not run the request.
constexpr int maxExtraAttempts = 2;
// A host that is up accepts a connection much faster than this.
constexpr duration connectTimeout = std::chrono::milliseconds(400);
// How long a request that may have run waits for an endpoint. Callers disconnect after a gap of
// about two seconds in a stream.
constexpr duration maxEndpointWait = std::chrono::milliseconds(1500);
// A request that has not run waits for its latency objective divided by this.
constexpr int objectiveWaitDivisor = 8;
// While the list of endpoints is incomplete, such a request may wait longer, but not longer than
// its remaining time divided by this.
constexpr int announcementWaitDivisor = 3;
constexpr duration endpointPollInterval = std::chrono::milliseconds(20);
// How long a request waits for free cache. Callers disconnect if a stream has not started after
// about two seconds.
constexpr duration maxCapacityWait = std::chrono::milliseconds(400);
// How long a request that cannot be retried waits for its own response after another one arrived.
constexpr duration maxWaitAfterUnexpected = std::chrono::seconds(2);
// Largest body of a failure response on a route with streams.
constexpr std::size_t maxFailureBytes = 1024 * 1024;
// After this many attempts that could not connect, a request waits this long at most for the
// gateway to find out whether it is isolated.
constexpr int unsentAttemptsBeforeWait = 2;
constexpr duration maxReachabilityWait = std::chrono::milliseconds(100);
// How long a request without a retry waits for one from another gateway. A loan takes one round
// trip, and the lender that is asked first may have nothing left.
constexpr duration maxLoanWait = std::chrono::milliseconds(100);
constexpr duration loanPollInterval = std::chrono::milliseconds(10);
// Attempts that reached no endpoint do not count against the allowed ones, up to this many.
constexpr int maxUnsentAttempts = 4;
// The gateway answers this long before the caller's deadline, so that the answer arrives in time.
constexpr duration answerMargin = std::chrono::milliseconds(30);

// Null for a plain service or an unknown one.
const engine_spec *engineOf(const service_rule *service)
{
    return service != nullptr && service->engine ? &*service->engine : nullptr;
}

} // namespace

forwarded_call::forwarded_call(gateway_context &context, http_exchange &exchange,
                               std::shared_ptr<const config_index> config, const route_rule &route,
                               const call_info &info, std::optional<relay_claim> relayed)
    : m_context(context)
    , m_exchange(exchange)
    , m_config(std::move(config))
    , m_route(route)
    , m_info(info)
    , m_relayed(std::move(relayed))
    , m_service(m_relayed ? m_relayed->service : drawService(route, context.random))
    , m_engine(engineOf(m_config->findService(m_service)))
    , m_destinations(context, m_service, m_engine, stableHash(info.id))
    , m_possibleRuns(m_relayed ? m_relayed->possibleRuns : 0)
    , m_lastEventId(info.resumeAfter)
{
}

forwarded_call::~forwarded_call() = default;

void forwarded_call::run()
{
    m_exchange.onCallerLeft([this] {
        m_hasCallerLeft = true;
        m_context.admission.onCallerLeft(m_service);
        for (const auto &each : m_open)
            each->cancellation.cancel();
        if (m_news)
            m_news->set();
    });
    attempt_outcome last = attempt_outcome::NotRun;
    do {
        const std::optional<destination> to = waitForDestination();
        recordInBudget(to);
        if (m_hasCallerLeft || m_exchange.callerLeft())
            return finish("caller_left");
        if (!to) {
            m_giveUpReason = give_up_reason::NoEndpoint;
            break;
        }
        if (isQuarantined()) {
            m_giveUpReason = give_up_reason::Quarantined;
            break;
        }
        last = runReplacements(runAttempt(*to));
    } while (acquireRetry(last));
    if (last == attempt_outcome::Answered)
        return finish("answered");
    if (last == attempt_outcome::CallerLeft)
        return finish("caller_left");
    if (m_endpointFailure && !m_hasStreamStarted) {
        m_status = m_endpointFailure->status;
        m_exchange.respond(m_context.adapter.forwardResponse(*m_endpointFailure));
        return finish("answered");
    }
    giveUp(last);
}

void forwarded_call::recordInBudget(const std::optional<destination> &to)
{
    if (m_isRecordedInBudget || (to && to->isRelay))
        return;
    m_isRecordedInBudget = true;
    m_context.retryBudget.recordRequest(m_service, steadyNow());
}

duration forwarded_call::endpointWaitLimit() const
{
    if (m_possibleRuns > 0 || m_hasStreamStarted)
        return maxEndpointWait;
    const duration usualWait = m_route.latencyObjective / objectiveWaitDivisor;
    const time_point now = steadyNow();
    const bool isListComplete = m_context.hasEndpointList && now >= m_context.endpointsCompleteAt;
    if (isListComplete)
        return usualWait;
    const duration remainingWait = maxEndpointWait - (now - arrivedAt);
    return std::max(usualWait,
                    std::min<duration>(remainingWait, remainingTime() / announcementWaitDivisor));
}

std::optional<destination> forwarded_call::chooseDestination()
{
    const bool isIsolated = m_context.isIsolated();
    if (isIsolated && m_relayed)
        return std::nullopt;
    if (isIsolated && m_context.hasVouchingPeer())
        return m_destinations.chooseRelay();
    return m_destinations.choose();
}

void forwarded_call::waitForReachability()
{
    if (m_unsentAttempts < unsentAttemptsBeforeWait || !m_context.hasVouchingPeer())
        return;
    const time_point limit = steadyNow() + maxReachabilityWait;
    while (!m_context.isIsolated() && steadyNow() < limit && !m_hasCallerLeft)
        sleepFor(endpointPollInterval, m_exchange.yield());
}

std::optional<destination> forwarded_call::waitForDestination()
{
    waitForReachability();
    const bool mustContinue = m_possibleRuns > 0 || m_hasStreamStarted;
    const time_point limit
            = steadyNow() + std::min<duration>(endpointWaitLimit(), remainingTime() - answerMargin);
    std::optional<destination> to = chooseDestination();
    if (to && !mustContinue && m_engine != nullptr && !to->isRelay)
        return waitForCapacity(std::move(to));
    bool areFailuresCleared = false;
    while (!to && steadyNow() < limit && !m_hasCallerLeft) {
        if (m_relayed && m_context.isIsolated())
            return std::nullopt; // another peer may reach the endpoints
        m_context.admission.sleepUntilChange(m_service, m_exchange.yield());
        // Late in the wait, an endpoint that has failed this request is better than none.
        if (mustContinue && !areFailuresCleared && limit - steadyNow() < maxEndpointWait / 2) {
            areFailuresCleared = true;
            m_destinations.clearExcluded();
        }
        to = chooseDestination();
    }
    return to;
}

time_point forwarded_call::latestStart() const
{
    const bool hasObjective = m_route.latencyObjective > duration::zero();
    if (isRanked() && hasObjective)
        return std::min<time_point>(arrivedAt + m_route.latencyObjective, deadline - answerMargin);
    return steadyNow() + std::min<duration>(maxCapacityWait, remainingTime() / 2);
}

std::optional<destination> forwarded_call::waitForCapacity(std::optional<destination> to)
{
    admission_request request;
    request.service = m_service;
    request.workspace = workspace;
    request.rank = rank;
    request.work = expectedTokens();
    request.latestStart = latestStart();
    request.firstFill = to->fill;
    request.fill = [this, &to] {
        to = chooseDestination();
        return to ? std::optional<double>(to->fill) : std::nullopt;
    };
    request.freeTokens = [this](double maxFill) {
        return freeTokens(*m_engine, m_context.endpoints.ofService(m_service), maxFill,
                          steadyNow());
    };
    request.hasCallerLeft = [this] { return m_hasCallerLeft; };
    admission_control &admission = m_context.admission;
    const admission_outcome outcome = isRanked()
                                              ? admission.admit(request, m_exchange.yield())
                                              : admission.waitForRoom(request, m_exchange.yield());
    m_wasEndpointBusy = m_wasEndpointBusy || outcome == admission_outcome::Refused;
    return outcome == admission_outcome::Admitted ? to : std::nullopt;
}

double forwarded_call::expectedTokens() const
{
    return static_cast<double>(m_info.promptTokens) + expectedAnswerTokens();
}

bool forwarded_call::acquireRetry(attempt_outcome last)
{
    m_giveUpReason = give_up_reason::AttemptsExhausted;
    if (isQuarantined())
        m_giveUpReason = give_up_reason::Quarantined;
    if (!isRetryable(last, m_possibleRuns))
        return false;
    // The budget limits what reaches endpoints. A retry that was taken for an attempt which reached
    // none serves for the next one.
    if (!m_hasBeenSent || m_hasUnusedRetry)
        return true;
    m_giveUpReason = give_up_reason::RetryBudgetExhausted;
    m_hasUnusedRetry = m_context.retryBudget.takeRetry(m_service, steadyNow()) || borrowRetry();
    return m_hasUnusedRetry;
}

bool forwarded_call::borrowRetry()
{
    if (!m_context.borrowRetries || !m_context.borrowRetries(m_service))
        return false;
    const time_point limit = steadyNow() + std::min<duration>(maxLoanWait, remainingTime());
    bool hasRetry = false;
    while (!hasRetry && steadyNow() < limit && !m_hasCallerLeft) {
        m_context.borrowRetries(m_service);
        sleepFor(loanPollInterval, m_exchange.yield());
        hasRetry = m_context.retryBudget.takeRetry(m_service, steadyNow());
    }
    return hasRetry;
}

bool forwarded_call::isRetryable(attempt_outcome last, int possibleRuns) const
{
    const bool isIdempotent = isRepeatable(m_route);
    const bool mayRunAgain = last == attempt_outcome::NotRun
                             || (last == attempt_outcome::MayHaveRun && isIdempotent)
                             || (last == attempt_outcome::Interrupted && m_route.isResumable);
    if (isQuarantined())
        return false;
    const int countedAttempts = m_attempts - std::min(m_unsentAttempts, maxUnsentAttempts);
    return mayRunAgain && !m_hasCallerLeft && possibleRuns < m_route.maxAttempts
           && countedAttempts < m_route.maxAttempts + maxExtraAttempts
           && remainingTime() > answerMargin;
}

bool forwarded_call::isRetryableIfAttemptsFail() const
{
    return isRetryable(outcomeAfterRun(), m_possibleRuns + static_cast<int>(m_open.size()));
}

double forwarded_call::expectedAnswerTokens() const
{
    const auto maxTokens = static_cast<double>(m_info.maxAnswerTokens);
    if (m_engine == nullptr || m_engine->usualAnswerTokens == 0)
        return maxTokens;
    return m_context.answerLengths.predict(answerRequest());
}

double forwarded_call::grownAnswerTokens() const
{
    const double expected = expectedAnswerTokens();
    if (m_engine == nullptr || m_engine->usualAnswerTokens == 0)
        return expected;
    return m_context.answerLengths.predictGrown(answerRequest(), expected,
                                                static_cast<double>(m_lastEventId.value_or(0)));
}

answer_request forwarded_call::answerRequest() const
{
    return { m_service, m_route.name, m_info.lengthHint,
             static_cast<double>(m_info.maxAnswerTokens),
             static_cast<double>(m_engine->usualAnswerTokens) };
}

void forwarded_call::recordAnswerLength()
{
    // The ids of the events of a stream are consecutive and begin with 1.
    if (m_engine != nullptr && m_engine->usualAnswerTokens > 0 && m_lastEventId)
        m_context.answerLengths.record(answerRequest(), static_cast<double>(*m_lastEventId));
}

attempt_outcome forwarded_call::runAttempt(const destination &to)
{
    attempt &current = beginAttempt(to);
    m_owner = &current;
    const call_options options = callOptions(current);
    const call_result result = m_context.client.send(to.first->entry.address, current.request,
                                                     options, m_exchange.yield());
    return endAttempt(current, result);
}

forwarded_call::attempt &forwarded_call::beginAttempt(const destination &to)
{
    ++m_attempts;
    m_lastEndpoint = to.first->entry.id;
    m_destinations.beginAttempt(to);
    if (m_attempts > 1)
        logRetry(to);
    m_open.push_back(std::make_unique<attempt>(m_context, m_service, m_lastEventId, m_attempts, to,
                                               expectedTokens()));
    attempt &current = *m_open.back();
    current.request = requestTo(to);
    current.quarantineWatch.emplace(m_context.crashes, identity, [&current] {
        current.isWithdrawn = !current.hasSurelyBegun();
        if (current.isWithdrawn)
            current.cancellation.cancel();
    });
    if (!to.isRelay)
        current.openAttempt.emplace(m_context.openAttempts,
                                    [this, &current] { moveIfStalled(current); });
    if (m_route.kind == call_kind::Stream && m_engine != nullptr && to.chain.size() > 1)
        listRunningStream(current, expectedTokens());
    return current;
}

call_options forwarded_call::callOptions(attempt &current)
{
    call_options call;
    call.timeout = remainingTime();
    call.connectTimeout = connectTimeout;
    call.cancellation = current.cancellation;
    call.requestId = m_info.id;
    call.waitsForMemory = true;
    call.onSending = [&current] { current.isSent = true; };
    // Without an id, a late response to an earlier request cannot be told from the expected one.
    call.freshConnection = m_info.id.empty();
    call.isExpected = [this, &current](const http_response &head, bool isReusedConnection) {
        if (current.to.isRelay && readRelayRefusal(head, m_info.id))
            return true;
        return isResponseToThisRequest(m_context.adapter.readResponse(head), isReusedConnection);
    };
    if (!isRetryableIfAttemptsFail())
        call.waitAfterUnexpected = maxWaitAfterUnexpected;
    if (m_route.kind == call_kind::Stream) {
        current.hasAlternative = m_destinations.hasAlternativeTo(current.to);
        call.timeUntilStall = [this, &current] { return timeUntilStall(current); };
        call.collectsBody = false;
        call.onHead = [this, &current](const http_response &head) { onStreamHead(current, head); };
        call.onBodyPart = [this, &current](std::string_view part) {
            const std::string events = readEvents(current, part);
            if (!events.empty())
                writeEvents(current, events);
        };
    }
    return call;
}

attempt_outcome forwarded_call::endAttempt(attempt &current, const call_result &result)
{
    if (current.hasSurelyBegun())
        current.running.setAnswered();
    const attempt_outcome outcome = evaluate(current, result);
    if (m_owner == &current)
        m_owner = nullptr;
    m_open.erase(std::find_if(m_open.begin(), m_open.end(),
                              [&](const auto &each) { return each.get() == &current; }));
    return outcome;
}

attempt_outcome forwarded_call::evaluate(attempt &current, const call_result &result)
{
    const destination &to = current.to;
    if (current.isSuperseded)
        return recordWithdrawal(current);
    if (to.isRelay)
        return handleRelayResult(to, current, result);
    countSending(result.mayHaveBeenSent);
    if (m_hasCallerLeft || m_exchange.callerLeft()) {
        recordIfAbandoned(current, result);
        // The caller may have disconnected because the stream stalled. The cause of the stall must
        // still be found.
        if (!to.chain.empty()
            && steadyNow() - current.timing.lastActivityAt() >= defaultStallLimit) {
            event_line("silent_stream_left", event_level::Warning)
                    .field("request", m_info.id)
                    .field("endpoint", to.first->entry.id)
                    .field("has_alternative", current.hasAlternative)
                    .field("has_retry", current.retry.tryReserve());
            suspectChain(to, current);
        }
        return attempt_outcome::CallerLeft;
    }
    if (current.isWithdrawn && !result.response) {
        if (!result.mayHaveBeenSent)
            return attempt_outcome::NotRun;
        ++m_possibleRuns;
        return outcomeAfterRun();
    }
    const attempt_outcome outcome = handleResult(to, current, result);
    if (outcome == attempt_outcome::Answered && result.endsWithConnection)
        logConnectionEnd(current, result);
    return outcome;
}

attempt_outcome forwarded_call::outcomeAfterRun() const
{
    return m_hasStreamStarted ? attempt_outcome::Interrupted : attempt_outcome::MayHaveRun;
}

void forwarded_call::countSending(bool hasReachedEndpoint)
{
    m_unsentAttempts += hasReachedEndpoint ? 0 : 1;
    m_hasBeenSent = m_hasBeenSent || hasReachedEndpoint;
    m_hasUnusedRetry = m_hasUnusedRetry && !hasReachedEndpoint;
}

http_request forwarded_call::requestTo(const destination &to) const
{
    const http_request &request = m_exchange.request();
    if (to.isRelay) {
        http_request relayed
                = m_context.adapter.relayRequest(request, { remainingTime(), m_lastEventId });
        relayed.headers.push_back(makeRelayHeader(
                m_context.peerSecret,
                { m_context.settings.id, m_possibleRuns + openRuns(), m_service, wallNow() },
                { to.first->entry.id, m_info.id, request.method, request.target }));
        return relayed;
    }
    forward_options options;
    options.endpoint = to.first->entry.id;
    options.workspace = workspace;
    options.timeLimit = remainingTime();
    options.chain = to.chain;
    options.resumeAfter = m_lastEventId;
    if (isRanked())
        options.priority = rank;
    return m_context.adapter.forwardRequest(request, options);
}

void forwarded_call::logRetry(const destination &to) const
{
    m_context.counters.counterOf("fescuedeck_repeated_sendings_total", { { "service", m_service } })
            .add();
    event_line("sent_again")
            .field("request", m_info.id)
            .field("endpoint", to.first->entry.id)
            .field("failure_domain", to.first->entry.failureDomain)
            .field("sending", m_attempts)
            .field("after_event", m_lastEventId.value_or(0))
            .field("elapsed_ms", duration(steadyNow() - arrivedAt))
            .field("retries_left",
                   static_cast<int>(m_context.retryBudget.available(m_service, steadyNow())));
}

void forwarded_call::recordReceivedEvents(attempt &current)
{
    constexpr int smoothing = 4;
    const time_point now = steadyNow();
    if (!current.timing.hasBegun()) {
        duration &usual = current.to.first->usualFirstEventDelay;
        usual += (now - current.timing.sentAt() - usual) / smoothing;
    }
    if (current.hasSurelyBegun() && !current.isBeginRecorded) {
        current.isBeginRecorded = true;
        m_context.crashes.recordBegun(identity, now);
    }
    current.timing.recordEvent(now);
    current.silentSince = {};
    recordProgress(current.to.stages, now);
}

void forwarded_call::recordWrittenEvents(time_point now)
{
    if (m_lastWriteAt == time_point{}) {
        m_firstEventAfter = now - arrivedAt;
        m_context.counters.histogramOf("fescuedeck_first_event_seconds").observe(m_firstEventAfter);
    } else {
        m_longestGap = std::max<duration>(m_longestGap, now - m_lastWriteAt);
    }
    m_lastWriteAt = now;
}

void forwarded_call::onStreamHead(attempt &current, const http_response &head)
{
    const response_info answer = readNewResponse(current, head);
    current.head = head;
    current.isStream = head.status == statusOk && isValidAnswer(answer, head);
    current.isUnusable = detail::isSuccess(head.status) && !current.isStream;
    if (current.isUnusable)
        current.cancellation.cancel();
}

std::string forwarded_call::readEvents(attempt &current, std::string_view part)
{
    if (current.isSuperseded)
        return {};
    if (!current.isStream) {
        current.head.body += part; // of a failure, which is relayed as a whole
        if (current.head.body.size() > maxFailureBytes) {
            current.isUnusable = true;
            current.cancellation.cancel();
        }
        return {};
    }
    const std::size_t eventsBefore = current.events.completeEvents();
    current.events.feed(part);
    std::string events = current.events.take();
    // Bytes that complete no event are no progress. An endpoint that sends one now and then has
    // stalled.
    if (current.events.completeEvents() > eventsBefore)
        recordReceivedEvents(current);
    if (current.events.isInvalid()) {
        current.isUnusable = true;
        current.cancellation.cancel();
    }
    return events;
}

void forwarded_call::writeEvents(attempt &current, const std::string &events)
{
    withdrawOthers(&current);
    // Set before the coroutine is suspended, so that no replacement starts behind these events.
    m_isWriting = true;
    m_lastEventId = current.events.lastId();
    current.inFlight.setTokens(static_cast<double>(m_info.promptTokens) + grownAnswerTokens());
    if (!m_hasStreamStarted) {
        m_hasStreamStarted = true;
        m_status = current.head.status;
        m_exchange.startStream(m_context.adapter.forwardResponse(current.head));
    }
    recordWrittenEvents(steadyNow());
    const bool isWritten = m_exchange.writeChunk(events);
    m_isWriting = false;
    m_writtenAt = steadyNow();
    if (!isWritten) {
        m_hasCallerLeft = true;
        current.cancellation.cancel();
    }
}

response_info forwarded_call::readNewResponse(const attempt &current, const http_response &response)
{
    response_info answer = m_context.adapter.readResponse(response);
    if (current.to.isRelay)
        return answer; // the limit is that of an endpoint which the peer has chosen
    const endpoint_entry &from = current.to.first->entry;
    const bool isChanged = m_context.requestLimits.observe(incarnationName(from),
                                                           answer.requestLimit, steadyNow());
    if (isChanged) {
        event_line("request_limit_changed", event_level::Warning)
                .field("endpoint", from.id)
                .field("per_second", answer.requestLimit.value_or(0));
    }
    if (answer.isLeaving && m_context.endpoints.recordStatedLeaving(from.id)) {
        m_context.counters.counterOf("fescuedeck_stated_departures_total").add();
        event_line("endpoint_states_leaving").field("endpoint", from.id);
    }
    return answer;
}

bool forwarded_call::isResponseToThisRequest(const response_info &answer,
                                             bool isReusedConnection) const
{
    return answer.id == m_info.id || (answer.id.empty() && !isReusedConnection);
}

bool forwarded_call::isValidAnswer(const response_info &answer, const http_response &response) const
{
    return answer.id == m_info.id && !answer.isEncoded && !answer.isContradictory
           && (answer.isSealed || !detail::isSuccess(response.status));
}

void forwarded_call::giveUp(attempt_outcome last)
{
    // A stream that has started ends without its final chunk, which shows the caller that it is
    // incomplete.
    if (m_hasStreamStarted) {
        event_line("stream_broken_off", event_level::Warning)
                .field("request", m_info.id)
                .field("gave_up", nameOf(giveUpReasonNames, m_giveUpReason))
                .field("service", m_service)
                .field("excluded", static_cast<int>(m_destinations.excludedCount()))
                .field("last_event", m_lastEventId.value_or(0));
        return finish("broken_off");
    }
    const int earlierRuns = m_relayed ? m_relayed->possibleRuns : 0;
    const bool hasRunHere = last != attempt_outcome::NotRun || m_possibleRuns > earlierRuns;
    const bool hasRun = hasRunHere || m_possibleRuns > 0;
    const bool isBusy = m_wasEndpointBusy || m_destinations.hasMetLimit();
    refusal_reason reason = isBusy ? refusal_reason::Busy : refusal_reason::NoEndpoint;
    if (m_giveUpReason == give_up_reason::Quarantined)
        reason = refusal_reason::Quarantined;
    else if (hasRun)
        reason = remainingTime() <= answerMargin ? refusal_reason::TimedOut
                                                 : refusal_reason::Failed;
    const bool isRankedRefusal = isRanked() && reason == refusal_reason::Busy;
    const duration retryAfter
            = isRankedRefusal
                      ? retryAfterForRank(rank,
                                          m_context.admission.predictedWait(m_service, workspace,
                                                                            rank, expectedTokens()),
                                          m_context.random)
                      : retryAfterFor(reason, m_context.layersExpectedAt - steadyNow(),
                                      m_context.random);
    event_line("request_refused", event_level::Warning)
            .field("request", m_info.id)
            .field("reason", nameOf(refusalReasonNames, reason))
            .field("gave_up", nameOf(giveUpReasonNames, m_giveUpReason))
            .field("service", m_service)
            .field("excluded", static_cast<int>(m_destinations.excludedCount()))
            .field("retry_after_ms", retryAfter);
    m_context.counters
            .counterOf("fescuedeck_refused_requests_total",
                       { { "reason", std::string(nameOf(refusalReasonNames, reason)) } })
            .add();
    http_response refusal = m_context.adapter.refuse(reason, retryAfter);
    if (m_relayed)
        markRelayRefusal(refusal, hasRunHere ? relay_outcome::MayHaveRun : relay_outcome::NotRun,
                         m_info.id);
    m_status = refusal.status;
    m_exchange.respond(refusal);
    finish(hasRun ? "failed" : "refused");
}

void forwarded_call::finish(const char *outcome)
{
    const time_point now = steadyNow();
    const time_point lastActivityAt = std::max(arrivedAt, m_lastWriteAt);
    event_line("request_ended")
            .field("request", m_info.id)
            .field("relayed_by", m_relayed ? m_relayed->origin : std::string())
            .field("fingerprint", identity.fingerprint)
            .field("outcome", outcome)
            .field("status", m_status)
            .field("kind", nameOf(callKindNames, m_route.kind))
            .field("route", m_route.name)
            .field("workspace", workspace)
            .field("config", m_config->config().version)
            .field("sendings", m_attempts)
            .field("runs", m_possibleRuns)
            .field("last_endpoint", m_lastEndpoint)
            .field("last_event", m_lastEventId.value_or(0))
            .field("silent_ms", duration(now - lastActivityAt))
            .field("first_event_ms", m_firstEventAfter)
            .field("longest_pause_ms", m_longestGap)
            .field("took_ms", duration(now - arrivedAt));
    const std::string kind(nameOf(callKindNames, m_route.kind));
    metrics &counters = m_context.counters;
    counters.counterOf("fescuedeck_requests_total", { { "kind", kind }, { "outcome", outcome } })
            .add();
    counters.histogramOf("fescuedeck_request_seconds", { { "kind", kind } })
            .observe(now - arrivedAt);
    if (m_hasStreamStarted)
        counters.histogramOf("fescuedeck_longest_pause_seconds").observe(m_longestGap);
}

} // namespace fescuedeck
