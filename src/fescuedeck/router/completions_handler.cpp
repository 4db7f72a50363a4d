#include "fescuedeck/router/completions_handler.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/hash.h"
#include "fescuedeck/base/ids.h"
#include "fescuedeck/router/caller_error.h"
#include "fescuedeck/router/draft_runner.h"

namespace fescuedeck {
namespace {

using nlohmann::json;

// Attempts of one draft, including the first.
constexpr int maxAttempts = 8;
// The deadline of a draft leaves time for this many recoveries from failures. Each recovery repeats
// the prefill and may therefore take as long as the first token.
constexpr int recoveriesInDeadline = 3;

result<bool> readField(const json &body, const std::string &name, std::string &target)
{
    const auto field = body.find(name);
    if (field == body.end())
        return false;
    if (!field->is_string())
        return makeFailure(errc::InvalidRequest, "field " + name + " must be a string");
    target = field->get<std::string>();
    return true;
}

result<bool> readOptions(const json &body, completion_request &request)
{
    const json maxTokens = body.value("max_tokens", json(0));
    if (!maxTokens.is_number_integer() || maxTokens.get<std::int64_t>() < 0
        || maxTokens.get<std::int64_t>() > INT32_MAX)
        return makeFailure(errc::InvalidRequest,
                           "field max_tokens must be an integer from 0 to 2147483647");
    request.maxTokens = maxTokens.get<int>();
    const json stream = body.value("stream", json(false));
    if (!stream.is_boolean())
        return makeFailure(errc::InvalidRequest, "field stream must be true or false");
    request.stream = stream.get<bool>();
    return true;
}

result<bool> checkFieldNames(const json &body)
{
    static const std::set<std::string> known
            = { "model", "prompt", "adapter", "max_tokens", "stream", "user" };
    for (const auto &[name, value] : body.items()) {
        if (known.count(name) == 0)
            return makeFailure(errc::InvalidRequest, "field " + name + " is not supported");
    }
    return true;
}

// Returns the UTF-8 bytes of the prompt as its tokens. The engines convert them to tokens of the
// model's own vocabulary.
std::vector<int> promptTokens(const std::string &prompt)
{
    std::vector<int> tokens;
    tokens.reserve(prompt.size());
    for (const char byte : prompt)
        tokens.push_back(static_cast<unsigned char>(byte));
    return tokens;
}

// Returns the hash by which crash_suspects recognizes requests with the same content.
std::string fingerprintOf(const completion_request &request, const std::string &workspace,
                          const std::string &version)
{
    const json content = { workspace, request.model, version, request.adapter, request.prompt };
    return sha256Hex(content.dump(-1, ' ', false, json::error_handler_t::replace));
}

const char *reasonName(finish_reason reason)
{
    return reason == finish_reason::Stop ? "stop" : "length";
}

// Handles one completion from the parsed request to the last byte of the response.
class completion
{
public:
    completion(router_context &context, http_exchange &exchange, const completion_request &request,
               const trace_context &trace)
        : m_context(context)
        , m_exchange(exchange)
        , m_request(request)
        , m_trace(trace)
    {
    }

    void run(draft_admission &admission, const std::shared_ptr<const bundle_index> &index,
             const workspace_spec &workspace);

private:
    draft_job makeJob(const std::shared_ptr<const bundle_index> &index,
                      const workspace_spec &workspace) const;
    draft_sink makeSink();
    bool deliver(const draft_token &token);
    bool startStream();
    json event(const std::string &text, const json &finishReason) const;
    void finish(const draft_end &end);
    void finishStream(const draft_end &end);
    void sendFullResponse(const draft_end &end);
    void recordEnd(const draft_end &end, const std::string &workspace);

    router_context &m_context;
    http_exchange &m_exchange;
    const completion_request &m_request;
    const trace_context &m_trace;
    // The metrics are looked up once for each request and not once for each token.
    summary &m_firstTokenTime = m_context.counters.summaryOf("fescuedeck_first_token_seconds");
    summary &m_betweenTokensTime
            = m_context.counters.summaryOf("fescuedeck_between_tokens_seconds");
    const time_point m_start = steadyNow();
    time_point m_lastToken{};
    std::string m_id;
    std::string m_text;
    int m_tokens = 0;
    bool m_isStreaming = false;
};

draft_job completion::makeJob(const std::shared_ptr<const bundle_index> &index,
                              const workspace_spec &workspace) const
{
    const model_spec &model = *index->findModel(m_request.model);
    draft_job job;
    job.spec.request = m_id;
    job.spec.model = model.name;
    job.spec.version = model.version;
    job.spec.adapter = m_request.adapter;
    job.spec.layers = model.layers;
    job.spec.promptTokens = promptTokens(m_request.prompt);
    job.spec.maxTokens = m_request.maxTokens == 0 ? model.maxTokens : m_request.maxTokens;
    job.spec.firstTokenDeadline = m_start + model.firstTokenDeadline;
    job.spec.deadline = m_start + model.firstTokenDeadline * (1 + recoveriesInDeadline)
                        + model.stepDeadline * job.spec.maxTokens;
    job.spec.maxAttempts = maxAttempts;
    job.index = index;
    job.workspace = workspace.name;
    job.fingerprint = fingerprintOf(m_request, workspace.name, model.version);
    job.trace = m_trace;
    return job;
}

draft_sink completion::makeSink()
{
    draft_sink sink;
    sink.deliver = [this](const draft_token &token) { return deliver(token); };
    sink.callerLeft = [this] { return m_exchange.callerLeft(); };
    return sink;
}

json completion::event(const std::string &text, const json &finishReason) const
{
    const json choice = { { "index", 0 }, { "text", text }, { "finish_reason", finishReason } };
    return { { "id", m_id },
             { "object", "text_completion" },
             { "model", m_request.model },
             { "choices", json::array({ choice }) } };
}

bool completion::startStream()
{
    http_response head;
    head.headers = { { "Content-Type", "text/event-stream" },
                     { "Cache-Control", "no-store" },
                     { "Fescuedeck-Trace", m_trace.traceId } };
    m_isStreaming = true;
    return m_exchange.startStream(head);
}

bool completion::deliver(const draft_token &token)
{
    const time_point now = steadyNow();
    if (m_tokens == 0)
        m_firstTokenTime.observe(now - m_start);
    else
        m_context.counters.summaryOf("fescuedeck_between_tokens_seconds")
                .observe(now - m_lastToken);
    m_lastToken = now;
    ++m_tokens;
    if (!m_request.stream) {
        m_text += token.text;
        return true;
    }
    if (!m_isStreaming && !startStream())
        return false;
    return m_exchange.writeChunk("data: " + event(token.text, nullptr).dump() + "\n\n");
}

void completion::finishStream(const draft_end &end)
{
    json last = event("", nullptr);
    last["fescuedeck"] = { { "outcome", toString(end.outcome) } };
    if (end.error) {
        last["error"] = { { "kind", errorName(static_cast<errc>(end.error->code.value())) },
                          { "message", end.error->detail },
                          { "remedy", end.error->remedy() } };
    } else {
        last["choices"][0]["finish_reason"] = reasonName(end.reason);
    }
    m_exchange.writeChunk("data: " + last.dump() + "\n\ndata: [DONE]\n\n");
    m_exchange.finishStream();
}

void completion::sendFullResponse(const draft_end &end)
{
    json body = event(m_text, reasonName(end.reason));
    body["usage"] = { { "prompt_tokens", m_request.prompt.size() },
                      { "completion_tokens", end.deliveredTokens } };
    body["fescuedeck"] = { { "outcome", toString(end.outcome) } };
    http_response response;
    response.headers = { { "Content-Type", "application/json" },
                         { "Fescuedeck-Outcome", std::string(toString(end.outcome)) },
                         { "Fescuedeck-Trace", m_trace.traceId } };
    response.body = body.dump();
    m_exchange.respond(response);
}

void completion::finish(const draft_end &end)
{
    if (m_isStreaming)
        return finishStream(end);
    if (!end.error && m_request.stream) { // the draft ended without any token
        startStream();
        return finishStream(end);
    }
    if (!end.error)
        return sendFullResponse(end);
    http_response response = callerError(*end.error, toString(end.outcome));
    response.headers.push_back({ "Fescuedeck-Trace", m_trace.traceId });
    m_exchange.respond(response);
}

void completion::recordEnd(const draft_end &end, const std::string &workspace)
{
    m_context.counters
            .counterOf("fescuedeck_drafts_total",
                       { { "model", m_request.model },
                         { "outcome", std::string(toString(end.outcome)) } })
            .add();
    m_context.counters.counterOf("fescuedeck_tokens_total", { { "model", m_request.model } })
            .add(static_cast<std::uint64_t>(end.deliveredTokens));
    m_context.admission.with([&](admission_tables &tables) {
        tables.predictor.record(workspace, m_request.model, end.deliveredTokens);
        if (!end.error)
            tables.retries.recordSuccess(m_request.model);
    });
}

void completion::run(draft_admission &admission, const std::shared_ptr<const bundle_index> &index,
                     const workspace_spec &workspace)
{
    m_id = makeUuidV7(wallNow(), m_context.randomFn());
    draft_job job = makeJob(index, workspace);
    if (m_context.suspects.isQuarantined(job.fingerprint))
        return finish({ draft_outcome::NotRun,
                        makeFailure(errc::Quarantined, "the request has crashed endpoints") });
    queued_request queued;
    queued.id = m_id;
    queued.workspace = workspace.name;
    queued.deadline = job.spec.firstTokenDeadline;
    m_context.admission.with([&](admission_tables &tables) {
        const double output
                = tables.predictor.outputTokens(workspace.name, job.spec.model, job.spec.maxTokens);
        job.predictedTokens = std::max(1, static_cast<int>(output));
        queued.work = tables.predictor.work(static_cast<int>(job.spec.promptTokens.size()), output);
    });
    const auto callerLeft = [this] { return m_exchange.callerLeft(); };
    auto ticket = admission.admit(queued, callerLeft, m_exchange.yield());
    if (!ticket)
        return finish({ draft_outcome::NotRun, ticket.error() });
    const draft_end end = runDraft(m_context, job, makeSink(), m_exchange.yield());
    if (!end.error)
        m_context.suspects.finished(job.fingerprint);
    finish(end);
    m_context.admission.with([&](admission_tables &tables) {
        ticket.value().setActualWork(tables.predictor.work(
                static_cast<int>(job.spec.promptTokens.size()), end.deliveredTokens));
    });
    recordEnd(end, workspace.name);
}

result<bool> checkPermitted(const completion_request &request, const bundle_index &index,
                            const workspace_spec &workspace)
{
    const model_spec *model = index.findModel(request.model);
    if (!model)
        return makeFailure(errc::NotFound, "model " + request.model + " is not in the bundle");
    if (!mayUseModel(workspace, request.model))
        return makeFailure(errc::Forbidden,
                           "workspace " + workspace.name + " may not use model " + request.model);
    if (request.maxTokens > model->maxTokens)
        return makeFailure(errc::InvalidRequest, "max_tokens is above the model's limit of "
                                                         + std::to_string(model->maxTokens));
    const auto &adapters = model->adapters;
    if (!request.adapter.empty()
        && std::find(adapters.begin(), adapters.end(), request.adapter) == adapters.end())
        return makeFailure(errc::NotFound, "adapter " + request.adapter + " is not in the bundle");
    return true;
}

} // namespace

result<completion_request> parseCompletion(const std::string &body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object())
        return makeFailure(errc::InvalidRequest, "the request body is not a JSON object");
    completion_request request;
    for (const auto &read :
         { checkFieldNames(parsed), readField(parsed, "model", request.model),
           readField(parsed, "prompt", request.prompt),
           readField(parsed, "adapter", request.adapter), readOptions(parsed, request) }) {
        if (!read)
            return read.error();
    }
    if (request.model.empty())
        return makeFailure(errc::InvalidRequest, "field model is missing");
    if (request.prompt.empty())
        return makeFailure(errc::InvalidRequest, "field prompt is missing or empty");
    return request;
}

completions_handler::completions_handler(router_context &context, draft_admission &admission)
    : m_context(context)
    , m_admission(admission)
{
}

void completions_handler::handle(http_exchange &exchange,
                                 const std::shared_ptr<const bundle_index> &index,
                                 const trace_context &trace)
{
    const auto workspace = authenticate(*index, exchange.request());
    if (!workspace)
        return exchange.respond(callerError(workspace.error(), outcomeNotRun));
    const auto request = parseCompletion(exchange.request().body);
    if (!request)
        return exchange.respond(callerError(request.error(), outcomeNotRun));
    const auto permitted = checkPermitted(request.value(), *index, *workspace.value());
    if (!permitted)
        return exchange.respond(callerError(permitted.error(), outcomeNotRun));
    completion(m_context, exchange, request.value(), trace)
            .run(m_admission, index, *workspace.value());
}

} // namespace fescuedeck
