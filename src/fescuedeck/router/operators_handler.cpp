#include "fescuedeck/router/operators_handler.h"

#include <nlohmann/json.hpp>

#include "fescuedeck/router/caller_error.h"
#include "fescuedeck/router/readiness.h"

namespace fescuedeck {
namespace {

using nlohmann::json;

constexpr int statusUnavailable = 503;
constexpr std::string_view tracesPath = "/traces/";

http_response jsonResponse(const json &body, int status = 200)
{
    http_response response;
    response.status = status;
    response.headers = { { "Content-Type", "application/json" } };
    response.body = body.dump() + "\n";
    return response;
}

http_response textResponse(std::string body, int status = 200)
{
    http_response response;
    response.status = status;
    response.headers = { { "Content-Type", "text/plain; version=0.0.4" } };
    response.body = std::move(body);
    return response;
}

json bundleJson(const control_state &control)
{
    return { { "version", control.acceptedVersion() },
             { "hash", control.acceptedHash() },
             { "offset", control.acceptedOffset() } };
}

json endpointsJson(const fleet_view &view)
{
    json endpoints = json::array();
    for (const endpoint_view &endpoint : view.endpoints) {
        endpoints.push_back({ { "id", endpoint.id },
                              { "host", endpoint.host },
                              { "failure_domain", endpoint.failureDomain },
                              { "layers", toString(endpoint.layers) },
                              { "state", nameOf(endpointPhaseNames, endpoint.phase) },
                              { "in_flight", endpoint.inFlight } });
    }
    return endpoints;
}

} // namespace

operators_handler::operators_handler(router_context &context, const draft_admission &admission,
                                     operators_hooks hooks)
    : m_context(context)
    , m_admission(admission)
    , m_hooks(std::move(hooks))
{
}

http_response operators_handler::readiness() const
{
    const auto state = evaluateReadiness(m_context, steadyNow());
    if (state.isReady)
        return textResponse("ready\n");
    return textResponse(state.reason + "\n", statusUnavailable);
}

http_response operators_handler::status() const
{
    const auto state = evaluateReadiness(m_context, steadyNow());
    json body = {
        { "router", m_context.settings.routerId },
        { "incarnation", m_context.incarnation },
        { "cell", m_context.settings.cell },
        { "failure_domain", m_context.settings.failureDomain },
        { "ready", state.isReady },
        { "reason", state.reason },
        { "drafts", { { "running", m_admission.running() }, { "waiting", m_admission.waiting() } } }
    };
    m_context.control.with([&](const control_tables &tables) {
        body["bundle"] = bundleJson(tables.state);
        body["drained_hosts"] = tables.state.drainedHosts();
    });
    m_context.fleet.with([&](const fleet_tables &tables) {
        body["endpoints"] = endpointsJson(tables.state.view());
    });
    body["quarantined"] = json::array();
    for (const quarantine_entry &entry : m_context.suspects.quarantined())
        body["quarantined"].push_back(entry.fingerprint);
    if (m_hooks.livePeers)
        body["peers"] = m_hooks.livePeers();
    return jsonResponse(body);
}

http_response operators_handler::drain(const std::string &body) const
{
    const json parsed = json::parse(body, nullptr, false);
    const bool hasHost
            = parsed.is_object() && parsed.contains("host") && parsed["host"].is_string();
    if (!hasHost)
        return callerError(makeFailure(errc::InvalidRequest, "the body must be {\"host\": NAME}"),
                           outcomeNotRun);
    m_hooks.drainHost(parsed["host"].get<std::string>());
    return jsonResponse({ { "host", parsed["host"] }, { "state", "leaving" } });
}

http_response operators_handler::answer(const http_request &request) const
{
    const std::string &target = request.target;
    if (request.method == "POST" && target == "/drain")
        return drain(request.body);
    if (request.method != "GET")
        return callerError(makeFailure(errc::NotFound, request.method + " " + target),
                           outcomeNotRun);
    if (target == "/healthz")
        return textResponse("ok\n");
    if (target == "/readyz")
        return readiness();
    if (target == "/metrics")
        return textResponse(m_context.counters.prometheusText());
    if (target == "/status")
        return status();
    if (target.compare(0, tracesPath.size(), tracesPath) == 0) {
        const std::string traceId = target.substr(tracesPath.size());
        if (!m_context.traces.find(traceId).empty())
            return jsonResponse(json::parse(m_context.traces.findOtlp(traceId)));
    }
    return callerError(makeFailure(errc::NotFound, target + " does not exist here"), outcomeNotRun);
}

void operators_handler::handle(http_exchange &exchange) const
{
    exchange.respond(answer(exchange.request()));
}

} // namespace fescuedeck
