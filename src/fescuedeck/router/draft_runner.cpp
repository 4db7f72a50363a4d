#include "fescuedeck/router/draft_runner.h"

#include <algorithm>
#include <deque>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/router/engine_client.h"
#include "fescuedeck/router/stage_transport.h"
#include "fescuedeck/stream/step_timeout.h"

namespace fescuedeck {
namespace {

// Timeout of the best-effort calls that ask an engine to drop the work of an attempt.
constexpr duration cancelTimeout = std::chrono::seconds(2);
// Engines run hops with a higher priority first, so that a draft that has delivered tokens does not
// wait for the prefills of new drafts.
constexpr int newDraftPriority = 0;
constexpr int startedDraftPriority = 1;
// A draft for which no route exists searches again at this interval until its deadline.
constexpr duration routeRetryInterval = std::chrono::milliseconds(25);
// Timeout of the probe that distinguishes a crashed engine from a lost connection.
constexpr duration crashProbeTimeout = std::chrono::milliseconds(500);

// The timeout for an engine with too few step times of its own is based on the model's other
// engines. It is multiplied by this factor, because the engine may have a slower kind of
// accelerator.
constexpr double unsampledEngineFactor = 4;

constexpr name_table<hop_failure, 6> hopFailureNames = { {
        { hop_failure::NotSent, "not_sent" },
        { hop_failure::Refused, "refused" },
        { hop_failure::ConnectionClosed, "connection_closed" },
        { hop_failure::TimedOut, "deadline_missed" },
        { hop_failure::ProbeFailed, "probe_failed" },
        { hop_failure::InvalidAnswer, "invalid_answer" },
} };

draft_route toDraftRoute(const route &found)
{
    draft_route converted;
    for (const route_stage &stage : found.stages)
        converted.push_back({ stage.endpoint, stage.layers });
    return converted;
}

// Executes the actions of one draft_stream until the draft has ended.
class draft_run
{
public:
    draft_run(router_context &context, const draft_job &job, const draft_sink &sink,
              boost::asio::yield_context yield)
        : m_context(context)
        , m_job(job)
        , m_sink(sink)
        , m_yield(yield)
        , m_stream(job.spec)
    {
    }
    ~draft_run() { releaseRoute(); }
    draft_run(const draft_run &) = delete;
    draft_run &operator=(const draft_run &) = delete;

    draft_end run();

private:
    void enqueue(draft_actions actions);
    void execute(draft_action &action);
    void executeHop(const run_hop &hop);
    void findRoute(const request_route &wanted);
    void deliver(const deliver_token &delivery);
    void cancel(const cancel_work &work);
    void dropAnswer(const drop_answer &dropped, const hop_identity &hop);
    void onHopAnswered(const run_hop &hop, hop_answer answer, duration elapsed);
    void onHopFailed(const run_hop &hop, const hop_error &error, duration elapsed);
    bool checkCrash(const std::string &endpoint);
    void assignRoute(const draft_route &route);
    void releaseRoute();
    result<route> chooseRouteNow(const request_route &wanted);
    duration hopTimeout(const run_hop &hop);
    hop_context contextOf(const run_hop &hop, const trace_context &span);
    void recordSpan(const run_hop &hop, const trace_context &span, std::int64_t start,
                    const hop_result &answer);
    std::string addressOf(const std::string &endpoint) const;

    router_context &m_context;
    const draft_job &m_job;
    const draft_sink &m_sink;
    boost::asio::yield_context m_yield;
    draft_stream m_stream;
    draft_route m_route;                // counted in the in-flight counts of the fleet's endpoints
    std::deque<draft_action> m_actions; // not executed yet
    std::optional<hop_identity> m_hopInFlight;
    draft_end m_end;
};

draft_end draft_run::run()
{
    const auto promptLength = static_cast<int>(m_job.spec.promptTokens.size());
    const auto first = chooseRouteNow({ 1, {}, promptLength, false });
    if (!first) {
        m_end.outcome = draft_outcome::NotRun;
        m_end.error = first.error();
        return m_end;
    }
    assignRoute(toDraftRoute(first.value()));
    enqueue(m_stream.start(steadyNow(), m_route));
    while (!m_actions.empty()) {
        draft_action action = std::move(m_actions.front());
        m_actions.pop_front();
        execute(action);
    }
    m_end.deliveredTokens = static_cast<int>(m_stream.deliveredTokens().size());
    m_end.attempts = m_stream.attempt();
    return m_end;
}

void draft_run::enqueue(draft_actions actions)
{
    for (draft_action &action : actions)
        m_actions.push_back(std::move(action));
}

void draft_run::execute(draft_action &action)
{
    if (auto *hop = std::get_if<run_hop>(&action))
        executeHop(*hop);
    else if (auto *wanted = std::get_if<request_route>(&action))
        findRoute(*wanted);
    else if (auto *delivery = std::get_if<deliver_token>(&action))
        deliver(*delivery);
    else if (auto *work = std::get_if<cancel_work>(&action))
        cancel(*work);
    else if (auto *dropped = std::get_if<drop_answer>(&action))
        dropAnswer(*dropped, m_hopInFlight.value_or(hop_identity{}));
    else if (auto *finished = std::get_if<finish_draft>(&action)) {
        m_end.outcome = draft_outcome::Ran;
        m_end.reason = finished->reason;
    } else if (auto *failure = std::get_if<fail_draft>(&action)) {
        m_end.outcome = failure->outcome;
        m_end.error = failure->error;
    }
}

std::string draft_run::addressOf(const std::string &endpoint) const
{
    const endpoint_spec *spec = m_job.index->findEndpoint(endpoint);
    return spec ? spec->address : std::string();
}

duration draft_run::hopTimeout(const run_hop &hop)
{
    step_timeout_settings settings;
    settings.floor = m_context.settings.timing.stepTimeoutFloor;
    const auto minimumSamples = static_cast<std::size_t>(settings.minimumSamples);
    const auto steps = m_context.fleet.with([&](fleet_tables &tables) {
        const auto &endpointSteps = tables.stepTimes[hop.endpoint].steps();
        if (endpointSteps.size() >= minimumSamples)
            return endpointSteps;
        // This engine has too few step times of its own, so those of all the model's engines are
        // used with a larger factor.
        settings.factor *= unsampledEngineFactor;
        return tables.modelStepTimes[m_job.spec.model].steps();
    });
    const duration timeout = stepTimeout(steps, std::max(1, hop.inputTokens()), settings);
    const duration remainingTime
            = std::chrono::duration_cast<duration>(m_stream.nextDeadline() - steadyNow());
    return std::max(duration(1), std::min(timeout, remainingTime));
}

hop_context draft_run::contextOf(const run_hop &hop, const trace_context &span)
{
    hop_context context;
    context.address = addressOf(hop.endpoint);
    context.workspace = m_job.workspace;
    context.priority = m_stream.deliveredTokens().empty() ? newDraftPriority : startedDraftPriority;
    context.traceparent = formatTraceparent(span);
    context.timeout = hopTimeout(hop);
    return context;
}

void draft_run::executeHop(const run_hop &hop)
{
    if (m_sink.callerLeft())
        return enqueue(m_stream.callerLeft(steadyNow()));
    const auto permitted
            = m_context.suspects.startHop(m_job.fingerprint, hop.endpoint, hop.identity.position,
                                          m_stream.nextDeadline(), m_yield);
    if (!permitted) {
        const auto kind = static_cast<errc>(permitted.error().code.value());
        return enqueue(m_stream.abandon(kind, permitted.error().detail));
    }
    const trace_context span = childOf(m_job.trace, m_context.randomFn());
    const hop_context context = contextOf(hop, span);
    m_hopInFlight = hop.identity;
    const std::int64_t start = nowUnixNanos();
    // A caller that disconnects does not end the hop. The engine may still run it and crash, and
    // the hop must then count as evidence of the crash. The draft ends after the hop.
    hop_result outcome = runHop(m_context.client, hop, context, m_yield);
    recordSpan(hop, span, start, outcome);
    if (auto *answer = std::get_if<hop_answer>(&outcome.value))
        onHopAnswered(hop, std::move(*answer), outcome.elapsed);
    else
        onHopFailed(hop, std::get<hop_error>(outcome.value), outcome.elapsed);
}

void draft_run::recordSpan(const run_hop &hop, const trace_context &span, std::int64_t start,
                           const hop_result &answer)
{
    const auto *error = std::get_if<hop_error>(&answer.value);
    const hop_identity &identity = hop.identity;
    m_context.traces.record({ span,
                              m_job.trace.spanId,
                              "hop",
                              start,
                              nowUnixNanos(),
                              error != nullptr,
                              { { "endpoint", hop.endpoint },
                                { "layers", toString(identity.layers) },
                                { "position", std::to_string(identity.position) },
                                { "attempt", std::to_string(identity.attempt) },
                                { "error", error ? error->reason : "" } } });
}

void draft_run::onHopAnswered(const run_hop &hop, hop_answer answer, duration elapsed)
{
    m_context.suspects.endHop(m_job.fingerprint, hop.endpoint);
    const hop_timing timing{ hop.identity.layers, hop.inputTokens(), elapsed };
    m_context.fleet.with([&](fleet_tables &tables) {
        tables.state.callSucceeded(hop.endpoint, answer.incarnation, timing, steadyNow());
        if (hop.inputTokens() == 1) {
            tables.stepTimes[hop.endpoint].add(elapsed);
            tables.modelStepTimes[m_job.spec.model].add(elapsed);
        }
    });
    enqueue(m_stream.hopAnswered(steadyNow(), std::move(answer)));
}

void draft_run::onHopFailed(const run_hop &hop, const hop_error &error, duration elapsed)
{
    const std::string kind(nameOf(hopFailureNames, error.kind));
    m_context.counters.counterOf("fescuedeck_hop_failures_total", { { "kind", kind } }).add();
    const bool isLeaving = error.kind == hop_failure::Refused && error.reason == "leaving";
    m_context.fleet.with([&](fleet_tables &tables) {
        if (isLeaving) {
            tables.state.callRefusedLeaving(hop.endpoint, "", steadyNow());
        } else if (error.kind == hop_failure::TimedOut) {
            const hop_timing timing{ hop.identity.layers, hop.inputTokens(), elapsed };
            tables.state.callTimedOut(hop.endpoint, timing, steadyNow());
            // The elapsed time counts as a step time and increases the next timeout. Otherwise, an
            // engine that is merely slow would time out again and again.
            if (hop.inputTokens() == 1)
                tables.stepTimes[hop.endpoint].add(elapsed);
        } else {
            tables.state.callFailed(hop.endpoint, steadyNow());
        }
    });
    const bool hasCrashed = error.kind == hop_failure::ConnectionClosed && checkCrash(hop.endpoint);
    m_context.suspects.endHop(m_job.fingerprint, hop.endpoint);
    enqueue(m_stream.hopFailed(steadyNow(), hop.identity, error.kind, hasCrashed));
}

// Returns true if the engine's process has ended or has been replaced by a new one. The crash is
// reported here, because it must be known before the caller of any request that ran on the engine
// gets its response.
bool draft_run::checkCrash(const std::string &endpoint)
{
    const endpoint_spec *spec = m_job.index->findEndpoint(endpoint);
    if (!spec)
        return false;
    const std::string previousIncarnation = m_context.fleet.with([&](fleet_tables &tables) {
        const endpoint_state *state = tables.state.find(endpoint);
        return state ? state->incarnation() : std::string();
    });
    const auto report = fetchReport(m_context.client, spec->address, crashProbeTimeout, m_yield);
    const bool isGone = !report && report.error().code == errc::ConnectionFailed;
    const bool isReplaced = report && report.value().incarnation != previousIncarnation;
    if (isGone || isReplaced)
        m_context.suspects.endpointCrashed(endpoint, previousIncarnation);
    return isGone || isReplaced;
}

void draft_run::dropAnswer(const drop_answer &dropped, const hop_identity &hop)
{
    const std::string field(toString(dropped.mismatch));
    m_context.counters.counterOf("fescuedeck_dropped_answers_total", { { "field", field } }).add();
    // HTTP sends one response for each request, so the right answer to the hop cannot follow on
    // this connection. The idle connections to the endpoint are closed, because answers that arrive
    // on them cannot be trusted either.
    m_context.client.dropIdle(addressOf(dropped.endpoint));
    enqueue(m_stream.hopFailed(steadyNow(), hop, hop_failure::InvalidAnswer, false));
}

void draft_run::deliver(const deliver_token &delivery)
{
    m_context.suspects.tokenProduced(m_job.fingerprint, delivery.position);
    if (!m_sink.deliver(delivery.token))
        enqueue(m_stream.callerLeft(steadyNow()));
}

void draft_run::cancel(const cancel_work &work)
{
    const std::string address = addressOf(work.endpoint);
    if (address.empty())
        return;
    boost::asio::spawn(m_context.io, [&client = m_context.client, address,
                                      work](boost::asio::yield_context yield) {
        cancelWork(client, address, work, cancelTimeout, yield);
    });
}

result<route> draft_run::chooseRouteNow(const request_route &wanted)
{
    route_request request;
    request.failureDomain = m_context.settings.failureDomain;
    std::set<std::string> excluded = m_context.suspects.crashedEndpoints(m_job.fingerprint);
    excluded.insert(wanted.excluded.begin(), wanted.excluded.end());
    request.excluded.assign(excluded.begin(), excluded.end());
    request.promptTokens = wanted.inputTokens;
    request.outputTokens = m_job.predictedTokens;
    request.exclusiveRun = m_context.suspects.mustRunAlone(m_job.fingerprint);
    random_fn random = m_context.randomFn();
    return m_context.fleet.with([&](fleet_tables &tables) -> result<route> {
        const auto table = tables.routes.find(m_job.spec.model);
        if (table == tables.routes.end())
            return makeFailure(errc::NoRoute, "model " + m_job.spec.model + " has no endpoints");
        table->second->rebuildIfChanged(tables.state.view());
        return chooseRoute(*table->second->graph(), tables.state.view(), request, random);
    });
}

void draft_run::findRoute(const request_route &wanted)
{
    releaseRoute();
    const bool mayRetry = m_context.admission.with(
            [&](admission_tables &tables) { return tables.retries.takeRetry(m_job.spec.model); });
    if (!mayRetry)
        return enqueue(m_stream.abandon(
                errc::Overloaded, "the retry budget of model " + m_job.spec.model + " is spent"));
    m_context.counters
            .counterOf("fescuedeck_draft_retries_total", { { "model", m_job.spec.model } })
            .add();
    auto found = chooseRouteNow(wanted);
    // If no route exists although no endpoint is excluded, the usable endpoints do not cover all
    // layers of the model. The search is repeated, because endpoints may become usable again before
    // the deadline.
    while (!found && wanted.excluded.empty() && steadyNow() < m_stream.nextDeadline()
           && !m_sink.callerLeft()) {
        sleepFor(routeRetryInterval, m_yield);
        found = chooseRouteNow(wanted);
    }
    if (!found)
        return enqueue(m_stream.noRoute(steadyNow()));
    assignRoute(toDraftRoute(found.value()));
    enqueue(m_stream.routeFound(steadyNow(), m_route));
}

void draft_run::assignRoute(const draft_route &route)
{
    m_route = route;
    m_context.fleet.with([&](fleet_tables &tables) {
        for (const draft_stage &stage : m_route)
            tables.state.assign(stage.endpoint, stage.layers, steadyNow());
    });
}

void draft_run::releaseRoute()
{
    m_context.fleet.with([&](fleet_tables &tables) {
        for (const draft_stage &stage : m_route)
            tables.state.release(stage.endpoint, stage.layers, steadyNow());
    });
    m_route.clear();
}

} // namespace

draft_end runDraft(router_context &context, const draft_job &job, const draft_sink &sink,
                   boost::asio::yield_context yield)
{
    return draft_run(context, job, sink, yield).run();
}

} // namespace fescuedeck
