#include "fescuedeck/clients/weight_store_client.h"

#include <charconv>

#include "fescuedeck/clients/service_call.h"

namespace fescuedeck {
namespace {

constexpr duration defaultRetryAfter = std::chrono::seconds(1);
constexpr int maxRetryAfterSeconds = 24 * 60 * 60;

} // namespace

duration retryAfter(const http_response &response, duration fallback)
{
    const std::string *text = findHeader(response.headers, "Retry-After");
    if (text == nullptr)
        return fallback;
    int seconds = 0;
    const char *end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, seconds);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == end;
    const bool isInRange = seconds >= 0 && seconds <= maxRetryAfterSeconds;
    return isNumber && isInRange ? duration(std::chrono::seconds(seconds)) : fallback;
}

weight_store_client::weight_store_client(http_client &client, std::string address)
    : m_client(client)
    , m_address(std::move(address))
{
}

result<weight_answer> weight_store_client::fetch(const std::string &model,
                                                 const std::string &version,
                                                 const layer_range &layers, duration timeout,
                                                 boost::asio::yield_context yield)
{
    http_request request;
    request.method = "GET";
    request.target = "/weights/" + detail::escapePathSegment(model) + "/"
                     + detail::escapePathSegment(version) + "/" + toString(layers);
    call_options options;
    options.timeout = timeout;
    options.idempotent = true;
    auto outcome = m_client.send(m_address, request, options, yield);
    if (!outcome.response)
        return outcome.response.error();
    http_response &response = outcome.response.value();
    if (response.status == 200)
        return weight_answer{ false, duration::zero(), std::move(response.body) };
    if (response.status == 429)
        return weight_answer{ true, retryAfter(response, defaultRetryAfter), "" };
    return makeFailure(response.status == 404 ? errc::NotFound : errc::NotReady,
                       "the weight store answers " + request.target + " with status "
                               + std::to_string(response.status));
}

} // namespace fescuedeck
