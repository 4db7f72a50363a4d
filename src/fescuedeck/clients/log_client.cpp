#include "fescuedeck/clients/log_client.h"

#include <optional>

#include "fescuedeck/clients/service_call.h"

namespace fescuedeck {
namespace {

using nlohmann::json;

failure unavailable(const failure &cause)
{
    return makeFailure(errc::LogUnavailable, cause.detail);
}

result<std::string> appendBody(const std::vector<log_append> &records)
{
    json body = { { "records", json::array() } };
    for (const log_append &record : records) {
        auto parsed = detail::parseJson(record.body);
        if (!parsed) {
            return makeFailure(errc::InvalidRequest,
                               "body of log record " + record.id + ": " + parsed.error().detail);
        }
        body["records"].push_back({ { "id", record.id }, { "body", std::move(parsed.value()) } });
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<std::vector<std::int64_t>> parseOffsets(const json &answer, std::size_t count)
{
    const auto malformed = [] {
        return makeFailure(errc::InvalidMessage, "the log's answer to an append has no offsets");
    };
    const auto found = answer.find("offsets");
    if (!answer.is_object() || found == answer.end() || !found->is_array()
        || found->size() != count)
        return malformed();
    std::vector<std::int64_t> offsets;
    for (const json &offset : *found) {
        if (!offset.is_number_integer())
            return malformed();
        offsets.push_back(offset.get<std::int64_t>());
    }
    return offsets;
}

std::optional<std::int64_t> integerField(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_integer())
        return std::nullopt;
    return found->get<std::int64_t>();
}

std::optional<log_record> parseEntry(const json &object)
{
    if (!object.is_object())
        return std::nullopt;
    const auto offset = integerField(object, "offset");
    const auto time = integerField(object, "time_ms");
    const auto id = object.find("id");
    const auto body = object.find("body");
    if (!offset || !time || id == object.end() || !id->is_string() || body == object.end())
        return std::nullopt;
    // A writer may have sent the JSON body as text.
    std::string text = body->is_string() ? body->get<std::string>() : body->dump();
    return log_record{ *offset, id->get<std::string>(), unix_millis(*time), std::move(text) };
}

result<log_page> parsePage(const json &answer)
{
    const auto malformed = [](const std::string &what) {
        return makeFailure(errc::InvalidMessage, "the log's page of records has no valid " + what);
    };
    if (!answer.is_object())
        return malformed("object");
    const auto next = integerField(answer, "next");
    const auto first = integerField(answer, "first");
    const auto records = answer.find("records");
    if (!next || !first || records == answer.end() || !records->is_array())
        return malformed("records, next or first");
    log_page page;
    page.next = *next;
    page.first = *first;
    for (const json &object : *records) {
        auto entry = parseEntry(object);
        if (!entry)
            return malformed("record");
        page.records.push_back(std::move(*entry));
    }
    return page;
}

std::int64_t millis(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

log_client::log_client(http_client &client, std::string address)
    : m_client(client)
    , m_address(std::move(address))
{
}

result<std::vector<std::int64_t>> log_client::append(const std::string &stream,
                                                     const std::vector<log_append> &records,
                                                     duration timeout,
                                                     boost::asio::yield_context yield)
{
    return tryAppend(stream, records, timeout, yield).offsets;
}

log_append_result log_client::tryAppend(const std::string &stream,
                                        const std::vector<log_append> &records, duration timeout,
                                        boost::asio::yield_context yield)
{
    auto body = appendBody(records);
    if (!body)
        return { body.error(), false };
    http_request request;
    request.method = "POST";
    request.target = "/log/" + detail::escapePathSegment(stream) + "/append";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = std::move(body.value());
    call_options options;
    options.timeout = timeout;
    const auto outcome = m_client.send(m_address, request, options, yield);
    if (!outcome.response)
        return { unavailable(outcome.response.error()), outcome.mayHaveBeenSent };

    const http_response &response = outcome.response.value();
    const bool isRefused = response.status >= 400 && response.status < 500;
    const bool isRateLimit = response.status == 429;
    const errc kind = isRefused && !isRateLimit ? errc::InvalidRequest : errc::LogUnavailable;
    auto answer = detail::parseAnswer(response, kind);
    if (!answer)
        return { answer.error(), !isRefused };
    return { parseOffsets(answer.value(), records.size()), true };
}

result<log_page> log_client::read(const std::string &stream, std::int64_t from, int limit,
                                  duration wait, duration timeout, boost::asio::yield_context yield)
{
    http_request request;
    request.method = "GET";
    request.target = "/log/" + detail::escapePathSegment(stream)
                     + "/records?from=" + std::to_string(from) + "&limit=" + std::to_string(limit)
                     + "&wait_ms=" + std::to_string(millis(wait));
    call_options options;
    options.timeout = timeout;
    options.idempotent = true;
    const auto outcome = m_client.send(m_address, request, options, yield);
    if (!outcome.response)
        return unavailable(outcome.response.error());
    auto answer = detail::parseAnswer(outcome.response.value(), errc::LogUnavailable);
    if (!answer)
        return answer.error();
    return parsePage(answer.value());
}

} // namespace fescuedeck
