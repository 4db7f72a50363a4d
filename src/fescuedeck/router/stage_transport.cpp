#include "fescuedeck/router/stage_transport.h"

#include <nlohmann/json.hpp>

namespace fescuedeck {
namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

hop_error transportError(const call_result &call)
{
    const failure &error = call.response.error();
    if (!call.mayHaveBeenSent)
        return { hop_failure::NotSent, error.message() };
    if (error.code == errc::Timeout)
        return { hop_failure::TimedOut, error.message() };
    if (error.code == errc::InvalidMessage || error.code == errc::TooLarge)
        return { hop_failure::InvalidAnswer, error.message() };
    return { hop_failure::ConnectionClosed, error.message() };
}

// Returns the reason in the body of an engine's error response; empty if the body has none.
std::string refusalReason(const std::string &body)
{
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("error") || !answer["error"].is_string())
        return {};
    return answer["error"].get<std::string>();
}

hop_error statusError(const http_response &response)
{
    const std::string reason = refusalReason(response.body);
    if (response.status == statusUnavailable && !reason.empty())
        return { hop_failure::Refused, reason };
    return { hop_failure::InvalidAnswer, "status " + std::to_string(response.status) };
}

std::variant<hop_answer, hop_error> interpret(const call_result &call, const std::string &endpoint)
{
    if (!call.response)
        return transportError(call);
    const http_response &response = call.response.value();
    if (response.status != statusOk)
        return statusError(response);
    auto answer = detail::decodeHopAnswer(response.body, endpoint);
    if (!answer)
        return hop_error{ hop_failure::InvalidAnswer, answer.error().message() };
    return std::move(answer).value();
}

} // namespace

namespace detail {

std::string encodeHop(const run_hop &hop, const hop_context &context)
{
    json body = {
        { "request", hop.identity.request },          { "attempt", hop.identity.attempt },
        { "position", hop.identity.position },        { "model", hop.identity.model },
        { "version", hop.identity.version },          { "adapter", hop.identity.adapter },
        { "layer_begin", hop.identity.layers.begin }, { "layer_end", hop.identity.layers.end },
        { "workspace", context.workspace },           { "priority", context.priority }
    };
    if (hop.activations.empty())
        body["tokens"] = hop.tokens;
    else
        body["activations"] = hop.activations;
    return body.dump();
}

result<hop_answer> decodeHopAnswer(const std::string &body, const std::string &endpoint)
{
    try {
        const json answer = json::parse(body);
        hop_answer decoded;
        decoded.endpoint = endpoint;
        decoded.identity.request = answer.at("request").get<std::string>();
        decoded.identity.attempt = answer.at("attempt").get<int>();
        decoded.identity.position = answer.at("position").get<int>();
        decoded.identity.model = answer.at("model").get<std::string>();
        decoded.identity.version = answer.at("version").get<std::string>();
        decoded.identity.adapter = answer.at("adapter").get<std::string>();
        decoded.identity.layers.begin = answer.at("layer_begin").get<int>();
        decoded.identity.layers.end = answer.at("layer_end").get<int>();
        decoded.incarnation = answer.at("incarnation").get<std::string>();
        if (answer.contains("activations"))
            decoded.activations = answer.at("activations").get<std::vector<std::string>>();
        if (answer.contains("token")) {
            const json &token = answer.at("token");
            decoded.token
                    = draft_token{ token.at("id").get<int>(), token.at("text").get<std::string>() };
            decoded.finished = answer.value("finished", false);
        }
        return decoded;
    } catch (const json::exception &error) {
        return makeFailure(errc::InvalidMessage,
                           "endpoint " + endpoint + " sent a malformed answer: " + error.what());
    }
}

} // namespace detail

hop_result runHop(http_client &client, const run_hop &hop, const hop_context &context,
                  boost::asio::yield_context yield)
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/stage/run";
    request.headers
            = { { "Content-Type", "application/json" }, { "traceparent", context.traceparent } };
    request.body = detail::encodeHop(hop, context);
    call_options options;
    options.timeout = context.timeout;
    options.cancellation = context.cancellation;
    const time_point start = steadyNow();
    const call_result call = client.send(context.address, request, options, yield);
    return { interpret(call, hop.endpoint), steadyNow() - start };
}

void cancelWork(http_client &client, const std::string &address, const cancel_work &work,
                duration timeout, boost::asio::yield_context yield)
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/stage/cancel";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = json{ { "request", work.request }, { "attempt", work.attempt } }.dump();
    call_options options;
    options.timeout = timeout;
    options.idempotent = true;
    client.send(address, request, options, yield);
}

} // namespace fescuedeck
