#include "fescuedeck/gateway/forwarded_call.h"

#include <algorithm>

#include "fescuedeck/gateway/event_timing.h"
#include "fescuedeck/gateway/retry_after.h"
#include "fescuedeck/gateway/sending_guards.h"
#include "fescuedeck/router/wait_event.h"
#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {
namespace {

constexpr int firstErrorStatus = 500;
constexpr int statusOk = 200;
// Sendings beyond those that may run, for endpoints that refuse.
constexpr int extraSendings = 2;
// A host that is up accepts a connection much sooner.
constexpr duration connectTimeout = std::chrono::milliseconds(400);
// How long a request that may have run waits for an endpoint. Callers leave a stream after a gap
// of about two seconds.
constexpr duration longestHold = std::chrono::milliseconds(1500);
// Share of the objective that a request which has not run may wait.
constexpr int shortHoldShare = 8;
// Share of the remaining time that it may wait while endpoints are still announcing themselves.
constexpr int announcementHoldShare = 3;
constexpr duration holdInterval = std::chrono::milliseconds(20);
// A chain takes no new request beyond this share of its usable cache.
constexpr double fullChain = 1;
// Beyond this share a request is refused after the wait, to return when there is room.
constexpr double overfullChain = 1.3;
// Callers leave a stream that has not begun after about two seconds.
constexpr duration longestRoomWait = std::chrono::milliseconds(400);
// How long a chain is left alone while its failed engine is being found.
constexpr duration chainDoubt = std::chrono::milliseconds(300);
// The caller gets the gateway's answer this long before it stops waiting.
constexpr duration answerMargin = std::chrono::milliseconds(30);

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

// One sending.
struct forwarded_call::attempt
{
    attempt(gateway_context &context, const std::string &service,
            std::optional<std::int64_t> lastEvent, endpoint_ptr firstEndpoint)
        : retry(context, service)
        , events(lastEvent)
        , first(std::move(firstEndpoint))
        , timing(steadyNow(), first->usualFirstEvent)
    {
    }

    retry_reservation retry;
    call_cancellation cancellation;
    event_splitter events;
    const endpoint_ptr first;
    http_response head;
    event_timing timing;
    bool hasAlternative = false; // another chain could take the request over
    bool isStream = false;       // the head of a stream of events has arrived
    bool isBroken = false;       // the answer cannot be passed on
};

forwarded_call::forwarded_call(gateway_context &context, http_exchange &exchange,
                               std::shared_ptr<const config_index> config, const route_rule &route,
                               const call_info &info)
    : m_context(context)
    , m_exchange(exchange)
    , m_config(std::move(config))
    , m_route(route)
    , m_info(info)
    , m_service(drawService(route, context.random))
    , m_rule(m_config->findService(m_service))
    , m_lastEvent(info.resumeAfter)
{
}

void forwarded_call::run()
{
    m_exchange.onCallerLeft([this] {
        m_hasLeft = true;
        m_cancellation.cancel();
    });
    m_context.retries.recordRequest(m_service, steadyNow());
    attempt_end last = attempt_end::NotRun;
    do {
        const std::optional<destination> to = waitForDestination();
        if (m_hasLeft || m_exchange.callerLeft())
            return finish("caller_left");
        if (!to) {
            m_gaveUp = give_up_reason::NoEndpoint;
            break;
        }
        last = send(*to);
    } while (goesOn(last));
    if (last == attempt_end::Answered)
        return finish("answered");
    if (last == attempt_end::CallerLeft)
        return finish("caller_left");
    if (m_ownFailure && !m_streamBegun) {
        m_status = m_ownFailure->status;
        m_exchange.respond(m_context.wire.passAnswer(*m_ownFailure));
        return finish("answered");
    }
    refuseFinally(last);
}

// What has run or may have run cannot be refused as not run, so that it waits for an endpoint; so
// does, for a moment, what would be refused only for a passing doubt, and longer what came before
// the list of endpoints can be taken as complete.
duration forwarded_call::patience() const
{
    if (m_runs > 0 || m_streamBegun)
        return longestHold;
    const duration usual = m_route.objective / shortHoldShare;
    const time_point now = steadyNow();
    const bool isListComplete = m_context.knowsEndpoints && now >= m_context.endpointsCompleteAt;
    if (isListComplete)
        return usual;
    const duration left = longestHold - (now - arrivedAt);
    return std::max(usual, std::min<duration>(left, remaining() / announcementHoldShare));
}

std::optional<destination> forwarded_call::waitForDestination()
{
    const bool mustGoOn = m_runs > 0 || m_streamBegun;
    const time_point limit
            = steadyNow() + std::min<duration>(patience(), remaining() - answerMargin);
    std::optional<destination> to = choose(m_failed);
    if (to && !mustGoOn && to->fill > fullChain)
        return waitForRoom(std::move(to));
    bool isForgiven = false;
    while (!to && steadyNow() < limit && !m_hasLeft) {
        sleepFor(holdInterval, m_exchange.yield());
        // An endpoint that failed this request before is better than none.
        if (mustGoOn && !isForgiven && limit - steadyNow() < longestHold / 2) {
            isForgiven = true;
            m_failed.clear();
        }
        to = choose(m_failed);
    }
    return to;
}

// More requests than fit make engines preempt some and delay all.
std::optional<destination> forwarded_call::waitForRoom(std::optional<destination> to)
{
    const time_point limit = steadyNow() + std::min<duration>(longestRoomWait, remaining() / 2);
    while (to && to->fill > fullChain && steadyNow() < limit && !m_hasLeft) {
        sleepFor(holdInterval, m_exchange.yield());
        to = choose(m_failed);
    }
    if (!to || to->fill <= overfullChain)
        return to;
    m_wasBusy = true;
    return std::nullopt;
}

bool forwarded_call::hasAlternativeTo(const destination &to) const
{
    std::set<std::string> excluded = m_failed;
    for (const endpoint_ptr &stage : to.stages)
        excluded.insert(stage->entry.id);
    return choose(excluded).has_value();
}

std::optional<destination> forwarded_call::choose(const std::set<std::string> &excluded) const
{
    const choice_request request{ m_context.settings.failureDomain, excluded, steadyNow() };
    const std::vector<endpoint_ptr> endpoints = m_context.endpoints.ofService(m_service);
    if (m_rule != nullptr && m_rule->engine)
        return chooseChain(*m_rule->engine, endpoints, request);
    return chooseEndpoint(endpoints, request);
}

bool forwarded_call::goesOn(attempt_end last)
{
    m_gaveUp = give_up_reason::NoAttempt;
    if (!isRepeatable(last))
        return false;
    m_gaveUp = give_up_reason::NoRetry;
    return m_context.retries.takeRetry(m_service, steadyNow());
}

bool forwarded_call::isRepeatable(attempt_end last) const
{
    const bool isIdempotent = isRepeatableKind();
    const bool mayRunAgain = last == attempt_end::NotRun
                             || (last == attempt_end::MayHaveRun && isIdempotent)
                             || (last == attempt_end::Interrupted && m_route.isResumable);
    if (m_context.crashes.isQuarantined(fingerprint, steadyNow()))
        return false;
    return mayRunAgain && !m_hasLeft && m_runs < m_route.maxAttempts
           && m_sendings < m_route.maxAttempts + extraSendings && remaining() > answerMargin;
}

// Callers state the most that they take, which few answers reach.
double forwarded_call::expectedAnswerTokens() const
{
    const auto most = static_cast<double>(m_info.maxAnswerTokens);
    if (m_rule == nullptr || !m_rule->engine || m_rule->engine->usualAnswerTokens == 0)
        return most;
    return std::min(most, static_cast<double>(m_rule->engine->usualAnswerTokens));
}

attempt_end forwarded_call::send(const destination &to)
{
    ++m_sendings;
    m_lastEndpoint = to.first->entry.id;
    if (m_sendings > 1)
        logRepetition(to);
    attempt current(m_context, m_service, m_lastEvent, to.first);
    const in_flight_guard inFlight(to.stages, static_cast<double>(m_info.promptTokens)
                                                      + expectedAnswerTokens());
    forwarding options;
    options.endpoint = to.first->entry.id;
    options.workspace = workspace;
    options.timeLimit = remaining();
    options.chain = to.chain;
    options.resumeAfter = m_lastEvent;
    const http_request request = m_context.wire.forward(m_exchange.request(), options);

    call_options call;
    call.timeout = remaining();
    call.connectTimeout = connectTimeout;
    call.cancellation = current.cancellation;
    if (m_route.kind == call_kind::Stream) {
        current.hasAlternative = hasAlternativeTo(to);
        call.silenceTimeout = [this, &current] { return silenceLimit(current); };
        call.collectsBody = false;
        call.onHead = [&](const http_response &head) { onStreamHead(current, head); };
        call.onBodyPart = [&](std::string_view part) { onStreamPart(current, part); };
    }
    m_cancellation = current.cancellation;
    const call_result result
            = m_context.client.send(to.first->entry.address, request, call, m_exchange.yield());
    if (m_hasLeft || m_exchange.callerLeft()) {
        // Callers leave silent streams as well, and what silenced them must still be found.
        if (!to.chain.empty() && steadyNow() - current.timing.lastSign() >= longestSilence) {
            event_line("silent_stream_left", event_level::Warning)
                    .field("request", m_info.id)
                    .field("endpoint", to.first->entry.id)
                    .field("has_alternative", current.hasAlternative)
                    .field("has_retry", current.retry.isHeld());
            doubtChain(to, current);
        }
        return attempt_end::CallerLeft;
    }
    return judge(to, current, result);
}

void forwarded_call::logRepetition(const destination &to) const
{
    m_context.counters.counterOf("fescuedeck_repeated_sendings_total", { { "service", m_service } })
            .add();
    event_line("sent_again")
            .field("request", m_info.id)
            .field("endpoint", to.first->entry.id)
            .field("failure_domain", to.first->entry.failureDomain)
            .field("sending", m_sendings)
            .field("after_event", m_lastEvent.value_or(0))
            .field("elapsed_ms", duration(steadyNow() - arrivedAt))
            .field("retries_left",
                   static_cast<int>(m_context.retries.available(m_service, steadyNow())));
}

// Without another attempt or another chain there is nothing to gain from giving up early, and
// without a retry the stream would be broken off.
duration forwarded_call::silenceLimit(attempt &current) const
{
    const bool canGoOn
            = m_runs + 1 < m_route.maxAttempts && current.hasAlternative && current.retry.isHeld();
    return current.timing.limit({ m_route.objective, m_route.pauseObjective }, canGoOn);
}

void forwarded_call::noteEvents(attempt &current)
{
    constexpr int smoothing = 4;
    const time_point now = steadyNow();
    if (!current.timing.hasBegun()) {
        duration &usual = current.first->usualFirstEvent;
        usual += (now - current.timing.sentAt() - usual) / smoothing;
    }
    current.timing.noteEvent(now);
}

void forwarded_call::notePassed(time_point now)
{
    if (m_lastPassed == time_point{})
        m_context.counters.histogramOf("fescuedeck_first_event_seconds").observe(now - arrivedAt);
    else
        m_longestPause = std::max<duration>(m_longestPause, now - m_lastPassed);
    m_lastPassed = now;
}

void forwarded_call::onStreamHead(attempt &current, const http_response &head)
{
    const answer_info answer = m_context.wire.readAnswer(head);
    current.head = head;
    current.isStream = head.status == statusOk && isSealedAnswer(answer, head);
    current.isBroken = isSuccess(head.status) && !current.isStream;
    if (current.isBroken)
        current.cancellation.cancel();
}

void forwarded_call::onStreamPart(attempt &current, std::string_view part)
{
    if (!current.isStream) {
        current.head.body += part; // of a failure, to be passed on whole
        return;
    }
    noteEvents(current);
    current.events.feed(part);
    const std::string events = current.events.take();
    if (current.events.isBroken()) {
        current.isBroken = true;
        current.cancellation.cancel();
    }
    if (events.empty())
        return;
    if (!m_streamBegun) {
        m_streamBegun = true;
        m_status = current.head.status;
        m_exchange.startStream(m_context.wire.passAnswer(current.head));
    }
    m_lastEvent = current.events.lastId();
    notePassed(steadyNow());
    if (!m_exchange.writeChunk(events)) {
        m_hasLeft = true;
        current.cancellation.cancel();
    }
}

bool forwarded_call::isSealedAnswer(const answer_info &answer, const http_response &response) const
{
    return answer.id == m_info.id && !answer.isEncoded
           && (answer.isSealed || !isSuccess(response.status));
}

attempt_end forwarded_call::judge(const destination &to, attempt &current,
                                  const call_result &result)
{
    if (!result.response)
        return judgeFailure(to, current, result);
    const http_response &response = result.response.value();
    const answer_info answer = m_context.wire.readAnswer(response);
    m_ownFailure.reset();
    if (answer.didNotRun || answer.isMisdirected) {
        m_wasBusy = m_wasBusy || !answer.isMisdirected;
        event_line("sending_refused", event_level::Warning)
                .field("request", m_info.id)
                .field("endpoint", to.first->entry.id)
                .field("sending", m_sendings)
                .field("status", response.status)
                .field("at_fault", answer.faultAddress);
        const bool isFull = !answer.isMisdirected && answer.faultAddress.empty();
        if (isFull)
            m_failed.insert(to.first->entry.id);
        else
            blame(to, answer.faultAddress);
        return attempt_end::NotRun;
    }
    ++m_runs;
    // Callers take these statuses for the promise that the request has not run.
    const bool isFalsePromise = answer.promisesNotRun && !isRepeatableKind();
    if (current.isBroken || isFalsePromise || !isSealedAnswer(answer, response)) {
        event_line("answer_unusable", event_level::Warning)
                .field("request", m_info.id)
                .field("endpoint", to.first->entry.id)
                .field("status", response.status)
                .field("answers", answer.id)
                .field("sealed", answer.isSealed);
        blame(to, {});
        return m_streamBegun ? attempt_end::Interrupted : attempt_end::MayHaveRun;
    }
    if (current.isStream)
        return judgeStreamEnd(to, current);
    if (m_streamBegun)
        return attempt_end::Interrupted;
    // A failure of the endpoint itself: another one may do better.
    const bool isOwnFailure = response.status >= firstErrorStatus;
    const bool isSentAgain = isOwnFailure && isRepeatable(attempt_end::MayHaveRun)
                             && m_context.retries.available(m_service, steadyNow()) >= 1;
    if (isOwnFailure) {
        event_line("endpoint_failed_request", event_level::Warning)
                .field("request", m_info.id)
                .field("endpoint", to.first->entry.id)
                .field("sending", m_sendings)
                .field("status", response.status)
                .field("is_sent_again", isSentAgain);
    }
    if (isSentAgain) {
        m_failed.insert(to.first->entry.id);
        m_ownFailure = m_route.kind == call_kind::Stream ? current.head : response;
        return attempt_end::MayHaveRun;
    }
    return passOn(to, m_route.kind == call_kind::Stream ? current.head : response);
}

attempt_end forwarded_call::judgeFailure(const destination &to, const attempt &current,
                                         const call_result &result)
{
    const failure &error = result.response.error();
    m_context.counters.counterOf("fescuedeck_failed_sendings_total").add();
    event_line("sending_failed", event_level::Warning)
            .field("request", m_info.id)
            .field("endpoint", to.first->entry.id)
            .field("sending", m_sendings)
            .field("may_have_run", result.mayHaveBeenSent)
            .field("begun", m_streamBegun)
            .field("cause", errorName(static_cast<errc>(error.code.value())));
    if (!result.mayHaveBeenSent) {
        m_context.endpoints.suspect(to.first->entry.id, steadyNow());
        m_failed.insert(to.first->entry.id);
        if (!to.chain.empty() && m_context.inspectEngine)
            m_context.inspectEngine(to.first->entry.id, engine_doubt::Silent);
        return attempt_end::NotRun;
    }
    ++m_runs;
    if (error.code == make_error_code(errc::ConnectionClosed) && !current.isBroken)
        noteCrash(to);
    const bool isOverTime = remaining() <= duration::zero();
    if (!isOverTime && !to.chain.empty())
        doubtChain(to, current);
    else if (!isOverTime && !current.isBroken)
        blame(to, {});
    m_failed.insert(to.first->entry.id);
    return m_streamBegun ? attempt_end::Interrupted : attempt_end::MayHaveRun;
}

void forwarded_call::noteCrash(const destination &to)
{
    const bool isQuarantined = m_context.crashes.recordCrash(fingerprint, steadyNow());
    event_line("crash_suspected", event_level::Warning)
            .field("request", m_info.id)
            .field("endpoint", to.first->entry.id)
            .field("crashes", m_context.crashes.crashesOf(fingerprint))
            .field("quarantined", isQuarantined);
    if (isQuarantined && m_context.onQuarantine)
        m_context.onQuarantine(fingerprint);
}

attempt_end forwarded_call::judgeStreamEnd(const destination &to, const attempt &current)
{
    if (current.events.hasPartialEvent() || !m_streamBegun) {
        blame(to, {});
        return m_streamBegun ? attempt_end::Interrupted : attempt_end::MayHaveRun;
    }
    for (const endpoint_ptr &stage : to.stages)
        m_context.endpoints.confirm(stage->entry.id);
    m_exchange.finishStream();
    return attempt_end::Answered;
}

attempt_end forwarded_call::passOn(const destination &to, const http_response &response)
{
    if (isSuccess(response.status))
        m_context.endpoints.confirm(to.first->entry.id);
    m_status = response.status;
    m_exchange.respond(m_context.wire.passAnswer(response));
    return attempt_end::Answered;
}

// Keeps this request, and for a while all others, from the endpoint at fault.
void forwarded_call::blame(const destination &to, const std::string &faultAddress)
{
    endpoint_ptr fault = to.first;
    for (const endpoint_ptr &stage : to.stages) {
        if (!faultAddress.empty() && stage->entry.address == faultAddress)
            fault = stage;
    }
    m_failed.insert(fault->entry.id);
    m_context.endpoints.suspect(fault->entry.id, steadyNow());
    if (!to.chain.empty() && !faultAddress.empty() && m_context.inspectEngine)
        m_context.inspectEngine(fault->entry.id, engine_doubt::Refused);
}

// Any engine of the chain may have failed. This request leaves them all, and others do so until the
// first engine has said which one it waits for.
void forwarded_call::doubtChain(const destination &to, const attempt &current)
{
    // A late first event is a weak sign, which load explains as well: the chain gets more time.
    const bool isWeak = !current.timing.hasBegun();
    if (isWeak) {
        duration &usual = to.first->usualFirstEvent;
        usual = std::max<duration>(usual, steadyNow() - current.timing.sentAt());
    }
    for (const endpoint_ptr &stage : to.stages) {
        m_failed.insert(stage->entry.id);
        if (!isWeak)
            m_context.endpoints.suspectBriefly(stage->entry.id, steadyNow() + chainDoubt);
    }
    if (m_context.inspectEngine)
        m_context.inspectEngine(to.first->entry.id, engine_doubt::Silent);
}

void forwarded_call::refuseFinally(attempt_end last)
{
    if (m_streamBegun) { // it ends without its final chunk
        event_line("stream_broken_off", event_level::Warning)
                .field("request", m_info.id)
                .field("gave_up", nameOf(giveUpReasonNames, m_gaveUp))
                .field("service", m_service)
                .field("excluded", static_cast<int>(m_failed.size()))
                .field("last_event", m_lastEvent.value_or(0));
        return finish("broken_off");
    }
    const bool hasRun = last != attempt_end::NotRun || (m_runs > 0);
    refusal_reason reason = m_wasBusy ? refusal_reason::Busy : refusal_reason::NoEndpoint;
    if (hasRun)
        reason = remaining() <= answerMargin ? refusal_reason::TimedOut : refusal_reason::Failed;
    const duration retryAfter
            = retryAfterFor(reason, m_context.layersExpectedAt - steadyNow(), m_context.random);
    event_line("request_refused", event_level::Warning)
            .field("request", m_info.id)
            .field("reason", nameOf(refusalReasonNames, reason))
            .field("gave_up", nameOf(giveUpReasonNames, m_gaveUp))
            .field("service", m_service)
            .field("excluded", static_cast<int>(m_failed.size()))
            .field("retry_after_ms", retryAfter);
    m_context.counters
            .counterOf("fescuedeck_refused_requests_total",
                       { { "reason", std::string(nameOf(refusalReasonNames, reason)) } })
            .add();
    const http_response refusal = m_context.wire.refuse(reason, retryAfter);
    m_status = refusal.status;
    m_exchange.respond(refusal);
    finish(hasRun ? "failed" : "refused");
}

void forwarded_call::finish(const char *outcome)
{
    const time_point now = steadyNow();
    const time_point lastSign = std::max(arrivedAt, m_lastPassed);
    event_line("request_ended")
            .field("request", m_info.id)
            .field("outcome", outcome)
            .field("status", m_status)
            .field("kind", nameOf(callKindNames, m_route.kind))
            .field("route", m_route.name)
            .field("workspace", workspace)
            .field("config", m_config->config().version)
            .field("sendings", m_sendings)
            .field("runs", m_runs)
            .field("last_endpoint", m_lastEndpoint)
            .field("last_event", m_lastEvent.value_or(0))
            .field("silent_ms", duration(now - lastSign))
            .field("took_ms", duration(now - arrivedAt));
    const std::string kind(nameOf(callKindNames, m_route.kind));
    metrics &counters = m_context.counters;
    counters.counterOf("fescuedeck_requests_total", { { "kind", kind }, { "outcome", outcome } })
            .add();
    counters.histogramOf("fescuedeck_request_seconds", { { "kind", kind } })
            .observe(now - arrivedAt);
    if (m_streamBegun)
        counters.histogramOf("fescuedeck_longest_pause_seconds").observe(m_longestPause);
}

} // namespace fescuedeck
