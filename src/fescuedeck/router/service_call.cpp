#include "fescuedeck/router/service_call.h"

#include <array>

#include <boost/algorithm/string/predicate.hpp>
#include <nlohmann/json.hpp>

namespace fescuedeck {
namespace {

constexpr int statusUnavailable = 503;

// Headers that are not forwarded: those that concern only one connection, the caller's credentials,
// and headers that the router sets itself.
constexpr std::array<std::string_view, 14> droppedHeaders = {
    "Authorization",
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "TE",
    "Transfer-Encoding",
    "Upgrade",
    "Proxy-Authorization",
    "Trailer",
    "Host",
    "Content-Length",
    "traceparent",
    "tracestate",
    "Fescuedeck-Workspace",
};

bool isDropped(const std::string &name)
{
    for (const std::string_view dropped : droppedHeaders) {
        if (boost::algorithm::iequals(name, dropped))
            return true;
    }
    return boost::algorithm::iequals(name, "Fescuedeck-Outcome")
           || boost::algorithm::iequals(name, "Fescuedeck-Trace");
}

// A replica that is draining refuses a call before it starts. Its response has the status 503 and
// the body {"error":"leaving"}.
bool isRefusal(const http_response &response)
{
    if (response.status != statusUnavailable)
        return false;
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    return body.is_object() && body.value("error", nlohmann::json()) == "leaving";
}

execution_status executionOf(const call_result &call)
{
    if (!call.response)
        return call.mayHaveBeenSent ? execution_status::Unknown : execution_status::NotRun;
    return isRefusal(call.response.value()) ? execution_status::NotRun : execution_status::Ran;
}

void reportToFleet(router_context &context, const std::string &replica, const call_result &call,
                   duration elapsed)
{
    const bool isRefused = call.response && isRefusal(call.response.value());
    context.fleet.with([&](fleet_tables &tables) {
        if (isRefused)
            tables.state.callRefusedLeaving(replica, "", steadyNow());
        else if (call.response)
            tables.state.callSucceeded(replica, "", { { 0, 1 }, 1, elapsed }, steadyNow());
        else
            tables.state.callFailed(replica, steadyNow());
    });
}

} // namespace

http_request forwardedRequest(const http_request &caller, const std::string &workspace,
                              const trace_context &span)
{
    http_request request;
    request.method = caller.method;
    request.target = caller.target;
    request.body = caller.body;
    request.headers = forwardedHeaders(caller.headers);
    request.headers.push_back({ "Fescuedeck-Workspace", workspace });
    request.headers.push_back({ "traceparent", formatTraceparent(span) });
    return request;
}

std::vector<http_header> forwardedHeaders(const std::vector<http_header> &headers)
{
    std::vector<http_header> kept;
    for (const http_header &header : headers) {
        if (!isDropped(header.name))
            kept.push_back(header);
    }
    return kept;
}

service_answer callReplica(router_context &context, const endpoint_spec &replica,
                           const http_request &caller, const std::string &workspace,
                           const trace_context &trace, const call_options &options,
                           boost::asio::yield_context yield)
{
    const trace_context span = childOf(trace, context.randomFn());
    const std::int64_t startNanos = nowUnixNanos();
    const time_point start = steadyNow();
    call_result call = context.client.send(
            replica.address, forwardedRequest(caller, workspace, span), options, yield);
    service_answer answer;
    answer.elapsed = steadyNow() - start;
    answer.execution = executionOf(call);
    reportToFleet(context, replica.id, call, answer.elapsed);
    const std::string error = call.response ? "" : call.response.error().message();
    context.traces.record({ span,
                            trace.spanId,
                            "call",
                            startNanos,
                            nowUnixNanos(),
                            !call.response,
                            { { "endpoint", replica.id }, { "error", error } } });
    answer.response = std::move(call.response);
    return answer;
}

} // namespace fescuedeck
