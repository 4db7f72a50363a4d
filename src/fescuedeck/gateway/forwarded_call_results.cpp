// The part of forwarded_call that evaluates the end of an attempt.
#include <algorithm>

#include <boost/algorithm/string/join.hpp>

#include "fescuedeck/gateway/chain_progress.h"
#include "fescuedeck/gateway/forwarded_call.h"
#include "fescuedeck/gateway/forwarded_call_attempt.h"
#include "fescuedeck/gateway/relay_result.h"
#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {
namespace {

constexpr int firstErrorStatus = 500;
// How long new requests avoid a suspect chain while its failed engine is being identified.
constexpr duration chainSuspicionDuration = std::chrono::milliseconds(300);
// An engine whose usable cache is filled beyond this share refuses requests because it lacks
// memory. That says nothing about later requests, and often no other engine of the domain has its
// layers.
constexpr double scarceCacheFill = 0.7;

} // namespace

attempt_outcome forwarded_call::handleResult(const destination &to, attempt &current,
                                             const call_result &result)
{
    if (!result.response)
        return handleFailure(to, current, result);
    const http_response &response = result.response.value();
    // The head of a stream was read when it arrived.
    const response_info answer = m_route.kind == call_kind::Stream
                                         ? m_context.adapter.readResponse(response)
                                         : readNewResponse(current, response);
    m_endpointFailure.reset();
    to.first->lastProgressAt = steadyNow();
    if (answer.didNotRun || answer.isMisdirected) {
        m_wasEndpointBusy = m_wasEndpointBusy || !answer.isMisdirected;
        event_line("sending_refused", event_level::Warning)
                .field("request", m_info.id)
                .field("endpoint", to.first->entry.id)
                .field("sending", current.number)
                .field("status", response.status)
                .field("answers", answer.id)
                .field("at_fault", answer.faultAddress)
                .field("connection", static_cast<int>(result.localPort))
                .field("reused", result.reusedConnection);
        const endpoint_ptr fault = stageAt(to, answer.faultAddress);
        const bool isFull
                = !answer.isMisdirected && (answer.faultAddress.empty() || isShortOfMemory(*fault));
        const char *cause = answer.isMisdirected ? "misdirected" : isFull ? "full" : "not_run";
        m_context.counters
                .counterOf("fescuedeck_refused_sendings_total",
                           { { "service", m_service }, { "cause", cause } })
                .add();
        if (isFull)
            m_destinations.exclude(fault->entry.id);
        else
            suspectEndpoint(to, answer.faultAddress);
        return attempt_outcome::NotRun;
    }
    ++m_possibleRuns;
    // Callers read these statuses as a promise that the request has not run. On a route that must
    // not run twice, that promise would make callers repeat a request that may have run.
    const bool isMisleadingStatus = answer.statusImpliesNotRun && !isRepeatable(m_route);
    if (current.isUnusable || isMisleadingStatus || !isValidAnswer(answer, response)) {
        event_line("answer_unusable", event_level::Warning)
                .field("request", m_info.id)
                .field("endpoint", to.first->entry.id)
                .field("status", response.status)
                .field("answers", answer.id)
                .field("sealed", answer.isSealed)
                .field("connection", static_cast<int>(result.localPort));
        suspectEndpoint(to, {});
        return outcomeAfterRun();
    }
    if (current.isStream)
        return handleStreamEnd(to, current);
    if (m_hasStreamStarted)
        return attempt_outcome::Interrupted;
    // The endpoint itself failed, so another endpoint may succeed.
    const bool isEndpointFailure = response.status >= firstErrorStatus;
    const bool hasOthers = m_open.size() > 1;
    const bool mayRetry = isRetryable(attempt_outcome::MayHaveRun, m_possibleRuns)
                          && m_context.retryBudget.available(m_service, steadyNow()) >= 1;
    const bool isRetried
            = (isEndpointFailure && (hasOthers || mayRetry)) || isOneOfSeveral(current);
    if (isEndpointFailure) {
        event_line("endpoint_failed_request", event_level::Warning)
                .field("request", m_info.id)
                .field("endpoint", to.first->entry.id)
                .field("sending", current.number)
                .field("status", response.status)
                .field("is_sent_again", isRetried);
    }
    if (isRetried) {
        m_destinations.exclude(to.first->entry.id);
        m_endpointFailure = m_route.kind == call_kind::Stream ? current.head : response;
        return attempt_outcome::MayHaveRun;
    }
    return answerCaller(to, m_route.kind == call_kind::Stream ? current.head : response);
}

void forwarded_call::logConnectionEnd(const attempt &current, const call_result &result) const
{
    event_line("answer_ended_with_connection")
            .field("request", m_info.id)
            .field("endpoint", current.to.first->entry.id)
            .field("sending", current.number)
            .field("connection", static_cast<int>(result.localPort))
            .field("request_cut", result.isRequestCut)
            .field("last_event", m_lastEventId.value_or(0));
}

attempt_outcome forwarded_call::handleFailure(const destination &to, const attempt &current,
                                              const call_result &result)
{
    const failure &error = result.response.error();
    m_context.counters.counterOf("fescuedeck_failed_sendings_total").add();
    event_line("sending_failed", event_level::Warning)
            .field("request", m_info.id)
            .field("endpoint", to.first->entry.id)
            .field("sending", current.number)
            .field("may_have_run", result.mayHaveBeenSent)
            .field("begun", m_hasStreamStarted)
            .field("connection", static_cast<int>(result.localPort))
            .field("request_cut", result.isRequestCut)
            .field("ends_with_connection", result.endsWithConnection)
            .field("cause", errorName(static_cast<errc>(error.code.value())));
    if (!result.mayHaveBeenSent) {
        if (!m_context.blamesLinks())
            m_context.endpoints.suspect(to.first->entry.id, steadyNow());
        m_destinations.exclude(to.first->entry.id);
        if (!to.chain.empty() && m_context.inspectEngine)
            m_context.inspectEngine(to.first->entry.id, engine_suspicion::Stalled);
        return attempt_outcome::NotRun;
    }
    ++m_possibleRuns;
    if (error.code == make_error_code(errc::ConnectionClosed) && !current.isUnusable)
        recordCrash(to, current);
    else if (error.code == make_error_code(errc::Timeout))
        recordIfAbandoned(current, result);
    const bool isPastDeadline = remainingTime() <= duration::zero();
    if (!isPastDeadline && !to.chain.empty())
        suspectChain(to, current);
    else if (!isPastDeadline && !current.isUnusable)
        suspectEndpoint(to, {});
    m_destinations.exclude(to.first->entry.id);
    return outcomeAfterRun();
}

attempt_outcome forwarded_call::handleRelayResult(const destination &to, attempt &current,
                                                  const call_result &result)
{
    const time_point now = steadyNow();
    const relay_result evaluated = evaluateRelay(result, m_info.id, m_context.adapter);
    const bool isSent
            = evaluated != relay_result::Unreached && evaluated != relay_result::Unavailable;
    countSending(isSent);
    m_possibleRuns += isNotRun(evaluated) ? 0 : 1;
    // A peer that answers itself after possible runs has used up the attempts that are allowed.
    if (evaluated == relay_result::Lost && result.response)
        m_possibleRuns = std::max(m_possibleRuns, m_route.maxAttempts);
    attempt_outcome outcome = outcomeAfterRun();
    if (m_hasCallerLeft || m_exchange.callerLeft())
        outcome = attempt_outcome::CallerLeft;
    else if (evaluated == relay_result::Response)
        outcome = handleRelayedResponse(current, result.response.value());
    else if (isNotRun(evaluated))
        outcome = attempt_outcome::NotRun;
    m_wasEndpointBusy = m_wasEndpointBusy || evaluated == relay_result::Refused;
    const bool isSilent = now - to.first->lastProgressAt >= busyChainStallLimit;
    // A peer that was not reached before the deadline or the withdrawal of the request may be
    // sound.
    const bool isGivenUp = current.isWithdrawn || remainingTime() <= duration::zero();
    const bool hasFailed = evaluated == relay_result::Unavailable || (!isGivenUp && !isSent)
                           || (!isGivenUp && !result.response && isSilent);
    if (outcome != attempt_outcome::Answered && outcome != attempt_outcome::CallerLeft) {
        m_destinations.excludePeer(to.first->entry.id);
        if (hasFailed)
            m_context.relays.avoid(to.first->entry.id, now);
    }
    if (result.response)
        to.first->lastProgressAt = now;
    logRelay(current, result, outcome);
    return outcome;
}

attempt_outcome forwarded_call::handleRelayedResponse(attempt &current, const http_response &whole)
{
    const http_response &response = m_route.kind == call_kind::Stream ? current.head : whole;
    const response_info answer = m_context.adapter.readResponse(response);
    const bool isMisleadingStatus = answer.statusImpliesNotRun && !isRepeatable(m_route);
    const bool isUsable
            = !current.isUnusable && !isMisleadingStatus && isValidAnswer(answer, response);
    const bool isWholeStream
            = current.isStream && m_hasStreamStarted && !current.events.hasPartialEvent();
    if (isUsable && isWholeStream) {
        finishStream();
        return attempt_outcome::Answered;
    }
    if (m_hasStreamStarted)
        return attempt_outcome::Interrupted;
    if (!isUsable || current.isStream)
        return attempt_outcome::MayHaveRun;
    if (isOneOfSeveral(current)) {
        m_endpointFailure = response;
        return attempt_outcome::MayHaveRun;
    }
    respond(response);
    return attempt_outcome::Answered;
}

void forwarded_call::respond(const http_response &response)
{
    m_isWriting = true;
    m_status = response.status;
    m_exchange.respond(m_context.adapter.forwardResponse(response));
}

void forwarded_call::finishStream()
{
    m_isWriting = true;
    m_exchange.finishStream();
}

void forwarded_call::logRelay(const attempt &current, const call_result &result,
                              attempt_outcome outcome) const
{
    const std::string name(nameOf(attemptOutcomeNames, outcome));
    m_context.counters.counterOf("fescuedeck_relayed_requests_total", { { "outcome", name } })
            .add();
    const bool isAnswered = outcome == attempt_outcome::Answered;
    const std::string cause
            = result.response ? std::string()
                              : errorName(static_cast<errc>(result.response.error().code.value()));
    event_line("relayed", isAnswered ? event_level::Info : event_level::Warning)
            .field("request", m_info.id)
            .field("peer", current.to.first->entry.id)
            .field("sending", current.number)
            .field("outcome", name)
            .field("connection", static_cast<int>(result.localPort))
            .field("status", result.response ? result.response.value().status : 0)
            .field("cause", cause);
}

void forwarded_call::recordIfAbandoned(const attempt &current, const call_result &result)
{
    if (!result.response && result.mayHaveBeenSent)
        recordAbandoned(current);
}

void forwarded_call::recordAbandoned(const attempt &current)
{
    if (current.to.isRelay || current.hasSurelyBegun() || m_context.blamesLinks())
        return;
    const std::string incarnation = incarnationName(current.to.first->entry);
    m_context.crashes.recordAbandoned(identity, incarnation, steadyNow());
}

void forwarded_call::recordCrash(const destination &to, const attempt &current)
{
    if (m_context.blamesLinks())
        return;
    const time_point now = steadyNow();
    const bool hadBegun = current.hasSurelyBegun();
    const std::string incarnation = incarnationName(to.first->entry);
    if (!hadBegun)
        recordEarlyEnd(to);
    const bool isPlainService = m_engine == nullptr && to.chain.empty();
    if (isPlainService && m_context.checkCrash)
        return m_context.checkCrash(identity, to.first);
    const int crashes = m_context.crashes.recordCrash(identity, incarnation, now);
    event_line("crash_suspected", event_level::Warning)
            .field("request", m_info.id)
            .field("fingerprint", identity.fingerprint)
            .field("endpoint", to.first->entry.id)
            .field("had_begun", hadBegun)
            .field("prompt_segments", boost::algorithm::join(m_info.promptSegments, ","))
            .field("crashes", crashes)
            .field("quarantined", isQuarantined());
}

void forwarded_call::recordEarlyEnd(const destination &to)
{
    if (m_context.blamesLinks())
        return;
    m_context.crashes.recordEarlyEnd(identity, incarnationName(to.first->entry), steadyNow());
    // Gateways count a crash that others have seen only once the engine is known to be down.
    const bool isEngine = m_engine != nullptr || !identity.sharedSegments.empty();
    if (isEngine && m_context.inspectEngine)
        m_context.inspectEngine(to.first->entry.id, engine_suspicion::Stalled);
}

attempt_outcome forwarded_call::handleStreamEnd(const destination &to, const attempt &current)
{
    if (current.events.hasPartialEvent() || !m_hasStreamStarted) {
        // A response without a length ends in the same way if the engine has crashed.
        if (!current.hasSurelyBegun())
            recordEarlyEnd(to);
        suspectEndpoint(to, {});
        return outcomeAfterRun();
    }
    for (const endpoint_ptr &stage : to.stages)
        m_context.endpoints.clearSuspicion(stage->entry.id);
    m_context.crashes.recordBegun(identity, steadyNow());
    recordAnswerLength();
    finishStream();
    return attempt_outcome::Answered;
}

attempt_outcome forwarded_call::answerCaller(const destination &to, const http_response &response)
{
    if (detail::isSuccess(response.status))
        m_context.endpoints.clearSuspicion(to.first->entry.id);
    respond(response);
    return attempt_outcome::Answered;
}

endpoint_ptr forwarded_call::stageAt(const destination &to, const std::string &address)
{
    for (const endpoint_ptr &stage : to.stages) {
        if (stage->entry.address == address)
            return stage;
    }
    return to.first;
}

bool forwarded_call::isShortOfMemory(const endpoint_record &engine) const
{
    return m_engine != nullptr && cacheFill(*m_engine, engine) >= scarceCacheFill;
}

void forwarded_call::suspectEndpoint(const destination &to, const std::string &faultAddress)
{
    const endpoint_ptr fault = stageAt(to, faultAddress);
    m_destinations.exclude(fault->entry.id);
    if (m_context.blamesLinks())
        return;
    m_context.endpoints.suspect(fault->entry.id, steadyNow());
    if (!to.chain.empty() && !faultAddress.empty() && m_context.inspectEngine)
        m_context.inspectEngine(fault->entry.id, engine_suspicion::Refused);
}

void forwarded_call::suspectChain(const destination &to, const attempt &current)
{
    if (m_context.blamesLinks()) {
        for (const endpoint_ptr &stage : to.stages)
            m_destinations.exclude(stage->entry.id);
        return;
    }
    // A late first event is weak evidence, because load delays it as well. Later streams therefore
    // get more time at this chain, and other requests do not avoid it.
    const bool isWeakEvidence = !current.timing.hasBegun();
    if (isWeakEvidence) {
        duration &usual = to.first->usualFirstEventDelay;
        usual = std::max<duration>(usual, steadyNow() - current.timing.sentAt());
    }
    for (const endpoint_ptr &stage : to.stages) {
        m_destinations.exclude(stage->entry.id);
        if (!isWeakEvidence)
            m_context.endpoints.suspectBriefly(stage->entry.id, steadyNow(),
                                               steadyNow() + chainSuspicionDuration);
    }
    if (m_context.inspectEngine)
        m_context.inspectEngine(to.first->entry.id, engine_suspicion::Stalled);
}

} // namespace fescuedeck
