// Simulates, for many seeds and on virtual time, several drafts whose stages fail, restart, pause
// and send wrong, late or duplicated answers.
#include "fescuedeck/stream/draft_stream.h"

#include <algorithm>
#include <memory>

#include <catch2/catch.hpp>

#include "fescuedeck/base/hash.h"
#include "fescuedeck/stream/virtual_schedule.h"

namespace fescuedeck {
namespace {

using std::chrono::milliseconds;

constexpr int layerCount = 6;
constexpr int endpointCount = 9;
constexpr duration stepTime = milliseconds(10);
constexpr duration hopTimeout = milliseconds(60);
const std::vector<std::vector<layer_range>> partitions
        = { { { 0, 2 }, { 2, 4 }, { 4, 6 } }, { { 0, 3 }, { 3, 6 } }, { { 0, 6 } } };

// The KV cache of a model whose tokens depend on every layer of every earlier position, so that the
// text changes if a layer is skipped, repeated or run on another KV cache.
struct fake_kv
{
    std::map<int, std::uint64_t> layers; // by layer, the hash of all its inputs
    int length = 0;                      // number of tokens
};

std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    return stableHash(std::to_string(a), b);
}

std::uint64_t runLayers(fake_kv &kv, layer_range range, std::uint64_t value)
{
    for (int layer = range.begin; layer < range.end; ++layer) {
        std::uint64_t &context = kv.layers[layer];
        context = mix(context, value);
        value = mix(context, layer);
    }
    ++kv.length;
    return value;
}

draft_token tokenOf(std::uint64_t value)
{
    const int id = static_cast<int>(value % 1000);
    return { id, "t" + std::to_string(id) };
}

bool endsText(const draft_token &token)
{
    return token.id % 16 == 0;
}

// Returns the tokens that a run without faults produces.
std::vector<int> faultFreeText(const std::vector<int> &prompt, int maxTokens)
{
    fake_kv kv;
    std::uint64_t value = 0;
    for (const int token : prompt)
        value = runLayers(kv, { 0, layerCount }, token);
    std::vector<int> text;
    while (static_cast<int>(text.size()) < maxTokens) {
        const draft_token token = tokenOf(value);
        text.push_back(token.id);
        if (endsText(token))
            break;
        value = runLayers(kv, { 0, layerCount }, token.id);
    }
    return text;
}

struct fake_stage
{
    std::string id;
    layer_range layers;
    bool isAlive = true;
    bool checksKv = true; // refuses a hop whose position does not follow its KV cache
    std::string version = "1";
    int incarnation = 1;
    time_point pausedUntil;
    std::map<std::pair<std::string, int>, fake_kv> kv; // by request and attempt
    std::vector<hop_answer> sent;                      // all answers of this stage
};

// What the simulations of all seeds contained, so that the test notices if a fault no longer
// occurs.
struct draft_counts
{
    int finished = 0, resumed = 0, notRun = 0;
    std::map<answer_mismatch, int> dropped;
};

class draft_simulation
{
public:
    draft_simulation(std::uint64_t seed, draft_counts &counts)
        : m_schedule(seed)
        , m_counts(counts)
    {
        for (const auto &partition : partitions) {
            for (const layer_range &layers : partition)
                addStage(layers);
        }
        while (m_stages.size() < endpointCount)
            addStage(partitions[1][m_stages.size() % 2]);
        m_faultRate = m_schedule.chance(0.2) ? 0.0 : 0.08 * uniformReal(m_schedule.random());
        m_refusalRate = m_schedule.chance(0.1) ? 0.5 : 0.01;
    }

    violations run()
    {
        const int drafts = 2 + m_schedule.below(4);
        for (int i = 0; i < drafts; ++i)
            m_schedule.after(milliseconds(m_schedule.below(200)), [this] { startDraft(); });
        for (int i = 0; i < 3; ++i)
            m_schedule.after(milliseconds(m_schedule.below(600)), [this] { injectStageFault(); });
        m_schedule.run(time_point(std::chrono::seconds(60)));
        for (const auto &client : m_clients)
            checkEnd(*client);
        return m_violations;
    }

private:
    struct client
    {
        explicit client(draft_spec s)
            : spec(s)
            , draft(std::move(s))
        {
        }
        draft_spec spec;
        draft_stream draft;
        std::vector<int> text;
        bool hasFinished = false;
        std::optional<draft_outcome> failed;
        int hopsStarted = 0; // number of hops that any stage has started
    };

    void addStage(layer_range layers)
    {
        fake_stage stage;
        stage.id = "e" + std::to_string(m_stages.size());
        stage.layers = layers;
        stage.checksKv = m_schedule.chance(0.7);
        m_stages.push_back(stage);
    }

    void addViolation(const client &caller, const std::string &text)
    {
        m_violations.push_back(caller.spec.request + ": " + text);
    }

    fake_stage &stageOf(const std::string &id)
    {
        return *std::find_if(m_stages.begin(), m_stages.end(),
                             [&](const fake_stage &stage) { return stage.id == id; });
    }

    void injectStageFault()
    {
        const std::size_t index = m_schedule.below(endpointCount);
        fake_stage &stage = m_stages[index];
        // Some restarts take no time, so that no hop fails to reach the stage.
        const duration length = milliseconds(m_schedule.chance(0.4) ? 0 : m_schedule.below(300));
        switch (m_schedule.below(4)) {
        case 0:
            stage.pausedUntil = m_schedule.now() + length;
            break;
        case 1:
            stage.version = stage.version == "1" ? "2" : "1";
            break;
        default: // crashes and restarts without its KV cache
            stage.isAlive = false;
            stage.kv.clear();
            ++stage.incarnation;
            m_schedule.after(length, [this, index] { m_stages[index].isAlive = true; });
        }
    }

    draft_route randomRoute(const std::set<std::string> &excluded)
    {
        draft_route route;
        for (const layer_range &layers : partitions[m_schedule.below(3)]) {
            std::vector<std::string> candidates;
            for (const fake_stage &stage : m_stages) {
                if (stage.layers == layers && excluded.count(stage.id) == 0)
                    candidates.push_back(stage.id);
            }
            if (candidates.empty())
                return {};
            const int choice = m_schedule.below(static_cast<int>(candidates.size()));
            route.push_back({ candidates[choice], layers });
        }
        return route;
    }

    void startDraft()
    {
        draft_spec spec;
        spec.request = "r" + std::to_string(m_clients.size());
        spec.model = "writer";
        spec.version = "1";
        spec.layers = layerCount;
        for (int i = m_schedule.below(4); i >= 0; --i)
            spec.promptTokens.push_back(m_schedule.below(1000));
        spec.maxTokens = 1 + m_schedule.below(12);
        spec.maxAttempts = m_schedule.chance(0.3) ? 2 : 40;
        spec.deadline = m_schedule.now() + milliseconds(m_schedule.chance(0.2) ? 100 : 20000);
        spec.hopLogLimit = 10000;
        m_clients.push_back(std::make_unique<client>(spec));
        client &caller = *m_clients.back();
        m_schedule.after(spec.deadline - m_schedule.now(), [this, &caller] {
            execute(caller, caller.draft.deadlinePassed(m_schedule.now()));
        });
        if (m_schedule.chance(0.1)) {
            m_schedule.after(milliseconds(m_schedule.below(200)), [this, &caller] {
                execute(caller, caller.draft.callerLeft(m_schedule.now()));
            });
        }
        execute(caller, caller.draft.start(m_schedule.now(), randomRoute({})));
    }

    void execute(client &caller, const draft_actions &actions)
    {
        for (const draft_action &action : actions)
            std::visit([&](const auto &one) { handle(caller, one); }, action);
    }

    void fail(client &caller, const hop_identity &hop, hop_failure kind)
    {
        execute(caller, caller.draft.hopFailed(m_schedule.now(), hop, kind, false));
    }

    void handle(client &caller, const run_hop &hop)
    {
        m_schedule.after(hopTimeout, [this, &caller, id = hop.identity] {
            fail(caller, id, hop_failure::TimedOut);
        });
        if (m_schedule.chance(m_faultRate / 4)) // the connection is refused
            fail(caller, hop.identity, hop_failure::NotSent);
        else
            m_schedule.after(milliseconds(1), [this, &caller, hop] { receiveHop(caller, hop); });
    }

    void receiveHop(client &caller, const run_hop &hop)
    {
        fake_stage &stage = stageOf(hop.endpoint);
        if (m_schedule.now() < stage.pausedUntil) {
            m_schedule.after(stage.pausedUntil - m_schedule.now(),
                             [this, &caller, hop] { receiveHop(caller, hop); });
            return;
        }
        if (!stage.isAlive) {
            fail(caller, hop.identity, hop_failure::NotSent);
            return;
        }
        fake_kv &kv = stage.kv[{ hop.identity.request, hop.identity.attempt }];
        const int lengthBefore = hop.identity.position - hop.inputTokens();
        const bool lacksKv = stage.checksKv && kv.length != lengthBefore;
        if (lacksKv || m_schedule.chance(m_refusalRate)) {
            fail(caller, hop.identity, hop_failure::Refused);
            return;
        }
        ++caller.hopsStarted;
        hop_answer answer = compute(stage, kv, hop);
        const int incarnation = stage.incarnation;
        m_schedule.after(stepTime, [this, &caller, answer, incarnation] {
            fake_stage &owner = stageOf(answer.endpoint);
            if (owner.incarnation == incarnation)
                send(caller, owner, answer);
            else
                fail(caller, answer.identity, hop_failure::ConnectionClosed);
        });
    }

    static hop_answer compute(const fake_stage &stage, fake_kv &kv, const run_hop &hop)
    {
        hop_answer answer;
        answer.identity = hop.identity;
        answer.identity.version = stage.version;
        answer.endpoint = hop.endpoint;
        answer.incarnation = std::to_string(stage.incarnation);
        std::vector<std::uint64_t> values;
        for (const int token : hop.tokens)
            values.push_back(runLayers(kv, stage.layers, token));
        for (const std::string &activation : hop.activations)
            values.push_back(runLayers(kv, stage.layers, std::stoull(activation)));
        const std::uint64_t salt = stage.version == "1" ? 0 : 1;
        if (stage.layers.end == layerCount) {
            answer.token = tokenOf(values.back() + salt);
            answer.finished = endsText(*answer.token);
        } else {
            for (const std::uint64_t value : values)
                answer.activations.push_back(std::to_string(value + salt));
        }
        return answer;
    }

    // Sends the answer, or, at the fault rate, sends it late, twice, not at all or after a wrong
    // one.
    void send(client &caller, fake_stage &stage, const hop_answer &answer)
    {
        stage.sent.push_back(answer);
        if (!m_schedule.chance(m_faultRate)) {
            deliver(caller, answer, milliseconds(1));
            return;
        }
        switch (m_schedule.below(5)) {
        case 0: // lost
            break;
        case 1: // late, with some delays after the hop's timeout
            deliver(caller, answer, milliseconds(m_schedule.below(200)));
            break;
        case 2: // twice
            deliver(caller, answer, milliseconds(1));
            deliver(caller, answer, milliseconds(1 + m_schedule.below(100)));
            break;
        case 3: // after this stage's answer to an older hop or to another caller's hop
            deliver(caller, stage.sent[m_schedule.below(static_cast<int>(stage.sent.size()))],
                    milliseconds(1));
            deliver(caller, answer, milliseconds(5));
            break;
        default: // after an answer with wrong content and a wrong identity field
            deliver(caller, wrongAnswer(answer), milliseconds(1));
            deliver(caller, answer, milliseconds(5));
        }
    }

    hop_answer wrongAnswer(hop_answer answer)
    {
        switch (m_schedule.below(7)) {
        case 0:
            answer.identity.attempt += m_schedule.chance(0.5) ? 1 : -1;
            break;
        case 1:
            answer.identity.position += m_schedule.chance(0.5) ? 1 : -1;
            break;
        case 2:
            answer.identity.version = "2";
            break;
        case 3:
            answer.identity.layers.begin += 1;
            break;
        case 4:
            answer.identity.request += "x";
            break;
        case 5: // arrives on the connection to another endpoint
            answer.endpoint = "another";
            break;
        default:
            answer.identity.adapter = "other";
        }
        for (std::string &activation : answer.activations)
            activation = "7";
        if (answer.token)
            answer.token = tokenOf(7);
        return answer;
    }

    void deliver(client &caller, const hop_answer &answer, duration delay)
    {
        m_schedule.after(delay, [this, &caller, answer] {
            execute(caller, caller.draft.hopAnswered(m_schedule.now(), answer));
        });
    }

    void handle(client &caller, const request_route &request)
    {
        m_schedule.after(milliseconds(5), [this, &caller, request] {
            const draft_route route = randomRoute(request.excluded);
            execute(caller, route.empty() ? caller.draft.noRoute(m_schedule.now())
                                          : caller.draft.routeFound(m_schedule.now(), route));
        });
    }

    void handle(client &caller, const deliver_token &token)
    {
        const std::size_t index = token.position - caller.spec.promptTokens.size();
        if (index != caller.text.size())
            addViolation(caller,
                         "a token is repeated or missing at index " + std::to_string(index));
        caller.text.push_back(token.token.id);
    }

    void handle(client &caller, const cancel_work &work)
    {
        stageOf(work.endpoint).kv.erase({ caller.spec.request, work.attempt });
    }

    void handle(client & /*caller*/, const drop_answer & /*drop*/) {}
    void handle(client &caller, const finish_draft & /*finish*/) { caller.hasFinished = true; }
    void handle(client &caller, const fail_draft &fail) { caller.failed = fail.outcome; }

    void checkEnd(const client &caller)
    {
        const auto expected = faultFreeText(caller.spec.promptTokens, caller.spec.maxTokens);
        const bool isPrefix
                = caller.text.size() <= expected.size()
                  && std::equal(caller.text.begin(), caller.text.end(), expected.begin());
        if (!isPrefix || (caller.hasFinished && caller.text.size() != expected.size()))
            addViolation(caller, "the text differs from that of a run without faults");
        if (caller.hasFinished == caller.failed.has_value())
            addViolation(caller, "the draft did not end exactly once");
        if (caller.failed == draft_outcome::NotRun && caller.hopsStarted > 0)
            addViolation(caller, "the outcome is not-run, but a stage has started a hop");
        m_counts.finished += caller.hasFinished ? 1 : 0;
        m_counts.notRun += caller.failed == draft_outcome::NotRun ? 1 : 0;
        m_counts.resumed += caller.hasFinished && caller.draft.attempt() > 1 ? 1 : 0;
        for (const auto &dropped : caller.draft.droppedAnswers())
            m_counts.dropped[dropped.first] += dropped.second;
        checkCoverage(caller);
    }

    // Checks that the hops of each delivered token cover the layers once and in order in exactly
    // one attempt, and that no stage restarted within an attempt.
    void checkCoverage(const client &caller)
    {
        std::map<int, std::map<int, std::vector<accepted_hop>>> byPosition;
        std::map<std::pair<int, std::string>, std::string> incarnations;
        for (const accepted_hop &hop : caller.draft.hopLog()) {
            byPosition[hop.position][hop.attempt].push_back(hop);
            const auto known = incarnations.emplace(std::make_pair(hop.attempt, hop.endpoint),
                                                    hop.incarnation);
            if (known.first->second != hop.incarnation)
                addViolation(caller, "a stage restarted within an attempt");
        }
        const auto firstPosition = static_cast<int>(caller.spec.promptTokens.size());
        for (std::size_t i = 0; i < caller.text.size(); ++i) {
            const int position = firstPosition + static_cast<int>(i);
            int covered = 0;
            for (const auto &[attempt, hops] : byPosition[position])
                covered += coverageFault(hops, attempt, position, layerCount) ? 0 : 1;
            if (covered != 1)
                addViolation(caller, "the layers were not run exactly once at position "
                                             + std::to_string(position));
        }
    }

    virtual_schedule m_schedule;
    draft_counts &m_counts;
    double m_faultRate = 0;
    double m_refusalRate = 0;
    std::vector<fake_stage> m_stages;
    std::vector<std::unique_ptr<client>> m_clients;
    violations m_violations;
};

} // namespace

TEST_CASE("drafts over faulty stages deliver the text of a run without faults",
          "[stream][schedule]")
{
    // Guards against tokens that are wrong, repeated or missing after restarts and pauses of stages
    // and after late, wrong or duplicated answers, and against a false "not-run".
    draft_counts counts;
    const violations found = runSeeds(
            4000, [&](std::uint64_t seed) { return draft_simulation(seed, counts).run(); });
    INFO(summaryOf(found));
    CHECK(found.empty());
    if (runsOneSeed())
        return;
    CHECK(counts.finished > 8000);
    CHECK(counts.resumed > 1000);
    CHECK(counts.notRun > 10);
    for (int kind = 1; kind <= static_cast<int>(answer_mismatch::Incarnation); ++kind) {
        if (static_cast<answer_mismatch>(kind) == answer_mismatch::Model)
            continue; // checked in the same way as the version, and covered by the unit test
        INFO(toString(static_cast<answer_mismatch>(kind)));
        CHECK(counts.dropped[static_cast<answer_mismatch>(kind)] > 0);
    }
}

} // namespace fescuedeck
