#include "fescuedeck/router/callers_handler.h"

#include "fescuedeck/router/caller_error.h"
#include "fescuedeck/router/readiness.h"

namespace fescuedeck {
namespace {

constexpr std::string_view completionsPath = "/v1/completions";

std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

callers_handler::callers_handler(router_context &context, completions_handler &completions,
                                 service_handler &services)
    : m_context(context)
    , m_completions(completions)
    , m_services(services)
{
}

void callers_handler::handle(http_exchange &exchange)
{
    const std::string *header = findHeader(exchange.request().headers, "traceparent");
    const auto parent = header ? parseTraceparent(*header) : std::nullopt;
    const random_fn random = m_context.randomFn();
    const trace_context trace = parent ? childOf(*parent, random) : newTrace(random);
    const std::int64_t start = nowUnixNanos();
    dispatch(exchange, trace);
    m_context.traces.record({ trace,
                              parent ? parent->spanId : "",
                              "request",
                              start,
                              nowUnixNanos(),
                              false,
                              { { "method", exchange.request().method },
                                { "path", pathOf(exchange.request().target) },
                                { "router", m_context.settings.routerId } } });
}

void callers_handler::dispatch(http_exchange &exchange, const trace_context &trace)
{
    const readiness state = evaluateReadiness(m_context, steadyNow());
    const http_request &request = exchange.request();
    if (!state.mayServe) {
        // A call with an idempotency key may be a retry of a call that another router has run.
        const bool hasKey = findHeader(request.headers, "Idempotency-Key") != nullptr;
        const failure error = makeFailure(errc::NotReady, state.reason);
        return exchange.respond(callerError(error, hasKey ? outcomeUnknown : outcomeNotRun));
    }
    const auto index = m_context.bundleInForce();
    if (pathOf(request.target) == completionsPath && request.method == "POST")
        return m_completions.handle(exchange, index, trace);
    if (const service_spec *service = findService(index->content(), request.target))
        return m_services.handle(exchange, index, *service, trace);
    exchange.respond(
            callerError(makeFailure(errc::NotFound, request.method + " " + pathOf(request.target)
                                                            + " does not exist"),
                        outcomeNotRun));
}

} // namespace fescuedeck
