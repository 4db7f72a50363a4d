#include "fescuedeck/router/service_handler.h"

#include <algorithm>

#include "fescuedeck/router/caller_error.h"
#include "fescuedeck/router/replica_choice.h"

namespace fescuedeck {
namespace {

// Maximum number of attempts of an idempotent call. Each attempt gets an equal part of the time
// until the deadline, so that a stalled connection leaves time for the other attempts.
constexpr int maxAttempts = 3;

std::string_view outcomeOf(execution_status execution)
{
    switch (execution) {
    case execution_status::NotRun:
        return outcomeNotRun;
    case execution_status::Ran:
        return outcomeRan;
    case execution_status::Unknown:
        break;
    }
    return outcomeUnknown;
}

failure unknownOutcome(const failure &cause)
{
    return makeFailure(errc::OutcomeUnknown, "the call was sent but not answered: " + cause.detail);
}

} // namespace

http_response toCallerResponse(const service_answer &answer)
{
    if (answer.execution == execution_status::Unknown)
        return callerError(unknownOutcome(answer.response.error()), outcomeUnknown);
    if (!answer.response)
        return callerError(answer.response.error(), outcomeNotRun);
    http_response response = answer.response.value();
    response.headers = forwardedHeaders(response.headers);
    response.headers.push_back({ "Fescuedeck-Outcome", std::string(outcomeOf(answer.execution)) });
    return response;
}

service_handler::service_handler(router_context &context, keyed_calls &keyedCalls)
    : m_context(context)
    , m_keyedCalls(keyedCalls)
{
}

std::vector<const endpoint_spec *> service_handler::replicasFor(const service_spec &service,
                                                                const std::string &workspace)
{
    return m_context.fleet.with([&](fleet_tables &tables) {
        return replicaOrder(service, workspace, tables.state.view());
    });
}

http_response service_handler::callWithRetries(http_exchange &exchange, const service_spec &service,
                                               const std::string &workspace,
                                               const trace_context &trace)
{
    const time_point deadline = steadyNow() + service.deadline;
    service_answer answer;
    for (int attempt = 0; attempt < maxAttempts && steadyNow() < deadline; ++attempt) {
        const auto replicas = replicasFor(service, workspace);
        if (replicas.empty())
            return callerError(makeFailure(errc::NoRoute,
                                           "service " + service.name + " has no replica in use"),
                               outcomeNotRun);
        call_options options;
        options.idempotent = true;
        options.freshConnection = attempt > 0;
        options.timeout = std::min(service.deadline / maxAttempts,
                                   std::chrono::duration_cast<duration>(deadline - steadyNow()));
        const endpoint_spec &replica
                = *replicas[static_cast<std::size_t>(attempt) % replicas.size()];
        answer = callReplica(m_context, replica, exchange.request(), workspace, trace, options,
                             exchange.yield());
        const bool isStale
                = service.maxStaleness > duration::zero() && answer.elapsed > service.maxStaleness;
        if (answer.execution == execution_status::Ran && !isStale)
            return toCallerResponse(answer);
        m_context.counters
                .counterOf(
                        "fescuedeck_service_retries_total",
                        { { "service", service.name }, { "reason", isStale ? "stale" : "failed" } })
                .add();
        if (answer.execution == execution_status::Ran)
            answer.response = makeFailure(errc::Timeout, "the answer was older than max_staleness");
    }
    // The outcome is reported as unknown. The caller may safely repeat the call, because it is
    // idempotent.
    answer.execution = execution_status::Unknown;
    return toCallerResponse(answer);
}

http_response service_handler::callAtMostOnce(http_exchange &exchange, const service_spec &service,
                                              const std::string &workspace,
                                              const trace_context &trace)
{
    const time_point deadline = steadyNow() + service.deadline;
    service_answer answer;
    answer.execution = execution_status::NotRun;
    answer.response
            = makeFailure(errc::NoRoute, "service " + service.name + " has no replica in use");
    for (const endpoint_spec *replica : replicasFor(service, workspace)) {
        if (steadyNow() >= deadline)
            break;
        call_options options;
        options.freshConnection = true;
        options.timeout = std::chrono::duration_cast<duration>(deadline - steadyNow());
        answer = callReplica(m_context, *replica, exchange.request(), workspace, trace, options,
                             exchange.yield());
        if (answer.execution != execution_status::NotRun)
            break;
    }
    return toCallerResponse(answer);
}

void service_handler::handle(http_exchange &exchange,
                             const std::shared_ptr<const bundle_index> &index,
                             const service_spec &service, const trace_context &trace)
{
    const http_request &request = exchange.request();
    const auto workspace = authenticate(*index, request);
    if (!workspace)
        return exchange.respond(callerError(workspace.error(), outcomeNotRun));
    const std::string &name = workspace.value()->name;
    if (!mayUseService(*workspace.value(), service.name))
        return exchange.respond(callerError(
                makeFailure(errc::Forbidden,
                            "workspace " + name + " may not use service " + service.name),
                outcomeNotRun));
    http_response response;
    if (isIdempotent(service, request.method, request.target))
        response = callWithRetries(exchange, service, name, trace);
    else if (findHeader(request.headers, "Idempotency-Key"))
        response = m_keyedCalls.run(exchange, service, name, trace);
    else
        response = callAtMostOnce(exchange, service, name, trace);
    const std::string *outcome = findHeader(response.headers, "Fescuedeck-Outcome");
    m_context.counters
            .counterOf("fescuedeck_service_calls_total",
                       { { "service", service.name }, { "outcome", outcome ? *outcome : "" } })
            .add();
    response.headers.push_back({ "Fescuedeck-Trace", trace.traceId });
    exchange.respond(response);
}

} // namespace fescuedeck
