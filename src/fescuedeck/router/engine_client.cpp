#include "fescuedeck/router/engine_client.h"

#include <nlohmann/json.hpp>

namespace fescuedeck {
namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

result<http_response> get(http_client &client, const std::string &address,
                          const std::string &target, duration timeout,
                          boost::asio::yield_context yield)
{
    http_request request;
    request.method = "GET";
    request.target = target;
    call_options options;
    options.timeout = timeout;
    options.idempotent = true;
    return client.send(address, request, options, yield).response;
}

result<std::string> fetchReportBody(http_client &client, const std::string &address,
                                    duration timeout, boost::asio::yield_context yield)
{
    const auto response = get(client, address, "/v1/report", timeout, yield);
    if (!response)
        return response.error();
    if (response.value().status != statusOk)
        return makeFailure(errc::EndpointRefused,
                           "the report request returned status "
                                   + std::to_string(response.value().status));
    return response.value().body;
}

// Returns an empty string if the field is missing or is not a string.
std::string textField(const json &body, const char *name)
{
    const auto field = body.find(name);
    return field != body.end() && field->is_string() ? field->get<std::string>() : std::string();
}

} // namespace

namespace detail {

result<endpoint_report> decodeReport(const std::string &body)
{
    try {
        const json report = json::parse(body);
        endpoint_report decoded;
        decoded.incarnation = report.at("incarnation").get<std::string>();
        decoded.leaving = report.at("state").get<std::string>() == "leaving";
        decoded.running = report.at("running").get<int>();
        decoded.waiting = report.at("waiting").get<int>();
        const std::chrono::duration<double, std::milli> step(report.at("step_ms").get<double>());
        decoded.step = std::chrono::duration_cast<duration>(step);
        return decoded;
    } catch (const json::exception &error) {
        return makeFailure(errc::InvalidMessage,
                           std::string("the report is malformed: ") + error.what());
    }
}

} // namespace detail

result<endpoint_report> fetchReport(http_client &client, const std::string &address,
                                    duration timeout, boost::asio::yield_context yield)
{
    const auto body = fetchReportBody(client, address, timeout, yield);
    if (!body)
        return body.error();
    return detail::decodeReport(body.value());
}

result<load_report> fetchLoadReport(http_client &client, const std::string &address,
                                    duration timeout, boost::asio::yield_context yield)
{
    const auto body = fetchReportBody(client, address, timeout, yield);
    if (!body)
        return body.error();
    return parseLoadReport(body.value());
}

result<endpoint_report> fetchHealth(http_client &client, const std::string &address,
                                    duration timeout, boost::asio::yield_context yield)
{
    const auto response = get(client, address, "/healthz", timeout, yield);
    if (!response)
        return response.error();
    const json body = json::parse(response.value().body, nullptr, false);
    endpoint_report report;
    if (body.is_object())
        report.incarnation = textField(body, "incarnation");
    if (response.value().status == statusOk)
        return report;
    report.leaving
            = response.value().status == statusUnavailable && body.is_object()
              && (textField(body, "state") == "leaving" || textField(body, "error") == "leaving");
    if (!report.leaving)
        return makeFailure(errc::EndpointRefused,
                           "the health check returned status "
                                   + std::to_string(response.value().status));
    return report;
}

} // namespace fescuedeck
