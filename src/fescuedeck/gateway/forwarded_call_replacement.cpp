// The part of forwarded_call that replaces silent attempts.
//
// A replacement runs as a background_call, because the coroutine of the exchange waits for the
// silent attempt. Only that coroutine writes to the caller, so a replacement hands its events over.
#include <algorithm>

#include "fescuedeck/base/hash.h"
#include "fescuedeck/gateway/chain_progress.h"
#include "fescuedeck/gateway/forwarded_call.h"
#include "fescuedeck/gateway/forwarded_call_attempt.h"
#include "fescuedeck/gateway/relay_result.h"
#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {
namespace {

// A silent attempt that cannot be replaced now is checked this often.
constexpr duration retryCheckInterval = std::chrono::milliseconds(200);
constexpr duration destinationCheckInterval = std::chrono::milliseconds(20);
// The wait for replacements is renewed this often. A timer without an end makes Boost.Asio 1.74
// poll without a pause.
constexpr duration newsWaitInterval = std::chrono::minutes(1);
// After this long, an endpoint that has failed the request is better than none.
constexpr duration excludedWait = std::chrono::milliseconds(750);
// After this long, a second attempt at the silent endpoint itself is better than none, because its
// connection may be dead.
constexpr duration sameEndpointWait = 4 * defaultStallLimit;

} // namespace

duration forwarded_call::timeUntilStall(attempt &current)
{
    if (!mayReplace(current))
        return borrowIfSilent(current);
    duration limit = current.timing.stallLimit({ m_route.latencyObjective, m_route.gapObjective },
                                               current.hasAlternative);
    // The peer itself resumes a stream that stalls at an endpoint.
    if (current.to.isRelay)
        limit = std::max(limit, busyChainStallLimit);
    // What arrives while a slow caller takes earlier events is read only afterwards.
    const time_point activeAt = std::max(current.timing.lastActivityAt(), m_writtenAt);
    const duration timeLeft = std::max<duration>(
            fescuedeck::timeUntilStall(current.to.stages, activeAt, limit, steadyNow()),
            current.quietUntil - steadyNow());
    if (timeLeft > duration::zero())
        return timeLeft;
    recordSilence(current);
    startReplacement(current);
    return destinationCheckInterval;
}

// A silent attempt may lack only a retry, which a peer can lend.
duration forwarded_call::borrowIfSilent(const attempt &current)
{
    const duration silence = steadyNow() - current.timing.lastActivityAt();
    const bool lacksRetry = m_context.retryBudget.available(m_service, steadyNow()) < 1;
    const bool isSilent = silence >= current.timing.stallLimit(
                                  { m_route.latencyObjective, m_route.gapObjective }, true);
    if (!lacksRetry || !isSilent || m_isWriting || !isRetryableIfAttemptsFail()
        || !m_context.borrowRetries)
        return retryCheckInterval;
    m_context.borrowRetries(m_service);
    return destinationCheckInterval;
}

void forwarded_call::listRunningStream(attempt &current, double tokens)
{
    running_stream stream;
    stream.request = m_info.id;
    stream.service = m_service;
    stream.engine = m_engine;
    stream.rank = rank;
    stream.gapObjective = m_route.gapObjective;
    stream.requestHash = stableHash(m_info.id);
    stream.cacheTokens = tokens;
    stream.path = current.to;
    stream.status = [this, &current] {
        stream_status status;
        status.activeAt = std::max(current.timing.lastActivityAt(), m_writtenAt);
        status.usualGap = current.timing.usualGap();
        status.tokens
                = m_info.promptTokens + static_cast<std::int64_t>(current.events.completeEvents());
        status.hasBegun = current.timing.hasBegun();
        status.mayMove = current.isSent && !current.isSuperseded && !current.isWithdrawn
                         && !m_isWriting && !m_hasCallerLeft && m_open.size() == 1;
        return status;
    };
    stream.onMoved = [&current](const destination &path, time_point quietUntil) {
        current.to = path;
        current.inFlight.moveTo(path.stages);
        current.quietUntil = quietUntil;
        current.silentSince = {};
    };
    stream.onOrdered = [&current](time_point holdUntil) {
        current.quietUntil = std::max(current.quietUntil, holdUntil);
    };
    stream.onNotMoved = [this, &current](bool isLost) {
        current.quietUntil = {};
        if (isLost)
            replaceLost(current);
        else
            timeUntilStall(current); // the replacement may be due
    };
    current.runningStream.emplace(m_context.runningStreams, std::move(stream));
}

void forwarded_call::moveIfStalled(attempt &current)
{
    // A request that waits for its connection has not been sent.
    if (!current.isSent) {
        current.isWithdrawn = true;
        current.cancellation.cancel();
        return;
    }
    const bool isStalled = steadyNow() - current.timing.lastActivityAt() >= isolatedStallLimit;
    if (isStalled && mayReplace(current))
        startReplacement(current);
}

void forwarded_call::replaceLost(attempt &current)
{
    if (!mayReplace(current))
        return;
    // The first engine still has the request, and other engines of the chain may be sound.
    m_destinations.exclude(current.to.first->entry.id);
    startReplacement(current);
}

bool forwarded_call::mayReplace(attempt &current) const
{
    const bool isNewest = !m_open.empty() && m_open.back().get() == &current;
    return isNewest && !m_isWriting && !current.isSuperseded && isRetryableIfAttemptsFail()
           && current.retry.tryReserve();
}

int forwarded_call::openRuns() const
{
    return static_cast<int>(std::count_if(m_open.begin(), m_open.end(),
                                          [](const auto &each) { return each->isSent; }));
}

void forwarded_call::startReplacement(attempt &current)
{
    const std::optional<destination> to = chooseReplacement(current);
    if (!to)
        return;
    if (!m_hasUnusedRetry)
        m_hasUnusedRetry = m_context.retryBudget.takeRetry(m_service, steadyNow());
    if (!m_hasUnusedRetry)
        return;
    current.retry.release();
    recordInBudget(to);
    attempt &replacement = beginAttempt(*to);
    call_options options = callOptions(replacement);
    options.onSending = [this, &replacement] {
        replacement.isSent = true;
        m_hasUnusedRetry = false;
    };
    background_call_hooks hooks;
    hooks.onNews = [this, &replacement] { onReplacementNews(replacement); };
    if (options.onBodyPart) {
        hooks.readPart = [this, &replacement](std::string_view part) {
            return readEvents(replacement, part);
        };
    }
    options.onBodyPart = nullptr;
    replacement.call.emplace(m_context.io, m_context.client, to->first->entry.address,
                             replacement.request, std::move(options), std::move(hooks));
}

std::optional<destination> forwarded_call::chooseReplacement(const attempt &current)
{
    std::optional<destination> to = chooseDestination();
    const duration silence = steadyNow() - current.timing.lastActivityAt();
    const bool isSilent = current.silentSince != time_point{};
    if (to || !isSilent || steadyNow() - current.silentSince < excludedWait)
        return to;
    m_destinations.clearExcluded();
    for (const auto &each : m_open) {
        if (silence < sameEndpointWait)
            exclude(each->to);
    }
    return chooseDestination();
}

void forwarded_call::exclude(const destination &from)
{
    for (const endpoint_ptr &stage : from.stages) {
        if (from.isRelay)
            m_destinations.excludePeer(stage->entry.id);
        else
            m_destinations.exclude(stage->entry.id);
    }
}

void forwarded_call::recordSilence(attempt &current)
{
    if (current.silentSince != time_point{})
        return;
    const time_point now = steadyNow();
    const destination &to = current.to;
    current.silentSince = now;
    m_context.counters.counterOf("fescuedeck_silent_sendings_total").add();
    event_line("sending_silent", event_level::Warning)
            .field("request", m_info.id)
            .field("endpoint", to.first->entry.id)
            .field("sending", current.number)
            .field("begun", m_hasStreamStarted)
            .field("silent_ms", duration(now - current.timing.lastActivityAt()));
    if (!to.chain.empty())
        suspectChain(to, current);
    else if (!to.isRelay)
        suspectEndpoint(to, {});
    else if (now - to.first->lastProgressAt >= busyChainStallLimit)
        m_context.relays.avoid(to.first->entry.id, now);
    exclude(to);
}

void forwarded_call::onReplacementNews(attempt &replacement)
{
    // Without an owner, the coroutine of the exchange waits for the news itself. It may still
    // deliver a superseded replacement, so that it also ends that one.
    const bool isLeftToExchange = m_owner == nullptr || replacement.isSuperseded;
    if (!isLeftToExchange && m_owner != &replacement && !m_isWriting) {
        const auto &result = replacement.call->result();
        if (!result || isWholeAnswer(replacement, *result))
            makeOwner(replacement);
        else
            endAttempt(replacement, *result);
    }
    if (m_news)
        m_news->set();
}

bool forwarded_call::isWholeAnswer(const attempt &current, const call_result &result) const
{
    if (!result.response || current.isUnusable)
        return false;
    const bool isRefusedByPeer
            = current.to.isRelay
              && evaluateRelay(result, m_info.id, m_context.adapter) != relay_result::Response;
    const http_response &response
            = m_route.kind == call_kind::Stream ? current.head : result.response.value();
    const response_info answer = m_context.adapter.readResponse(response);
    if (isRefusedByPeer || answer.didNotRun || answer.isMisdirected
        || !isValidAnswer(answer, response))
        return false;
    if (current.isStream)
        return m_hasStreamStarted && !current.events.hasPartialEvent();
    return !m_hasStreamStarted && detail::isSuccess(response.status);
}

void forwarded_call::makeOwner(attempt &current)
{
    attempt *const earlier = m_owner;
    m_owner = &current;
    if (earlier != nullptr) {
        earlier->isSuperseded = true;
        earlier->cancellation.cancel();
        event_line("sending_superseded", event_level::Warning)
                .field("request", m_info.id)
                .field("endpoint", earlier->to.first->entry.id)
                .field("by", current.to.first->entry.id)
                .field("after_event", m_lastEventId.value_or(0));
    }
    withdrawOthers(&current, earlier);
}

void forwarded_call::withdrawOthers(const attempt *kept, const attempt *alsoKept)
{
    // The attempt without a call belongs to the coroutine of the exchange, which ends it.
    const auto isKept = [=](const std::unique_ptr<attempt> &each) {
        return each.get() == kept || each.get() == alsoKept || !each->call;
    };
    const auto firstOther = std::stable_partition(m_open.begin(), m_open.end(), isKept);
    for (auto each = firstOther; each != m_open.end(); ++each) {
        event_line("replacement_cancelled")
                .field("request", m_info.id)
                .field("endpoint", (*each)->to.first->entry.id)
                .field("sent", (*each)->isSent);
        recordWithdrawal(**each);
    }
    m_open.erase(firstOther, m_open.end());
}

attempt_outcome forwarded_call::recordWithdrawal(const attempt &current)
{
    countSending(current.isSent);
    if (!current.isSent)
        return attempt_outcome::NotRun;
    ++m_possibleRuns;
    recordAbandoned(current);
    return outcomeAfterRun();
}

bool forwarded_call::isOneOfSeveral(const attempt &current) const
{
    return &current != m_owner && m_open.size() > 1;
}

attempt_outcome forwarded_call::runReplacements(attempt_outcome last)
{
    while (!m_open.empty() && last != attempt_outcome::Answered
           && last != attempt_outcome::CallerLeft) {
        if (m_owner != nullptr) {
            last = deliver(*m_owner);
            continue;
        }
        const auto ready = std::find_if(m_open.begin(), m_open.end(), [](const auto &each) {
            return each->call->hasPart() || each->call->result();
        });
        if (ready == m_open.end())
            waitForNews();
        else if ((*ready)->call->hasPart())
            makeOwner(**ready);
        else
            last = endAttempt(**ready, *(*ready)->call->result());
    }
    withdrawOthers(nullptr);
    const bool hasAnswered = last == attempt_outcome::Answered;
    return !hasAnswered && m_hasCallerLeft ? attempt_outcome::CallerLeft : last;
}

attempt_outcome forwarded_call::deliver(attempt &owner)
{
    while (!owner.isSuperseded) {
        if (owner.call->hasPart())
            writeEvents(owner, owner.call->takePart());
        else if (owner.call->result())
            return endAttempt(owner, *owner.call->result());
        else
            waitForNews();
    }
    return endAttempt(owner, { makeFailure(errc::ConnectionClosed, "superseded"), owner.isSent });
}

void forwarded_call::waitForNews()
{
    m_news.emplace(m_exchange.yield());
    m_news->waitUntil(steadyNow() + newsWaitInterval, m_exchange.yield());
}

} // namespace fescuedeck
