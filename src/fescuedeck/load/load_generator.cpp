#include "fescuedeck/load/load_generator.h"

#include <random>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "fescuedeck/base/ids.h"
#include "fescuedeck/base/random.h"
#include "fescuedeck/load/sse_parser.h"
#include "fescuedeck/net/http_client.h"

namespace fescuedeck {
namespace {

constexpr int stockLots = 100;

// What a streamed draft has brought so far.
struct draft_progress
{
    sse_parser parser;
    std::vector<std::string> tokens;
    std::vector<duration> tokenTimes;
    std::string error;
    std::string outcome;
    bool isDone = false;

    void takeEvent(const std::string &event, duration sinceSent);
};

void draft_progress::takeEvent(const std::string &event, duration sinceSent)
{
    if (event == "[DONE]") {
        isDone = true;
        return;
    }
    const auto json = nlohmann::json::parse(event, nullptr, false);
    if (!json.is_object())
        return;
    if (json.contains("error"))
        error = json["error"].value("kind", std::string("error"));
    if (json.contains("outcome"))
        outcome = json.value("outcome", std::string());
    if (json.contains("fescuedeck"))
        outcome = json["fescuedeck"].value("outcome", outcome);
    if (!json.contains("choices") || json["choices"].empty())
        return;
    const auto text = json["choices"][0].value("text", std::string());
    if (text.empty())
        return;
    tokens.push_back(text);
    tokenTimes.push_back(sinceSent);
}

std::string errorKindOf(const http_response &response)
{
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (json.is_object() && json.contains("error") && json["error"].is_object())
        return json["error"].value("kind", std::string("error"));
    return "status_" + std::to_string(response.status);
}

class load_run
{
public:
    explicit load_run(const load_options &options)
        : m_options(options)
        , m_plan(planLoad(options))
        , m_random(seededRandom(std::random_device()()))
        , m_client(m_ioContext)
    {
    }

    load_report run()
    {
        m_start = steadyNow();
        boost::asio::spawn(m_ioContext,
                           [this](const boost::asio::yield_context &yield) { sendAll(yield); });
        m_ioContext.run();
        m_report.setElapsed(steadyNow() - m_start);
        return m_report;
    }

private:
    void sendAll(const boost::asio::yield_context &yield)
    {
        boost::asio::steady_timer timer(m_ioContext);
        for (const planned_request &request : m_plan) {
            timer.expires_at(m_start + request.at);
            timer.async_wait(yield);
            if (m_inFlight >= m_options.maxInFlight) {
                m_report.addUnsent();
                continue;
            }
            ++m_inFlight;
            boost::asio::spawn(m_ioContext,
                               [this, &request](const boost::asio::yield_context &inner) {
                                   m_report.add(sendOne(request, inner));
                                   --m_inFlight;
                               });
        }
    }

    load_record sendOne(const planned_request &request, const boost::asio::yield_context &yield)
    {
        return request.kind == load_kind::Draft ? sendDraft(request, yield)
                                                : sendPlain(request, yield);
    }

    std::vector<http_header> headersOf(const planned_request &request) const
    {
        return { { "Authorization", "Bearer " + m_options.workspaces[request.workspace].token },
                 { "Content-Type", "application/json" } };
    }

    call_result send(const planned_request &request, const http_request &message,
                     const call_options &options, const boost::asio::yield_context &yield)
    {
        return m_client.send(m_options.routers[request.router], message, options, yield);
    }

    // Fills kind, workspace, time, and error and outcome as far as the response states them.
    load_record recordOf(const planned_request &request, const call_result &got, time_point sentAt)
    {
        load_record record;
        record.kind = request.kind;
        record.workspace = m_options.workspaces[request.workspace].name;
        record.whole = steadyNow() - sentAt;
        record.outcome = got.mayHaveBeenSent ? "unknown" : "not-run";
        if (!got.response) {
            record.error = errorName(static_cast<errc>(got.response.error().code.value()));
            return record;
        }
        const http_response &response = got.response.value();
        const std::string *outcome = findHeader(response.headers, "Fescuedeck-Outcome");
        record.outcome = outcome == nullptr ? "unknown" : *outcome;
        if (response.status >= 400)
            record.error = errorKindOf(response);
        return record;
    }

    load_record sendDraft(const planned_request &request, const boost::asio::yield_context &yield)
    {
        const nlohmann::json body = { { "model", m_options.model },
                                      { "adapter", m_options.adapter },
                                      { "prompt", request.prompt },
                                      { "max_tokens", m_options.maxTokens },
                                      { "stream", true } };
        draft_progress progress;
        const time_point sentAt = steadyNow();
        call_options options;
        options.timeout = m_options.requestTimeout;
        options.onBodyPart = [&](std::string_view part) {
            for (const std::string &event : progress.parser.feed(part))
                progress.takeEvent(event, steadyNow() - sentAt);
        };
        const call_result got
                = send(request, { "POST", "/v1/completions", headersOf(request), body.dump() },
                       options, yield);
        load_record record = recordOf(request, got, sentAt);
        record.tokenTimes = progress.tokenTimes;
        if (!progress.outcome.empty())
            record.outcome = progress.outcome;
        if (record.error.empty())
            record.error = progress.error;
        if (record.error.empty() && !progress.isDone)
            record.error = "incomplete_stream";
        if (record.error.empty())
            record.tokens = m_references.check(request.prompt, progress.tokens);
        return record;
    }

    load_record sendPlain(const planned_request &request, const boost::asio::yield_context &yield)
    {
        http_request message{ "GET", "", headersOf(request), "" };
        if (request.kind == load_kind::Write) {
            message.method = "POST";
            message.target = m_options.servicePrefix + "/signatures";
            message.headers.push_back({ "Idempotency-Key", makeUuidV7(wallNow(), m_random) });
            message.body = nlohmann::json{ { "id", request.id } }.dump();
        } else {
            const auto lot = uniformBelow(m_random, stockLots);
            message.target = m_options.servicePrefix + "/stock/" + std::to_string(lot);
        }
        call_options options;
        options.timeout = m_options.requestTimeout;
        const time_point sentAt = steadyNow();
        return recordOf(request, send(request, message, options, yield), sentAt);
    }

    const load_options &m_options;
    const std::vector<planned_request> m_plan;
    random_fn m_random;
    boost::asio::io_context m_ioContext{ 1 };
    http_client m_client;
    load_report m_report;
    token_references m_references;
    time_point m_start;
    int m_inFlight = 0;
};

} // namespace

load_report runLoad(const load_options &options)
{
    return load_run(options).run();
}

} // namespace fescuedeck
