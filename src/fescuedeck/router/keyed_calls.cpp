#include "fescuedeck/router/keyed_calls.h"

#include <algorithm>

#include "fescuedeck/base/hash.h"
#include "fescuedeck/base/ids.h"
#include "fescuedeck/router/caller_error.h"
#include "fescuedeck/router/replica_choice.h"
#include "fescuedeck/router/service_call.h"

namespace fescuedeck {
namespace {

// Maximum number of keys whose outcomes are kept for peers that ask. Older outcomes can be read
// from the log.
constexpr std::size_t maxOutcomes = 20000;

// The wait for an answer needs no timeout, because the call ends at its deadline. A timer cannot be
// set to time_point::max(), so the wait is repeated in slices of this length.
constexpr duration waitSlice = std::chrono::hours(1);

call_time currentCallTime()
{
    return { steadyNow(), wallNow() };
}

call_policy policyOf(const router_settings &settings)
{
    call_policy policy;
    const duration retainedTime = settings.platform.retention - settings.platform.retentionMargin;
    // The key window must be shorter than the time for which the claim table keeps keys, by more
    // than the longest deadline plus the clock skew.
    const unix_millis margin = std::chrono::duration_cast<unix_millis>(retainedTime) / 10;
    policy.keyWindow = std::chrono::duration_cast<unix_millis>(retainedTime) - margin;
    return policy;
}

stored_answer toStoredAnswer(const http_response &response)
{
    stored_answer answer;
    answer.status = response.status;
    if (const std::string *type = findHeader(response.headers, "Content-Type"))
        answer.contentType = *type;
    answer.body = response.body;
    return answer;
}

// If several attempts of a key have an outcome, the one with the highest rank is reported.
int preferenceRank(peer_call_status status)
{
    switch (status) {
    case peer_call_status::Completed:
        return 2;
    case peer_call_status::InProgress:
        return 1;
    case peer_call_status::Unknown:
        break;
    }
    return 0;
}

// Builds the caller's response. An answer that the replica gave to this call is passed on with its
// headers, apart from those that forwardedHeaders drops. An answer repeated from the log has only
// the stored status, content type and body.
http_response toResponse(const answer_caller &answer,
                         const std::optional<http_response> &replicaResponse)
{
    const std::string outcome(toString(answer.outcome));
    if (!answer.response) {
        http_response response = callerError(
                answer.error.value_or(makeFailure(errc::OutcomeUnknown, "")), outcome);
        response.status = answer.status;
        return response;
    }
    http_response response;
    response.status = answer.response->status;
    response.body = answer.response->body.value_or("");
    if (replicaResponse) {
        response.headers = forwardedHeaders(replicaResponse->headers);
    } else {
        if (!answer.response->contentType.empty())
            response.headers.push_back({ "Content-Type", answer.response->contentType });
        response.headers.push_back({ "Fescuedeck-Repeated", "true" });
        if (!answer.response->body)
            response.headers.push_back({ "Fescuedeck-Body-Omitted", "true" });
    }
    response.headers.push_back({ "Fescuedeck-Outcome", outcome });
    return response;
}

} // namespace

// One keyed call. It runs on its own coroutine and outlives the caller's exchange, because the
// records of its end are written after the caller has received the answer.
class keyed_call_run : public std::enable_shared_from_this<keyed_call_run>
{
public:
    keyed_call_run(keyed_calls &owner, const service_spec &service,
                   std::shared_ptr<const bundle_index> index, http_request request,
                   trace_context trace, call_spec spec, const wait_event &answered)
        : m_owner(owner)
        , m_index(std::move(index))
        , m_service(service)
        , m_request(std::move(request))
        , m_trace(std::move(trace))
        , m_spec(std::move(spec))
        , m_call(m_spec)
        , m_scopedKey(scopedKey(m_spec.workspace, *m_spec.key))
        , m_answered(answered)
    {
    }

    void run(boost::asio::yield_context yield);
    // Valid only after the event given to the constructor has been set.
    const http_response &answer() const { return m_answer; }

private:
    // Appends the actions to the queue that run() executes in order.
    void enqueue(call_actions actions);
    void execute(const call_action &action, boost::asio::yield_context yield);
    void appendRecord(const append_record &record, boost::asio::yield_context yield);
    void readLog(const read_log &readAction, boost::asio::yield_context yield);
    void openConnection(const open_connection &connectAction);
    void sendRequest(boost::asio::yield_context yield);
    void askClaimant(const ask_claimant &query, boost::asio::yield_context yield);
    void answerCaller(const answer_caller &answer);
    // Time until the deadline, at least the smallest positive duration.
    duration remainingTime() const;

    keyed_calls &m_owner;
    std::shared_ptr<const bundle_index> m_index; // owns the bundle that m_service refers to
    const service_spec &m_service;
    const http_request m_request;
    const trace_context m_trace;
    const call_spec m_spec;
    idempotent_call m_call;
    const std::string m_scopedKey;
    wait_event m_answered;
    http_response m_answer;
    std::optional<http_response> m_replicaResponse; // as the replica sent it
    const endpoint_spec *m_replica = nullptr;
    std::deque<call_action> m_actions;
};

void keyed_call_run::run(boost::asio::yield_context yield)
{
    const bool isTableRead
            = m_owner.m_partitions.withTable(m_scopedKey, [&](const claim_table &table) {
                  enqueue(m_call.start(currentCallTime(), &table));
              });
    if (!isTableRead) {
        const failure error
                = makeFailure(errc::LogUnavailable, "the claims have not been read yet");
        return answerCaller(
                { statusOf(error), call_outcome::Unknown, std::nullopt, error, std::nullopt });
    }
    while (!m_actions.empty()) {
        const call_action action = std::move(m_actions.front());
        m_actions.pop_front();
        execute(action, yield);
        if (!m_call.hasAnswered() && steadyNow() >= m_spec.deadline.steady)
            enqueue(m_call.deadlinePassed(currentCallTime()));
        m_owner.storeOutcome(m_scopedKey, m_spec.attempt, m_call.outcomeForPeer());
    }
}

void keyed_call_run::enqueue(call_actions actions)
{
    for (call_action &action : actions)
        m_actions.push_back(std::move(action));
}

void keyed_call_run::execute(const call_action &action, boost::asio::yield_context yield)
{
    if (const auto *record = std::get_if<append_record>(&action))
        appendRecord(*record, yield);
    else if (const auto *readAction = std::get_if<read_log>(&action))
        readLog(*readAction, yield);
    else if (const auto *connectAction = std::get_if<open_connection>(&action))
        openConnection(*connectAction);
    else if (std::holds_alternative<send_request>(action))
        sendRequest(yield);
    else if (const auto *query = std::get_if<ask_claimant>(&action))
        askClaimant(*query, yield);
    else if (const auto *answer = std::get_if<answer_caller>(&action))
        answerCaller(*answer);
}

duration keyed_call_run::remainingTime() const
{
    const auto remaining
            = std::chrono::duration_cast<duration>(m_spec.deadline.steady - steadyNow());
    return std::max(duration(1), remaining);
}

void keyed_call_run::appendRecord(const append_record &record, boost::asio::yield_context yield)
{
    if (record.delay > duration::zero())
        sleepFor(record.delay, yield);
    const duration logTimeout = m_owner.m_context.settings.timing.logTimeout;
    const duration timeout
            = m_call.hasAnswered() ? logTimeout : std::min(logTimeout, remainingTime());
    const append_outcome outcome = m_owner.m_appender.append(
            m_owner.m_partitions.streamOf(m_scopedKey), { record.id, record.body }, timeout, yield);
    if (outcome.offset)
        return enqueue(m_call.recordAppended(currentCallTime(), record.id, outcome.offset.value()));
    m_owner.m_context.counters.counterOf("fescuedeck_log_failures_total", { { "call", "append" } })
            .add();
    enqueue(m_call.appendFailed(currentCallTime(), record.id));
}

void keyed_call_run::readLog(const read_log &readAction, boost::asio::yield_context yield)
{
    const time_point deadline = m_call.hasAnswered()
                                        ? steadyNow() + m_owner.m_context.settings.timing.logTimeout
                                        : m_spec.deadline.steady;
    if (!m_owner.m_partitions.waitForOffset(m_scopedKey, readAction.offset, deadline, yield))
        return;
    m_owner.m_partitions.withTable(m_scopedKey, [&](const claim_table &table) {
        enqueue(m_call.logRead(currentCallTime(), table));
    });
}

void keyed_call_run::openConnection(const open_connection &connectAction)
{
    const auto replicas = m_owner.m_context.fleet.with([&](fleet_tables &tables) {
        return replicaOrder(m_service, m_spec.workspace, tables.state.view());
    });
    if (replicas.empty())
        return enqueue(m_call.connectionFailed(currentCallTime()));
    m_replica = replicas[static_cast<std::size_t>(connectAction.number - 1) % replicas.size()];
    // The HTTP client connects and sends in one step, and its result states reliably whether any
    // byte may have been sent. The connection therefore counts as ready here.
    enqueue(m_call.connectionReady(currentCallTime()));
}

void keyed_call_run::sendRequest(boost::asio::yield_context yield)
{
    call_options options;
    options.freshConnection = true;
    options.timeout = remainingTime();
    service_answer answer = callReplica(m_owner.m_context, *m_replica, m_request, m_spec.workspace,
                                        m_trace, options, yield);
    if (answer.execution == execution_status::NotRun && answer.response)
        return enqueue(m_call.refused(currentCallTime()));
    if (!answer.response)
        return enqueue(m_call.responseLost(currentCallTime(),
                                           answer.execution != execution_status::NotRun));
    m_replicaResponse = answer.response.value();
    enqueue(m_call.responseReceived(currentCallTime(), toStoredAnswer(*m_replicaResponse)));
}

void keyed_call_run::askClaimant(const ask_claimant &query, boost::asio::yield_context yield)
{
    std::optional<peer_outcome> outcome;
    if (query.router == m_owner.claimantName())
        outcome = m_owner.outcomeOf(query.key);
    else if (m_owner.m_askClaimant)
        outcome = m_owner.m_askClaimant(query.router, query.key, yield);
    enqueue(m_call.outcomeFromPeer(currentCallTime(), outcome));
}

void keyed_call_run::answerCaller(const answer_caller &answer)
{
    m_answer = toResponse(answer, m_replicaResponse);
    if (answer.retryAfter) {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(*answer.retryAfter);
        m_answer.headers.push_back({ "Retry-After", std::to_string(seconds.count()) });
    }
    m_answered.set();
}

keyed_calls::keyed_calls(router_context &context, log_client &log, log_appender &appender)
    : m_context(context)
    , m_appender(appender)
    , m_partitions(context, log)
    , m_pauseDetector(currentCallTime())
    , m_outcomes(lock_rank::Claims)
{
    context.counters.setGauge("fescuedeck_process_pauses", {},
                              [this] { return static_cast<double>(m_pauseDetector.pauses()); });
}

void keyed_calls::start()
{
    m_partitions.start();
    boost::asio::spawn(m_context.io, [this](boost::asio::yield_context yield) {
        for (;;) {
            m_pauseDetector.tick(currentCallTime());
            sleepFor(pause_detector::tickInterval, yield);
        }
    });
}

std::string keyed_calls::claimantName() const
{
    return m_context.settings.routerId + "/" + m_context.incarnation;
}

http_response keyed_calls::run(http_exchange &exchange, const service_spec &service,
                               const std::string &workspace, const trace_context &trace)
{
    const http_request &request = exchange.request();
    call_spec spec;
    spec.attempt = makeUuidV7(wallNow(), m_context.randomFn());
    spec.router = claimantName();
    spec.workspace = workspace;
    spec.key = *findHeader(request.headers, "Idempotency-Key");
    spec.fingerprint = sha256Hex(request.method + '\n' + request.target + '\n' + request.body);
    spec.accepted = m_pauseDetector.earliestArrival(currentCallTime());
    spec.deadline
            = { spec.accepted.steady + service.deadline,
                spec.accepted.wall + std::chrono::duration_cast<unix_millis>(service.deadline) };
    spec.policy = policyOf(m_context.settings);
    const wait_event answered(exchange.yield());
    const auto call = std::make_shared<keyed_call_run>(*this, service, m_context.bundleInForce(),
                                                       request, trace, std::move(spec), answered);
    ++m_openCalls;
    boost::asio::spawn(m_context.io, [this, call](boost::asio::yield_context yield) {
        call->run(yield);
        --m_openCalls;
    });
    while (!answered.waitUntil(steadyNow() + waitSlice, exchange.yield())) {
    }
    return call->answer();
}

void keyed_calls::storeOutcome(const std::string &scopedKey, const std::string &attempt,
                               const peer_outcome &outcome)
{
    m_outcomes.with([&](outcomes &stored) {
        const auto [entry, isNew] = stored.byKey.try_emplace(scopedKey);
        entry->second[attempt] = outcome;
        // The outcome of an attempt that did not obtain the claim is Unknown. It says nothing about
        // the attempt that holds the claim, so it is not kept beside other outcomes.
        if (outcome.status == peer_call_status::Unknown && entry->second.size() > 1)
            entry->second.erase(attempt);
        if (!isNew)
            return;
        stored.order.push_back(scopedKey);
        if (stored.order.size() > maxOutcomes) {
            stored.byKey.erase(stored.order.front());
            stored.order.pop_front();
        }
    });
}

std::optional<peer_outcome> keyed_calls::outcomeOf(const std::string &scopedKey) const
{
    return m_outcomes.with([&](const outcomes &stored) -> std::optional<peer_outcome> {
        const auto entry = stored.byKey.find(scopedKey);
        if (entry == stored.byKey.end())
            return std::nullopt;
        std::optional<peer_outcome> preferred;
        for (const auto &[attempt, outcome] : entry->second) {
            if (!preferred || preferenceRank(outcome.status) > preferenceRank(preferred->status))
                preferred = outcome;
        }
        return preferred;
    });
}

} // namespace fescuedeck
