// Model engine: the protocol of design.md 7.1 over engine_model.
// POST /standin/leave makes it leave; GET /standin/counts tells {hops, without_traceparent,
// refusals:{name: n}}.
#include <cstdio>
#include <map>
#include <random>

#include <gflags/gflags.h>

#include "fescuedeck/base/ids.h"
#include "fescuedeck/net/http_client.h"
#include "standins/engine_protocol.h"
#include "standins/standin_server.h"

DEFINE_string(address, "127.0.0.1:0", "ip:port to listen on; port 0 picks a free one");
DEFINE_string(loads, "waiver/1/24/0-24",
              "held layer ranges: model/version/layers/begin-end[/adapter+adapter],...");
DEFINE_string(incarnation, "", "incarnation to report; random if empty");
DEFINE_int32(fixed_us, 0, "time of a batch without members, in microseconds");
DEFINE_int32(token_us, 0, "time of one token through all held layers, in microseconds");
DEFINE_int32(member_us, 0, "time of one batch member, in microseconds");
DEFINE_int32(max_batch, 16, "most hops in one batch");
DEFINE_int32(max_waiting, 1024, "most hops waiting; more are refused");
DEFINE_int32(kv_tokens, 4'000'000, "tokens whose KV is kept");
DEFINE_bool(checks_fencing, true, "refuse orders with an old fencing number");
DEFINE_int32(report_lag_ms, 0, "age up to which a load report is repeated");
DEFINE_int32(cache_blocks, 4096, "prefix cache size in blocks of 16 tokens");
DEFINE_int32(cache_event_delay_ms, 0, "time until a cache event is published");
DEFINE_int32(cache_event_gap, 0, "every n-th cache event is never published; 0 for none");
DEFINE_string(expect, "",
              "print the text that the first load's model gives for this prompt and exit");
DEFINE_int32(max_tokens, 64, "length of the text that --expect prints, in tokens");
DEFINE_string(platform, "", "ip:port of the weight store that ordered loads are read from");

namespace fescuedeck::standins {
namespace {

constexpr std::chrono::milliseconds weightRetryPause(100);

engine_options optionsFromFlags(std::vector<model_load> loads)
{
    engine_options options;
    options.incarnation = FLAGS_incarnation;
    if (options.incarnation.empty())
        options.incarnation = randomHex(8, seededRandom(std::random_device()()));
    options.loads = std::move(loads);
    options.curve
            = { duration(FLAGS_fixed_us), duration(FLAGS_token_us), duration(FLAGS_member_us) };
    options.maxBatch = FLAGS_max_batch;
    options.maxWaiting = FLAGS_max_waiting;
    options.kvTokens = FLAGS_kv_tokens;
    options.checksFencing = FLAGS_checks_fencing;
    options.reportLag = std::chrono::milliseconds(FLAGS_report_lag_ms);
    options.prefixCache
            = { FLAGS_cache_blocks, std::chrono::milliseconds(FLAGS_cache_event_delay_ms),
                FLAGS_cache_event_gap };
    return options;
}

// Status of a refused hop; 503 states that it was rejected before the start.
int statusOf(refusal reason)
{
    if (reason == refusal::Cancelled)
        return 409;
    return reason == refusal::InvalidInput ? 400 : 503;
}

class engine_program
{
public:
    explicit engine_program(engine_options options)
        : m_engine(std::move(options))
    {
    }

    int run()
    {
        m_server.onSetting = [this](const fault_rule &rule) {
            if (rule.kind == fault_kind::Slowdown)
                m_engine.setSlowdown(rule.factor);
        };
        m_server.markerText = [](const http_request &request) { return markerTextOf(request); };
        addRoutes();
        addControlRoutes();
        return m_server.run(FLAGS_address);
    }

private:
    struct pending_answer
    {
        explicit pending_answer(boost::asio::io_context &ioContext)
            : arrived(ioContext)
        {
        }
        std::optional<stage_answer> answer;
        wait_list arrived;
    };

    static std::string markerTextOf(const http_request &request)
    {
        if (pathOf(request.target) != "/v1/stage/run")
            return request.body;
        try {
            return promptText(parseStageCall(nlohmann::json::parse(request.body)));
        } catch (const nlohmann::json::exception &) {
            return request.body;
        }
    }

    void addRoutes()
    {
        m_server.addRoute("POST", "/v1/stage/run",
                          [this](http_exchange &call) { return runStage(call); });
        m_server.addRoute("POST", "/v1/stage/cancel",
                          [this](http_exchange &call) { return cancel(call.request()); });
        m_server.addRoute("GET", "/v1/report", [this](http_exchange &) {
            return jsonResponse(200, m_engine.report(steadyNow(), wallNow()));
        });
        m_server.addRoute("POST", "/v1/orders",
                          [this](http_exchange &call) { return takeOrder(call.request()); });
        m_server.addRoute("GET", "/v1/cache_events", [this](http_exchange &call) {
            const auto from = std::stoll("0" + queryValue(call.request().target, "from", "0"));
            return jsonResponse(200, m_engine.cacheEvents(from, steadyNow()));
        });
        m_server.addRoute("POST", "/v1/kv/export",
                          [this](http_exchange &call) { return exportKv(call.request()); });
        m_server.addRoute("POST", "/v1/kv/import",
                          [this](http_exchange &call) { return importKv(call.request()); });
        m_server.addRoute("GET", "/healthz", [this](http_exchange &) {
            return jsonResponse(200, { { "incarnation", m_engine.incarnation() } });
        });
    }

    void addControlRoutes()
    {
        m_server.addRoute("POST", "/standin/leave", [this](http_exchange &) {
            m_engine.leave();
            return jsonResponse(200, nlohmann::json::object());
        });
        m_server.addRoute("GET", "/standin/counts", [this](http_exchange &) {
            return jsonResponse(200, { { "hops", m_hops },
                                       { "without_traceparent", m_hopsWithoutTrace },
                                       { "refusals", m_refusals } });
        });
    }

    http_response runStage(http_exchange &exchange)
    {
        const http_request &request = exchange.request();
        const stage_call call = parseStageCall(nlohmann::json::parse(request.body));
        m_hops += 1;
        m_hopsWithoutTrace += findHeader(request.headers, "traceparent") == nullptr ? 1 : 0;
        const auto pending = std::make_shared<pending_answer>(m_ioContext);
        m_engine.submit(call, steadyNow(), [pending](const stage_answer &answer) {
            pending->answer = answer;
            pending->arrived.notifyAll();
        });
        advance();
        while (!pending->answer)
            pending->arrived.wait(withoutLimit, exchange.yield());
        const stage_answer &answer = *pending->answer;
        if (answer.refused == refusal::None)
            return jsonResponse(200, stageAnswerJson(call, m_engine.incarnation(), answer));
        const std::string name = refusalName(answer.refused);
        m_refusals[name] += 1;
        return jsonResponse(statusOf(answer.refused), { { "error", name } });
    }

    // Ends due batches and comes back when the running one ends.
    void advance()
    {
        const auto next = m_engine.advance(steadyNow());
        if (!next)
            return;
        m_batchTimer.expires_at(*next);
        m_batchTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                advance();
        });
    }

    http_response cancel(const http_request &request)
    {
        const auto message = nlohmann::json::parse(request.body);
        const bool found = m_engine.cancel(message.at("request").get<std::string>(),
                                           message.at("attempt").get<int>());
        return jsonResponse(200, { { "cancelled", found } });
    }

    http_response takeOrder(const http_request &request)
    {
        const engine_order order = parseOrder(nlohmann::json::parse(request.body));
        const order_answer answer = m_engine.order(order);
        if (!answer.accepted)
            return jsonResponse(
                    409, { { "error", "stale_fencing" }, { "fencing", answer.highestFencing } });
        for (const model_load &load : m_engine.pendingLoads())
            startLoad(load);
        return jsonResponse(200, { { "accepted", true }, { "fencing", answer.highestFencing } });
    }

    void startLoad(const model_load &load)
    {
        if (FLAGS_platform.empty()) {
            m_engine.finishLoad(load);
            return;
        }
        boost::asio::spawn(m_ioContext, [this, load](const boost::asio::yield_context &yield) {
            const std::string target
                    = "/weights/" + load.model + "/" + load.version + "/" + toString(load.range);
            while (!fetchWeights(target, yield))
                wait_list(m_ioContext).wait(weightRetryPause, yield);
            m_engine.finishLoad(load);
        });
    }

    bool fetchWeights(const std::string &target, const boost::asio::yield_context &yield)
    {
        const call_result got = m_client.send(FLAGS_platform, { "GET", target, {}, "" }, {}, yield);
        return got.response && got.response.value().status == 200;
    }

    http_response exportKv(const http_request &request)
    {
        const auto message = nlohmann::json::parse(request.body);
        const auto kv = m_engine.exportKv(message.at("request").get<std::string>(),
                                          message.at("attempt").get<int>());
        if (kv.is_null())
            return jsonResponse(404, { { "error", "no_kv" } });
        return jsonResponse(200, kv);
    }

    http_response importKv(const http_request &request)
    {
        if (!m_engine.importKv(nlohmann::json::parse(request.body), steadyNow()))
            return jsonResponse(503, { { "error", "wrong_layers" } });
        return jsonResponse(200, nlohmann::json::object());
    }

    boost::asio::io_context m_ioContext{ 1 };
    standin_server m_server{ m_ioContext };
    http_client m_client{ m_ioContext };
    engine_model m_engine;
    boost::asio::steady_timer m_batchTimer{ m_ioContext };
    int m_hops = 0;
    int m_hopsWithoutTrace = 0;
    std::map<std::string, int> m_refusals;
};

void printExpectedText(const model_load &load)
{
    const model_identity model{ load.model, load.version, "", load.layers };
    std::printf("%s\n", expectedText(model, FLAGS_expect, FLAGS_max_tokens).c_str());
}

} // namespace
} // namespace fescuedeck::standins

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto loads = fescuedeck::standins::parseLoads(FLAGS_loads);
    if (!loads) {
        std::fprintf(stderr, "%s\n", loads.error().message().c_str());
        return 1;
    }
    if (!FLAGS_expect.empty()) {
        fescuedeck::standins::printExpectedText(loads.value().front());
        return 0;
    }
    return fescuedeck::standins::engine_program(
                   fescuedeck::standins::optionsFromFlags(loads.value()))
            .run();
}
