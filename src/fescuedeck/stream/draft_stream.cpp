#include "fescuedeck/stream/draft_stream.h"

#include <algorithm>
#include <utility>

#include "fescuedeck/base/name_table.h"

namespace fescuedeck {
namespace {

constexpr name_table<draft_outcome, 3> outcomeNames = { {
        { draft_outcome::Ran, "ran" },
        { draft_outcome::NotRun, "not-run" },
        { draft_outcome::Unknown, "unknown" },
} };

constexpr name_table<answer_mismatch, 13> mismatchNames = { {
        { answer_mismatch::None, "none" },
        { answer_mismatch::Request, "request" },
        { answer_mismatch::Attempt, "attempt" },
        { answer_mismatch::Position, "position" },
        { answer_mismatch::Model, "model" },
        { answer_mismatch::Version, "version" },
        { answer_mismatch::Adapter, "adapter" },
        { answer_mismatch::Layers, "layers" },
        { answer_mismatch::Duplicate, "duplicate" },
        { answer_mismatch::NotWaiting, "not_waiting" },
        { answer_mismatch::Endpoint, "endpoint" },
        { answer_mismatch::Incarnation, "incarnation" },
        { answer_mismatch::Content, "content" },
} };

bool provesNoStart(hop_failure kind)
{
    return kind == hop_failure::NotSent || kind == hop_failure::Refused;
}

std::optional<std::string> routeFault(const draft_route &route, int layerCount)
{
    std::vector<layer_range> ranges;
    ranges.reserve(route.size());
    for (const draft_stage &stage : route)
        ranges.push_back(stage.layers);
    return partitionFault(ranges, layerCount);
}

} // namespace

std::string_view toString(draft_outcome outcome)
{
    return nameOf(outcomeNames, outcome);
}

std::string_view toString(answer_mismatch mismatch)
{
    return nameOf(mismatchNames, mismatch);
}

bool operator==(const hop_identity &a, const hop_identity &b)
{
    return a.request == b.request && a.attempt == b.attempt && a.position == b.position
           && a.model == b.model && a.version == b.version && a.adapter == b.adapter
           && a.layers == b.layers;
}

draft_stream::draft_stream(draft_spec spec)
    : m_spec(std::move(spec))
{
}

draft_actions draft_stream::start(time_point now, const draft_route &route)
{
    draft_actions actions;
    if (m_state != state::Idle)
        return actions;
    if (m_spec.promptTokens.empty() || m_spec.maxTokens <= 0)
        fail(errc::InvalidRequest, "the prompt is empty or max_tokens is not above 0", actions);
    else
        beginAttempt(now, route, actions);
    return actions;
}

draft_actions draft_stream::hopAnswered(time_point now, hop_answer answer)
{
    draft_actions actions;
    const answer_mismatch mismatch = mismatchOf(answer);
    if (mismatch != answer_mismatch::None) {
        ++m_dropped[mismatch];
        actions.push_back(drop_answer{ answer.endpoint, mismatch });
        // This was the answer to the hop in flight, and no better one can follow, because the
        // endpoint has lost the attempt's KV cache or has returned malformed content.
        if (mismatch == answer_mismatch::Incarnation || mismatch == answer_mismatch::Content) {
            m_excluded.insert(answer.endpoint);
            endAttempt(now, mismatch == answer_mismatch::Incarnation, actions);
        }
        return actions;
    }
    recordHop(answer);
    if (isLastStage()) {
        acceptToken(now, answer, actions);
    } else {
        ++m_stage;
        runStage(now, {}, std::move(answer.activations), actions);
    }
    return actions;
}

draft_actions draft_stream::hopFailed(time_point now, const hop_identity &hop, hop_failure kind,
                                      bool mayHaveCrashed)
{
    draft_actions actions;
    if (m_state != state::WaitingForAnswer || !(hop == identityOf(m_route[m_stage])))
        return actions;
    if (provesNoStart(kind))
        --m_hopsThatMayHaveRun;
    m_excluded.insert(m_route[m_stage].endpoint);
    endAttempt(now, mayHaveCrashed, actions);
    return actions;
}

draft_actions draft_stream::routeFound(time_point now, const draft_route &route)
{
    draft_actions actions;
    if (m_state == state::WaitingForRoute)
        beginAttempt(now, route, actions);
    return actions;
}

draft_actions draft_stream::noRoute(time_point /*now*/)
{
    draft_actions actions;
    if (m_state != state::WaitingForRoute)
        return actions;
    if (m_excluded.empty()) {
        fail(errc::NoRoute, "model " + m_spec.model + " has no complete route", actions);
        return actions;
    }
    // An excluded endpoint may be the only one for its layers.
    m_excluded.clear();
    const auto inputTokens = static_cast<int>(prefillTokens().size());
    actions.push_back(request_route{ m_attempt, m_excluded, inputTokens, m_afterCrash });
    return actions;
}

draft_actions draft_stream::deadlinePassed(time_point now)
{
    draft_actions actions;
    if (m_state != state::Ended && now >= nextDeadline())
        fail(errc::Timeout, "the draft's deadline has passed", actions);
    return actions;
}

draft_actions draft_stream::callerLeft(time_point /*now*/)
{
    return abandon(errc::ConnectionClosed, "the caller closed its connection");
}

draft_actions draft_stream::abandon(errc kind, const std::string &detail)
{
    draft_actions actions;
    if (m_state != state::Ended)
        fail(kind, detail, actions);
    return actions;
}

time_point draft_stream::nextDeadline() const
{
    if (m_delivered.empty())
        return std::min(m_spec.firstTokenDeadline, m_spec.deadline);
    return m_spec.deadline;
}

int draft_stream::nextPosition() const
{
    return static_cast<int>(m_spec.promptTokens.size() + m_delivered.size());
}

std::vector<int> draft_stream::prefillTokens() const
{
    std::vector<int> tokens = m_spec.promptTokens;
    for (const draft_token &token : m_delivered)
        tokens.push_back(token.id);
    return tokens;
}

hop_identity draft_stream::identityOf(const draft_stage &stage) const
{
    return { m_spec.request, m_attempt,      nextPosition(), m_spec.model,
             m_spec.version, m_spec.adapter, stage.layers };
}

answer_mismatch draft_stream::identityMismatch(const hop_identity &identity) const
{
    const hop_identity expected = identityOf(m_route[m_stage]);
    if (identity.attempt != expected.attempt)
        return answer_mismatch::Attempt;
    if (identity.position != expected.position)
        return answer_mismatch::Position;
    if (identity.model != expected.model)
        return answer_mismatch::Model;
    if (identity.version != expected.version)
        return answer_mismatch::Version;
    if (identity.adapter != expected.adapter)
        return answer_mismatch::Adapter;
    if (identity.layers == expected.layers)
        return answer_mismatch::None;
    for (const accepted_hop &hop : m_positionHops) {
        if (hop.layers == identity.layers)
            return answer_mismatch::Duplicate;
    }
    return answer_mismatch::Layers;
}

answer_mismatch draft_stream::mismatchOf(const hop_answer &answer) const
{
    if (m_state != state::WaitingForAnswer)
        return answer_mismatch::NotWaiting;
    if (answer.identity.request != m_spec.request)
        return answer_mismatch::Request;
    const answer_mismatch mismatch = identityMismatch(answer.identity);
    if (mismatch != answer_mismatch::None)
        return mismatch;
    if (answer.endpoint != m_route[m_stage].endpoint)
        return answer_mismatch::Endpoint;
    const auto known = m_incarnations.find(answer.endpoint);
    if (known != m_incarnations.end() && known->second != answer.incarnation)
        return answer_mismatch::Incarnation;
    return hasContent(answer) ? answer_mismatch::None : answer_mismatch::Content;
}

bool draft_stream::hasContent(const hop_answer &answer) const
{
    if (isLastStage())
        return answer.token.has_value() && answer.activations.empty();
    return !answer.token && static_cast<int>(answer.activations.size()) == m_inputTokens;
}

void draft_stream::beginAttempt(time_point now, const draft_route &route, draft_actions &actions)
{
    if (const auto fault = routeFault(route, m_spec.layers)) {
        fail(errc::NoRoute, "the route does not cover the model: " + *fault, actions);
        return;
    }
    m_route = route;
    m_stage = 0;
    m_stagesWithWork = 0;
    m_incarnations.clear();
    m_positionHops.clear();
    runStage(now, prefillTokens(), {}, actions);
}

void draft_stream::runStage(time_point now, std::vector<int> tokens,
                            std::vector<std::string> activations, draft_actions &actions)
{
    if (now >= nextDeadline()) {
        fail(errc::Timeout, "the draft's deadline has passed", actions);
        return;
    }
    const draft_stage &stage = m_route[m_stage];
    run_hop hop{ stage.endpoint, identityOf(stage), std::move(tokens), std::move(activations) };
    m_inputTokens = hop.inputTokens();
    m_stagesWithWork = std::max(m_stagesWithWork, m_stage + 1);
    ++m_hopsThatMayHaveRun;
    m_state = state::WaitingForAnswer;
    actions.emplace_back(std::move(hop));
}

void draft_stream::recordHop(const hop_answer &answer)
{
    accepted_hop hop{ answer.identity.attempt, answer.identity.position, answer.identity.layers,
                      answer.endpoint, answer.incarnation };
    m_incarnations.emplace(hop.endpoint, hop.incarnation);
    m_positionHops.push_back(hop);
    if (m_spec.hopLogLimit == 0)
        return;
    if (m_hopLog.size() >= m_spec.hopLogLimit)
        m_hopLog.pop_front();
    m_hopLog.push_back(std::move(hop));
}

void draft_stream::acceptToken(time_point now, const hop_answer &answer, draft_actions &actions)
{
    const int position = nextPosition();
    const auto fault = coverageFault(m_positionHops, m_attempt, position, m_spec.layers);
    if (fault) {
        fail(errc::Internal, "token " + std::to_string(position) + ": " + *fault, actions);
        return;
    }
    m_positionHops.clear();
    const draft_token token = answer.token.value_or(draft_token{});
    m_delivered.push_back(token);
    actions.push_back(deliver_token{ position, token });
    if (answer.finished) {
        finish(finish_reason::Stop, actions);
    } else if (static_cast<int>(m_delivered.size()) >= m_spec.maxTokens) {
        finish(finish_reason::Length, actions);
    } else {
        m_stage = 0;
        runStage(now, { token.id }, {}, actions);
    }
}

void draft_stream::endAttempt(time_point now, bool mayHaveCrashed, draft_actions &actions)
{
    cancelStages(actions);
    m_stagesWithWork = 0;
    if (m_attempt >= m_spec.maxAttempts) {
        const std::string count = std::to_string(m_attempt);
        fail(errc::EndpointRefused, "all " + count + " attempts have failed", actions);
        return;
    }
    if (now >= nextDeadline()) {
        fail(errc::Timeout, "the draft's deadline has passed", actions);
        return;
    }
    ++m_attempt;
    m_state = state::WaitingForRoute;
    m_afterCrash = mayHaveCrashed;
    const auto inputTokens = static_cast<int>(prefillTokens().size());
    actions.push_back(request_route{ m_attempt, m_excluded, inputTokens, m_afterCrash });
}

void draft_stream::cancelStages(draft_actions &actions) const
{
    for (std::size_t i = 0; i < m_stagesWithWork; ++i)
        actions.push_back(cancel_work{ m_route[i].endpoint, m_spec.request, m_attempt });
}

void draft_stream::finish(finish_reason reason, draft_actions &actions)
{
    cancelStages(actions); // only the last stage knows that the text has ended
    m_state = state::Ended;
    actions.push_back(finish_draft{ reason });
}

void draft_stream::fail(errc kind, const std::string &detail, draft_actions &actions)
{
    if (m_state == state::WaitingForAnswer)
        cancelStages(actions);
    m_state = state::Ended;
    const bool mayHaveRun = m_hopsThatMayHaveRun > 0;
    actions.push_back(fail_draft{ makeFailure(kind, detail),
                                  mayHaveRun ? draft_outcome::Unknown : draft_outcome::NotRun });
}

} // namespace fescuedeck
