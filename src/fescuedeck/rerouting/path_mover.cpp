#include "fescuedeck/rerouting/path_mover.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

#include <boost/asio/post.hpp>

#include "fescuedeck/base/hash.h"
#include "fescuedeck/gateway/attempt_guards.h"
#include "fescuedeck/gateway/event_timing.h"
#include "fescuedeck/rerouting/stall_finder.h"
#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {
namespace {

// A stream that has been moved this often is left to the replacement of silent attempts.
constexpr int maxOrdersPerStream = 4;
// After a path was not found, or the chain had no other engine, it is searched again this late.
constexpr duration planInterval = std::chrono::milliseconds(100);
// An engine answers an order at once, so that the rest of the accepted gap remains for reading.
constexpr duration minOrderTimeout = std::chrono::milliseconds(50);
constexpr duration maxOrderTimeout = std::chrono::milliseconds(150);
// A guess is forgotten after this time unless it is confirmed.
constexpr duration suspicionDuration = std::chrono::milliseconds(250);
// How long a new engine counts as reading the tokens if its stream stays silent.
constexpr duration maxReadTime = std::chrono::milliseconds(600);
// Time until the first event through a new path, in addition to the reading.
constexpr duration pathSetupTime = std::chrono::milliseconds(50);
// After a change of the endpoints or a due move, all streams are checked for this long, because
// some may not move at once.
constexpr duration recheckTime = std::chrono::seconds(1);
// An engine that was full or not there is left out of new paths for this long. It is inspected
// meanwhile, which takes 400 ms if it does not answer.
constexpr duration unavailableDuration = std::chrono::milliseconds(500);
// The list of engines without path changes is cleared beyond this size.
constexpr std::size_t maxUnsupported = 1024;
// Gateways that see the same loads prefer different engines by up to this share of their cost.
constexpr double spreadShare = 0.2;
// Each stream that moves to an engine adds this share to the cost of its layers, because the engine
// reads the tokens of one stream after the other. It exceeds spreadShare, so that the streams of
// one gateway spread over engines of equal load.
constexpr double moveCostShare = 0.5;

std::optional<path_change_cause> causeOf(const gateway_context &context,
                                         const std::string &incarnation, const layer_range &layers,
                                         time_point now)
{
    const endpoint_ptr engine = context.endpoints.findIncarnation(incarnation);
    if (!engine || engine->isLost(now))
        return path_change_cause::Lost;
    if (engine->hasStatedLeaving || engine->entry.phase == endpoint_phase_announced::Draining)
        return path_change_cause::Leaving;
    if (!engine->entry.layers || !engine->entry.layers->contains(layers))
        return path_change_cause::LayersGivenUp;
    return std::nullopt;
}

stream_progress progressOf(const running_stream &stream, const stream_status &status)
{
    stream_progress progress;
    for (const endpoint_ptr &stage : stream.path.stages)
        progress.engines.push_back(stage->entry.id);
    progress.activeAt = status.activeAt;
    progress.usualGap = status.usualGap;
    progress.gapObjective = stream.gapObjective;
    progress.isWatched = status.hasBegun && status.mayMove;
    return progress;
}

// Whether the engine completes the stream in spite of the cause, as one does that leaves or gives
// up layers. Moving all its streams only makes other engines read many prompts again.
bool completesItsWork(path_change_cause cause, bool isStreamSilent)
{
    const bool isPlanned
            = cause == path_change_cause::Leaving || cause == path_change_cause::LayersGivenUp;
    return isPlanned && !isStreamSilent;
}

duration acceptedGap(const running_stream &stream)
{
    return stream.gapObjective > duration::zero() ? stream.gapObjective : defaultStallLimit;
}

bool hasCacheFor(const running_stream &stream, const endpoint_record &engine)
{
    endpoint_record loaded = engine;
    loaded.tokensInFlight += stream.cacheTokens;
    return cacheFill(*stream.engine, loaded) <= 1;
}

std::string describe(const std::vector<chain_part> &chain)
{
    std::string text;
    for (const chain_part &part : chain)
        text += (text.empty() ? "" : ",") + part.endpoint + "=" + toString(part.layers);
    return text;
}

} // namespace

void sortByUrgency(std::vector<move_candidate> &candidates)
{
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return std::tie(a.timeLeft, a.rank) < std::tie(b.timeLeft, b.rank);
    });
}

int maxMovesAtOnce(const endpoint_record &engine)
{
    return std::max(1, (engine.entry.slots - engine.inFlight - engine.peerInFlight) / 2);
}

path_mover::path_mover(gateway_context &context)
    : m_context(context)
{
}

void path_mover::check()
{
    const time_point now = m_context.inputHandledUntil();
    updateMoves(now);
    const bool mayOrder = m_context.adapter.encodePathChange != nullptr && !m_context.isIsolated()
                          && !m_context.blamesLinks();
    if (!mayOrder || m_context.runningStreams.all().empty() || !mayHaveNews(now))
        return;
    updateSuspects(now);
    const std::vector<move_candidate> due = candidates(now);
    if (!due.empty())
        m_checkUntil = now + recheckTime; // some may have to wait for room
    for (const move_candidate &candidate : due)
        startMove(candidate);
    askForReports(now);
}

bool path_mover::mayHaveNews(time_point now)
{
    if (m_context.endpoints.revision() != m_seenRevision) {
        m_seenRevision = m_context.endpoints.revision();
        m_checkUntil = now + recheckTime;
    }
    const auto &streams = m_context.runningStreams.all();
    const bool isAnySilent = std::any_of(streams.begin(), streams.end(), [&](const auto &each) {
        return now - each.second.status().activeAt >= minUnusualSilence;
    });
    return isAnySilent || now < m_checkUntil;
}

void path_mover::updateMoves(time_point now)
{
    for (auto it = m_unavailable.begin(); it != m_unavailable.end();)
        it = now >= it->second.until ? m_unavailable.erase(it) : std::next(it);
    for (auto it = m_moves.begin(); it != m_moves.end();) {
        const running_stream *stream = m_context.runningStreams.find(it->first);
        move_state &move = it->second;
        if (stream == nullptr) {
            it = m_moves.erase(it);
            continue;
        }
        ++it;
        if (move.newParts.empty() || move.isPending)
            continue;
        const time_point activeAt = stream->status().activeAt;
        const bool goesOn = activeAt > move.acceptedAt;
        if (goesOn)
            m_context.counters.histogramOf("fescuedeck_path_change_seconds")
                    .observe(activeAt - move.orderedAt);
        if (goesOn || now - move.acceptedAt >= maxReadTime)
            move.newParts.clear();
    }
}

void path_mover::updateSuspects(time_point now)
{
    std::vector<stream_progress> streams;
    for (const auto &[number, stream] : m_context.runningStreams.all())
        streams.push_back(progressOf(stream, stream.status()));
    stall_findings findings = findStalledEngines(streams, now);
    for (const std::string &engine : findings.stalled)
        m_suspects[engine] = now;
    m_doubtful = std::move(findings.doubtful);
    // The streams that moved away no longer show the stall, and those that wait for their turn
    // still have to move. Any event through the engine ends the suspicion.
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        const auto &[id, foundAt] = *it;
        const endpoint_ptr engine = m_context.endpoints.find(id);
        const bool hasProgressed = engine && engine->lastProgressAt > foundAt;
        const bool hasEnded = !engine || hasProgressed || now >= foundAt + suspicionDuration;
        it = hasEnded ? m_suspects.erase(it) : std::next(it);
    }
}

std::vector<move_candidate> path_mover::candidates(time_point now)
{
    std::vector<move_candidate> found;
    for (const auto &[number, stream] : m_context.runningStreams.all()) {
        if (auto candidate = candidateOf(number, stream, now))
            found.push_back(std::move(*candidate));
    }
    sortByUrgency(found);
    return found;
}

std::optional<move_candidate> path_mover::candidateOf(int number, const running_stream &stream,
                                                      time_point now) const
{
    const auto state = m_moves.find(number);
    bool isReading = false; // the new engines read the tokens, which takes some time
    if (state != m_moves.end()) {
        const move_state &move = state->second;
        isReading = !move.newParts.empty();
        if (move.isPending || move.isClosed || move.orders >= maxOrdersPerStream
            || now - move.plannedAt < planInterval)
            return std::nullopt;
    }
    const stream_status status = stream.status();
    if (!status.mayMove || m_unsupported.count(stream.incarnations.front()) > 0)
        return std::nullopt;
    move_candidate candidate;
    candidate.number = number;
    candidate.rank = stream.rank;
    candidate.timeLeft = acceptedGap(stream) - (now - status.activeAt);
    const bool isStreamSilent = isSilent(progressOf(stream, status), now);
    const bool isSuspicious = !isReading && isStreamSilent;
    std::set<std::string> completing;
    for (std::size_t i = 0; i < stream.path.chain.size(); ++i) {
        const chain_part &part = stream.path.chain[i];
        std::optional<path_change_cause> cause
                = causeOf(m_context, stream.incarnations[i], part.layers, steadyNow());
        if (i == 0 && cause == path_change_cause::Lost) {
            // It can't carry out an order. While events arrive, the loss may be an error.
            candidate.mayOrder = false;
            if (status.hasBegun && !isStreamSilent)
                return std::nullopt;
            return candidate;
        }
        if (i == 0)
            continue;
        const bool mayStall = isSuspicious && m_suspects.count(part.endpoint) > 0;
        if (!cause && (mayStall || isGone(stream.incarnations[i])))
            cause = path_change_cause::Stalled;
        if (!cause)
            continue;
        if (completesItsWork(*cause, isStreamSilent)) {
            completing.insert(part.endpoint);
            continue;
        }
        if (candidate.avoided.empty() || *cause == path_change_cause::Lost)
            candidate.cause = *cause;
        candidate.avoided.insert(part.endpoint);
    }
    if (candidate.avoided.empty())
        return std::nullopt;
    candidate.avoided.insert(completing.begin(), completing.end());
    return candidate;
}

void path_mover::askForReports(time_point now)
{
    if (!m_context.inspectEngine)
        return;
    for (const auto &[number, stream] : m_context.runningStreams.all()) {
        const stream_progress progress = progressOf(stream, stream.status());
        if (!isSilent(progress, now) || now - progress.activeAt < reportDelay(progress))
            continue;
        move_state &move = m_moves[number];
        const bool isMoving = move.isPending || !move.newParts.empty();
        if (isMoving || move.reportAskedAt > progress.activeAt)
            continue;
        move.reportAskedAt = now;
        m_context.inspectEngine(progress.engines.front(), engine_suspicion::Stalled);
    }
}

void path_mover::startMove(const move_candidate &candidate)
{
    move_state &state = m_moves[candidate.number];
    std::optional<planned_move> move;
    if (candidate.mayOrder)
        move = plan(candidate);
    if (!move) {
        state.plannedAt = m_context.inputHandledUntil();
        if (!state.isWithoutPath)
            count(candidate.cause, candidate.mayOrder ? "no_path" : "first_engine_lost");
        state.isWithoutPath = true;
        // Room for a stream that has begun may become free before its replacement is due.
        const running_stream *stream = m_context.runningStreams.find(candidate.number);
        if (!candidate.mayOrder || (stream != nullptr && !stream->status().hasBegun))
            reportNotMoved(candidate);
        return;
    }
    state.isPending = true;
    state.newParts = move->newParts;
    boost::asio::spawn(m_context.io, [this, candidate,
                                      move = std::move(*move)](boost::asio::yield_context yield) {
        sendOrders(candidate, move, yield);
    });
}

void path_mover::reportNotMoved(const move_candidate &candidate)
{
    const running_stream *stream = m_context.runningStreams.find(candidate.number);
    if (stream != nullptr)
        stream->onNotMoved(candidate.cause == path_change_cause::Lost);
}

void path_mover::sendOrders(const move_candidate &candidate, planned_move move,
                            boost::asio::yield_context yield)
{
    constexpr int maxTries = 2;
    bool hasOrdered = false;
    for (int tries = 1; tries <= maxTries; ++tries) {
        const running_stream *stream = m_context.runningStreams.find(candidate.number);
        if (stream == nullptr || !stream->status().mayMove)
            break;
        hasOrdered = true;
        const path_change_answer answer = sendOrder(candidate, move, yield);
        if (!evaluate(candidate, move, answer) || tries == maxTries)
            break;
        m_moves[candidate.number].newParts.clear();
        std::optional<planned_move> next = plan(candidate);
        if (!next)
            break;
        move = std::move(*next);
        m_moves[candidate.number].newParts = move.newParts;
    }
    const auto state = m_moves.find(candidate.number);
    if (state == m_moves.end())
        return;
    state->second.isPending = false;
    const bool isAccepted = hasOrdered && state->second.acceptedAt >= state->second.orderedAt;
    // A stream that was not free to move, because its events were being written, is tried again.
    state->second.isClosed = hasOrdered && !isAccepted;
    if (isAccepted)
        return;
    state->second.newParts.clear();
    if (hasOrdered)
        reportNotMoved(candidate);
}

path_change_answer path_mover::sendOrder(const move_candidate &candidate, const planned_move &move,
                                         boost::asio::yield_context yield)
{
    running_stream &stream = *m_context.runningStreams.find(candidate.number);
    move_state &state = m_moves[candidate.number];
    state.orderedAt = steadyNow();
    ++state.orders;
    std::vector<endpoint_ptr> newStages;
    for (const endpoint_ptr &stage : move.path.stages) {
        if (move.newParts.count(stage->entry.id) > 0)
            newStages.push_back(stage);
    }
    // Counts the stream at its new engines before the answer, so that others choose by that.
    in_flight_guard reservation(newStages, stream.cacheTokens);
    reservation.ignoreHoldTime();
    call_options options;
    options.timeout = std::clamp(candidate.timeLeft, minOrderTimeout, maxOrderTimeout);
    stream.onOrdered(state.orderedAt + minOrderTimeout);
    // On a reused connection a late response to an earlier request could be taken for the answer.
    options.freshConnection = true;
    const std::string address = move.path.first->entry.address;
    const http_request order = m_context.adapter.encodePathChange(stream.request, move.path.chain);
    const call_result result = m_context.client.send(address, order, options, yield);
    if (!result.response)
        return {};
    return m_context.adapter.decodePathChangeResponse(result.response.value());
}

bool path_mover::evaluate(const move_candidate &candidate, const planned_move &move,
                          const path_change_answer &answer)
{
    count(candidate.cause, nameOf(pathChangeOutcomeNames, answer.outcome));
    // The stream may have ended meanwhile.
    const running_stream *stream = m_context.runningStreams.find(candidate.number);
    if (stream == nullptr)
        return false;
    if (answer.outcome == path_change_outcome::Accepted) {
        onAccepted(candidate, move);
        return false;
    }
    event_line("path_change_failed", event_level::Warning)
            .field("request", stream->request)
            .field("endpoint", move.path.first->entry.id)
            .field("cause", nameOf(pathChangeCauseNames, candidate.cause))
            .field("outcome", nameOf(pathChangeOutcomeNames, answer.outcome))
            .field("at_fault", answer.address);
    if (answer.outcome == path_change_outcome::Unsupported) {
        if (m_unsupported.size() >= maxUnsupported)
            m_unsupported.clear();
        m_unsupported.insert(stream->incarnations.front());
    }
    const auto &chain = move.path.chain;
    const auto fault = std::find_if(chain.begin() + 1, chain.end(), [&](const chain_part &part) {
        return part.address == answer.address;
    });
    if (answer.outcome != path_change_outcome::PartUnavailable || fault == chain.end())
        return false;
    m_moves[candidate.number].avoided.insert(fault->endpoint);
    recordUnavailable(fault->endpoint, move.newParts.count(fault->endpoint) == 0);
    return true;
}

void path_mover::recordUnavailable(const std::string &engine, bool isKeptPart)
{
    const endpoint_ptr known = m_context.endpoints.find(engine);
    if (!known)
        return;
    const time_point now = steadyNow();
    unavailable_engine &entry = m_unavailable[incarnationName(known->entry)];
    entry.until = now + unavailableDuration;
    entry.isGone = entry.isGone || isKeptPart;
    if (entry.isGone) {
        m_checkUntil = now + recheckTime;
        // The other streams of the engine do not wait for the next regular check.
        boost::asio::post(m_context.io, [this] { check(); });
    }
    // A refused connection settles at once whether the engine is lost.
    if (m_context.inspectEngine)
        m_context.inspectEngine(engine, engine_suspicion::Stalled);
}

bool path_mover::isUnavailable(const std::string &engine) const
{
    const endpoint_ptr known = m_context.endpoints.find(engine);
    return known && m_unavailable.count(incarnationName(known->entry)) > 0;
}

bool path_mover::isGone(const std::string &incarnation) const
{
    const auto found = m_unavailable.find(incarnation);
    return found != m_unavailable.end() && found->second.isGone;
}

void path_mover::onAccepted(const move_candidate &candidate, const planned_move &move)
{
    running_stream &stream = *m_context.runningStreams.find(candidate.number);
    move_state &state = m_moves[candidate.number];
    const time_point now = steadyNow();
    event_line("path_changed")
            .field("request", stream.request)
            .field("endpoint", move.path.first->entry.id)
            .field("cause", nameOf(pathChangeCauseNames, candidate.cause))
            .field("from", describe(stream.path.chain))
            .field("to", describe(move.path.chain))
            .field("tokens_read_again", move.tokensReadAgain)
            .field("silent_ms", duration(now - stream.status().activeAt))
            .field("order_ms", duration(now - state.orderedAt));
    m_context.counters.counterOf("fescuedeck_path_change_tokens_total")
            .add(static_cast<std::uint64_t>(move.tokensReadAgain));
    state.acceptedAt = now;
    stream.path = move.path;
    stream.incarnations.clear();
    for (const endpoint_ptr &stage : move.path.stages)
        stream.incarnations.push_back(incarnationName(stage->entry));
    const duration quiet = std::min<duration>(move.readTime + pathSetupTime, maxReadTime);
    stream.onMoved(move.path, now + quiet);
}

std::optional<path_mover::planned_move> path_mover::plan(const move_candidate &candidate) const
{
    const running_stream *stream = m_context.runningStreams.find(candidate.number);
    if (stream == nullptr)
        return std::nullopt;
    repair_request request;
    request.avoided = candidate.avoided;
    const auto state = m_moves.find(candidate.number);
    if (state != m_moves.end())
        request.avoided.insert(state->second.avoided.begin(), state->second.avoided.end());
    const choice_request choice{ m_context.settings.failureDomain, request.avoided, steadyNow(),
                                 stream->requestHash };
    chain_candidates found = chainCandidates(
            *stream->engine, m_context.endpoints.ofService(stream->service), choice);
    request.stages = stagesWithRoom(*stream, std::move(found.stages));
    request.costs = std::move(found.costs);
    request.tokens = stream->status().tokens;
    for (std::size_t i = 0; i < stream->path.chain.size(); ++i) {
        const chain_part &part = stream->path.chain[i];
        request.chain.push_back({ part, stream->path.stages[i]->entry.failureDomain });
        const bool isLost = causeOf(m_context, stream->incarnations[i], part.layers, steadyNow())
                            == path_change_cause::Lost;
        if (i > 0 && (isLost || isGone(stream->incarnations[i])))
            request.avoided.insert(part.endpoint);
    }
    // A doubtful engine may have been lost together with the one to avoid.
    repair_request cautious = request;
    auto &stages = cautious.stages;
    stages.erase(std::remove_if(stages.begin(), stages.end(),
                                [&](const chain_stage &stage) {
                                    return m_doubtful.count(stage.endpoint) > 0;
                                }),
                 stages.end());
    chain_repair repair = planRepair(request);
    if (stages.size() < request.stages.size()) {
        chain_repair other = planRepair(cautious);
        if (other.action == repair_action::ChangePath
            && other.tokensReadAgain <= repair.tokensReadAgain)
            repair = std::move(other);
    }
    if (repair.action != repair_action::ChangePath)
        return std::nullopt;
    return makeMove(*stream, std::move(repair));
}

std::optional<path_mover::planned_move> path_mover::makeMove(const running_stream &stream,
                                                             chain_repair repair) const
{
    planned_move move;
    double factor = 1;
    for (const chain_part &part : repair.chain) {
        const bool isKept = std::find(stream.path.chain.begin(), stream.path.chain.end(), part)
                            != stream.path.chain.end();
        const endpoint_ptr engine = m_context.endpoints.find(part.endpoint);
        if (!engine)
            return std::nullopt;
        move.path.stages.push_back(engine);
        if (isKept)
            continue;
        move.newParts.insert(part.endpoint);
        const accelerator_kind *kind = stream.engine->findKind(engine->entry.accelerator);
        factor = std::max(factor, kind == nullptr ? 1 : kind->prefillFactor);
    }
    move.path.first = stream.path.first;
    move.path.chain = std::move(repair.chain);
    move.tokensReadAgain = repair.tokensReadAgain;
    const double rate = std::max(1.0, stream.engine->prefillTokensPerSecond);
    move.readTime = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(std::min(60.0, repair.tokensReadAgain * factor / rate)));
    return move;
}

std::vector<chain_stage> path_mover::stagesWithRoom(const running_stream &stream,
                                                    std::vector<chain_stage> stages) const
{
    const auto lacksRoom = [&](const chain_stage &stage) {
        const endpoint_ptr engine = m_context.endpoints.find(stage.endpoint);
        return !engine || isUnavailable(stage.endpoint)
               || movesTo(stage.endpoint) >= maxMovesAtOnce(*engine)
               || !hasCacheFor(stream, *engine);
    };
    stages.erase(std::remove_if(stages.begin(), stages.end(), lacksRoom), stages.end());
    for (chain_stage &stage : stages) {
        constexpr std::uint64_t steps = 1024;
        const std::uint64_t preference = stableHash(stage.endpoint, stream.requestHash) % steps;
        stage.costPerLayer *= 1 + spreadShare * static_cast<double>(preference) / steps;
        stage.costPerLayer *= 1 + moveCostShare * movesTo(stage.endpoint);
    }
    return stages;
}

int path_mover::movesTo(const std::string &engine) const
{
    return static_cast<int>(std::count_if(m_moves.begin(), m_moves.end(), [&](const auto &each) {
        return each.second.newParts.count(engine) > 0;
    }));
}

void path_mover::count(path_change_cause cause, std::string_view outcome)
{
    m_context.counters
            .counterOf("fescuedeck_path_changes_total",
                       { { "cause", std::string(nameOf(pathChangeCauseNames, cause)) },
                         { "outcome", std::string(outcome) } })
            .add();
}

} // namespace fescuedeck
