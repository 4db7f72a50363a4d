#include "fescuedeck/gateway/request_forwarder.h"

#include <algorithm>

#include "fescuedeck/base/hash.h"
#include "fescuedeck/gateway/forwarded_call.h"
#include "fescuedeck/gateway/retry_after.h"
#include "fescuedeck/router/wait_event.h"
#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {
namespace {

// Time limit of a request if its route states none. The caller may state a shorter one.
constexpr duration defaultTimeLimit = std::chrono::seconds(60);

// How long a request may wait for the first configuration, which arrives as soon as the store or
// another gateway can be reached. Callers disconnect if a stream has not started after about two
// seconds, and a caller that is refused needs the rest of its time to retry.
constexpr duration maxConfigWait = std::chrono::milliseconds(1500);
// The request also waits no longer than the caller's time limit divided by this.
constexpr int configWaitDivisor = 3;
constexpr duration configPollInterval = std::chrono::milliseconds(20);

void waitForConfig(const gateway_context &context, http_exchange &exchange, time_point arrivedAt)
{
    if (context.config)
        return;
    const duration callerLimit
            = context.adapter.readCall(exchange.request()).timeLimit.value_or(defaultTimeLimit);
    const time_point limit
            = arrivedAt + std::min<duration>(maxConfigWait, callerLimit / configWaitDivisor);
    while (!context.config && steadyNow() < limit && !exchange.callerLeft()
           && steadyNow() < context.acceptsRequestsUntil)
        sleepFor(configPollInterval, exchange.yield());
}

duration timeLimitOf(const call_info &info, const route_rule &route)
{
    duration limit = route.timeout > duration::zero() ? route.timeout : defaultTimeLimit;
    if (info.timeLimit)
        limit = std::min(limit, *info.timeLimit);
    return limit;
}

// Identifies equal requests of one caller.
std::string fingerprintOf(const http_request &request, const std::string &caller)
{
    constexpr char separator = '\0';
    std::string text = caller;
    text += separator;
    text += request.method;
    text += separator;
    text += request.target;
    text += separator;
    text += request.body;
    return sha256Hex(text).substr(0, fingerprintChars);
}

// The configurations of two gateways may differ for a while.
bool sharesWith(const route_rule &route, const std::string &service)
{
    return std::any_of(route.shares.begin(), route.shares.end(),
                       [&](const route_share &share) { return share.service == service; });
}

// What a refusal without an attempt says to the gateway that relayed the request. acceptsRelays is
// false once this gateway refuses all relayed requests because it is stopping.
relay_outcome relayOutcomeOf(refusal_reason reason, bool acceptsRelays)
{
    switch (reason) {
    case refusal_reason::NoConfig:
    case refusal_reason::NoEndpoint:
        return relay_outcome::Unavailable;
    case refusal_reason::Stopping:
        return acceptsRelays ? relay_outcome::NotRun : relay_outcome::Unavailable;
    case refusal_reason::Quarantined:
        return relay_outcome::MayHaveRun;
    default:
        return relay_outcome::NotRun;
    }
}

} // namespace

request_forwarder::request_forwarder(gateway_context &context)
    : m_context(context)
{
}

void request_forwarder::handle(http_exchange &exchange)
{
    forward(exchange, std::nullopt);
}

void request_forwarder::handleRelayed(http_exchange &exchange)
{
    const http_request &request = exchange.request();
    const std::string id = m_context.adapter.readCall(request).id;
    const auto claim = checkRelayHeader(
            m_context.peerSecret, request,
            { m_context.settings.id, id, request.method, request.target }, wallNow());
    if (!claim)
        return rejectRelay(exchange, claim.error());
    m_context.counters.counterOf("fescuedeck_served_relays_total").add();
    if (m_context.isIsolated())
        return refuse(exchange, refusal_reason::NoEndpoint, claim.value());
    if (!m_context.config)
        return refuse(exchange, refusal_reason::NoConfig, claim.value());
    forward(exchange, claim.value());
}

void request_forwarder::rejectRelay(http_exchange &exchange, const failure &error)
{
    constexpr int statusForbidden = 403;
    const std::string id = m_context.adapter.readCall(exchange.request()).id;
    m_context.counters.counterOf("fescuedeck_rejected_relays_total").add();
    event_line("relay_rejected", event_level::Warning)
            .field("request", id)
            .field("from", exchange.callerAddress())
            .field("detail", error.detail);
    http_response response = errorResponse(statusForbidden, error, "not-run");
    markRelayRefusal(response, relay_outcome::Unavailable, id);
    exchange.respond(response);
}

void request_forwarder::refuse(http_exchange &exchange, refusal_reason reason,
                               const std::optional<relay_claim> &relayed)
{
    const std::string id = m_context.adapter.readCall(exchange.request()).id;
    const std::string name(nameOf(refusalReasonNames, reason));
    m_context.counters.counterOf("fescuedeck_rejected_requests_total", { { "reason", name } })
            .add();
    event_line("request_rejected", event_level::Warning).field("request", id).field("reason", name);
    http_response refusal
            = m_context.adapter.refuse(reason, retryAfterFor(reason, {}, m_context.random));
    if (relayed)
        markRelayRefusal(refusal,
                         relayOutcomeOf(reason, steadyNow() < m_context.acceptsRelaysUntil), id);
    exchange.respond(refusal);
}

void request_forwarder::forward(http_exchange &exchange, const std::optional<relay_claim> &relayed)
{
    const platform_adapter &adapter = m_context.adapter;
    const auto refuse = [&](refusal_reason reason) { this->refuse(exchange, reason, relayed); };
    const time_point arrivedAt = steadyNow();
    waitForConfig(m_context, exchange, arrivedAt);
    const time_point acceptsUntil
            = relayed ? m_context.acceptsRelaysUntil : m_context.acceptsRequestsUntil;
    if (steadyNow() >= acceptsUntil)
        return refuse(refusal_reason::Stopping);
    const auto config = m_context.config;
    if (!config)
        return refuse(refusal_reason::NoConfig);
    const call_info info = adapter.readCall(exchange.request());
    const route_rule *route = config->findRoute(info.host, info.path);
    const bool isRouted = route != nullptr && (!relayed || sharesWith(*route, relayed->service));
    if (!isRouted)
        return refuse(refusal_reason::NoRoute);
    const workspace_rule *workspace = config->findWorkspace(info.key);
    const bool needsKey = !config->config().workspaces.empty() && !route->isPublic;
    if (needsKey && workspace == nullptr)
        return refuse(refusal_reason::NoKey);
    // A workspace may have several keys and change them.
    const std::string caller = workspace == nullptr ? info.key : workspace->name;
    const duration timeLimit = timeLimitOf(info, *route);
    // The end of this process could cut the request off, and nobody may repeat it then. Another
    // gateway can still run it.
    if (!isRepeatable(*route) && arrivedAt + timeLimit > m_context.endsAt)
        return refuse(refusal_reason::Stopping);
    request_identity identity{ fingerprintOf(exchange.request(), caller),
                               sharedSegmentsOf(info.promptSegments) };
    if (m_context.crashes.isQuarantined(identity, steadyNow()))
        return refuse(refusal_reason::Quarantined);
    forwarded_call call(m_context, exchange, config, *route, info, relayed);
    call.rank = rankOf(*route, workspace);
    call.workspace = workspace == nullptr ? std::string() : workspace->name;
    call.identity = std::move(identity);
    call.arrivedAt = arrivedAt;
    call.deadline = arrivedAt + timeLimit;
    call.run();
}

} // namespace fescuedeck
