#include "standins/engine_model.h"

#include <algorithm>
#include <iterator>

#include "fescuedeck/base/name_table.h"

namespace fescuedeck::standins {
namespace {

constexpr name_table<refusal, 7> refusalNames = { {
        { refusal::None, "none" },
        { refusal::Leaving, "leaving" },
        { refusal::Overloaded, "overloaded" },
        { refusal::NoKv, "no_kv" },
        { refusal::WrongLayers, "wrong_layers" },
        { refusal::Cancelled, "cancelled" },
        { refusal::InvalidInput, "invalid_input" },
} };

std::vector<activation> inputsOf(const stage_call &call)
{
    std::vector<activation> inputs;
    if (call.layers.begin == 0) {
        for (const int token : call.tokens)
            inputs.push_back({ 0, token });
        return inputs;
    }
    for (const std::string &text : call.activations) {
        const auto value = decodeActivation(text);
        if (!value)
            return {};
        inputs.push_back(*value);
    }
    return inputs;
}

std::vector<int> tokensOf(const std::vector<activation> &inputs)
{
    std::vector<int> tokens;
    tokens.reserve(inputs.size());
    for (const activation &input : inputs)
        tokens.push_back(input.token);
    return tokens;
}

bool sameLoad(const model_load &a, const model_load &b)
{
    return a.model == b.model && a.version == b.version && a.range == b.range
           && a.adapters == b.adapters;
}

bool holdsLoad(const std::vector<model_load> &loads, const model_load &wanted)
{
    return std::any_of(loads.begin(), loads.end(),
                       [&](const model_load &load) { return sameLoad(load, wanted); });
}

} // namespace

std::string refusalName(refusal reason)
{
    return std::string(nameOf(refusalNames, reason));
}

engine_model::engine_model(engine_options options)
    : m_options(std::move(options))
    , m_prefixCache(m_options.prefixCache)
{
}

const model_load *engine_model::loadFor(const stage_call &call) const
{
    for (const model_load &load : m_options.loads) {
        const bool hasAdapter
                = call.adapter.empty()
                  || std::count(load.adapters.begin(), load.adapters.end(), call.adapter) > 0;
        if (load.model == call.model && load.version == call.version && hasAdapter
            && call.layers.size() > 0 && load.range.contains(call.layers))
            return &load;
    }
    return nullptr;
}

refusal engine_model::check(const stage_call &call, const std::vector<activation> &inputs) const
{
    const auto kv = m_kv.find({ call.request, call.attempt });
    if (kv == m_kv.end() && m_leaving)
        return refusal::Leaving;
    if (loadFor(call) == nullptr)
        return refusal::WrongLayers;
    if (inputs.empty())
        return refusal::InvalidInput;
    const bool hasKv = kv != m_kv.end() && kv->second.states.count(call.layers.begin) > 0
                       && kv->second.states.count(call.layers.end - 1) > 0;
    // position counts the tokens held after the hop, so that only a prefill brings that many.
    const bool isStep = static_cast<int>(inputs.size()) < call.position;
    if (isStep && !hasKv)
        return refusal::NoKv;
    const bool isFull = static_cast<int>(m_waiting.size()) >= m_options.maxWaiting;
    if (isFull || (kv == m_kv.end() && m_role == "standby"))
        return refusal::Overloaded;
    return refusal::None;
}

engine_model::kv_entry &engine_model::entryFor(const stage_call &call, time_point now)
{
    kv_entry &entry = m_kv[{ call.request, call.attempt }];
    const model_load *load = loadFor(call);
    entry.model = { call.model, call.version, call.adapter, load->layers };
    for (int layer = call.layers.begin; layer < call.layers.end; ++layer)
        entry.states.emplace(layer, 0);
    entry.lastUsed = now;
    return entry;
}

void engine_model::submit(const stage_call &call, time_point now, const answer_fn &done)
{
    std::vector<activation> inputs = inputsOf(call);
    refusal refused = refusal::None;
    {
        const std::lock_guard lock(m_mutex);
        refused = check(call, inputs);
        if (refused == refusal::None) {
            entryFor(call, now).pendingHops += 1;
            m_waiting.push_back({ call, std::move(inputs), done });
        }
    }
    if (refused != refusal::None)
        done({ refused, {}, std::nullopt });
}

int engine_model::uncachedTokens(const pending_hop &hop)
{
    const int count = static_cast<int>(hop.inputs.size());
    if (count == 1)
        return 1;
    const model_identity model{ hop.call.model, hop.call.version, hop.call.adapter, 0 };
    return count - m_prefixCache.lookUp(identityHash(model), tokensOf(hop.inputs));
}

duration engine_model::batchTime()
{
    double micros = static_cast<double>(m_options.curve.fixed.count());
    for (const pending_hop &hop : m_running) {
        const model_load *load = loadFor(hop.call);
        const double held = load == nullptr ? hop.call.layers.size() : load->range.size();
        const double share = hop.call.layers.size() / held;
        micros += static_cast<double>(m_options.curve.perMember.count());
        micros += static_cast<double>(m_options.curve.perToken.count()) * share
                  * uncachedTokens(hop);
    }
    return duration(static_cast<std::int64_t>(micros * m_slowdown));
}

void engine_model::startBatch(time_point now)
{
    if (m_waiting.empty())
        return;
    std::stable_sort(m_waiting.begin(), m_waiting.end(),
                     [](const pending_hop &a, const pending_hop &b) {
                         return a.call.priority > b.call.priority;
                     });
    const auto count
            = std::min<std::size_t>(m_waiting.size(), static_cast<std::size_t>(m_options.maxBatch));
    const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(count);
    m_running.assign(std::make_move_iterator(m_waiting.begin()), std::make_move_iterator(end));
    m_waiting.erase(m_waiting.begin(), end);
    m_lastBatchTime = batchTime();
    m_batchEnds = now + m_lastBatchTime;
}

stage_answer engine_model::run(const pending_hop &hop, time_point now)
{
    const auto found = m_kv.find({ hop.call.request, hop.call.attempt });
    if (hop.cancelled || found == m_kv.end())
        return { refusal::Cancelled, {}, std::nullopt };
    kv_entry &entry = found->second;
    const std::uint64_t identity = identityHash(entry.model);
    const bool isLastStage = hop.call.layers.end == entry.model.layers;
    stage_answer answer;
    activation value;
    for (const activation &input : hop.inputs) {
        value = input;
        for (int layer = hop.call.layers.begin; layer < hop.call.layers.end; ++layer) {
            value.state = foldLayer(identity, layer, value, entry.states[layer]);
            entry.states[layer] = value.state;
        }
        if (isLastStage)
            entry.generated += input.token >= firstWordToken ? 1 : 0;
        else
            answer.activations.push_back(encodeActivation(value));
    }
    entry.positions += static_cast<int>(hop.inputs.size());
    m_heldPositions += static_cast<int>(hop.inputs.size());
    if (isLastStage)
        answer.token = tokenOf(value.state, entry.generated);
    if (hop.inputs.size() > 1)
        m_prefixCache.store(identity, tokensOf(hop.inputs), now);
    entry.pendingHops -= 1;
    entry.lastUsed = now;
    return answer;
}

void engine_model::endBatch(time_point now, deferred_calls *answers)
{
    for (const pending_hop &hop : m_running) {
        answers->push_back([done = hop.done, answer = run(hop, now)] { done(answer); });
    }
    m_running.clear();
    m_batchEnds.reset();
    evictIdleKv();
}

void engine_model::evictIdleKv()
{
    if (m_heldPositions <= m_options.kvTokens)
        return;
    std::vector<std::pair<time_point, attempt_key>> idle;
    for (const auto &[key, entry] : m_kv) {
        if (entry.pendingHops == 0)
            idle.emplace_back(entry.lastUsed, key);
    }
    std::sort(idle.begin(), idle.end());
    // Frees a tenth more than needed, because the search visits every entry.
    const int goal = m_options.kvTokens - m_options.kvTokens / 10;
    for (const auto &item : idle) {
        if (m_heldPositions <= goal)
            return;
        dropKv(item.second);
    }
}

bool engine_model::dropKv(const attempt_key &key)
{
    const auto found = m_kv.find(key);
    if (found == m_kv.end())
        return false;
    m_heldPositions -= found->second.positions;
    m_kv.erase(found);
    return true;
}

std::optional<time_point> engine_model::advance(time_point now)
{
    deferred_calls answers;
    std::optional<time_point> next;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_batchEnds)
            startBatch(now);
        while (m_batchEnds && *m_batchEnds <= now) {
            const time_point ended = *m_batchEnds;
            endBatch(ended, &answers);
            startBatch(ended);
        }
        next = m_batchEnds;
    }
    for (const auto &call : answers)
        call();
    return next;
}

bool engine_model::cancel(const std::string &request, int attempt)
{
    std::vector<pending_hop> removed;
    bool found = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto matches = [&](const pending_hop &hop) {
            return hop.call.request == request && hop.call.attempt == attempt;
        };
        const auto middle = std::stable_partition(m_waiting.begin(), m_waiting.end(),
                                                  [&](const auto &hop) { return !matches(hop); });
        removed.assign(std::make_move_iterator(middle), std::make_move_iterator(m_waiting.end()));
        m_waiting.erase(middle, m_waiting.end());
        for (pending_hop &hop : m_running)
            hop.cancelled = hop.cancelled || matches(hop);
        found = dropKv({ request, attempt });
    }
    for (const pending_hop &hop : removed)
        hop.done({ refusal::Cancelled, {}, std::nullopt });
    return found || !removed.empty();
}

std::string engine_model::stateName() const
{
    if (m_leaving)
        return "leaving";
    return m_pendingLoads.empty() ? "serving" : "loading";
}

nlohmann::json engine_model::report(time_point now, unix_millis wall)
{
    const std::lock_guard lock(m_mutex);
    if (!m_report.is_null() && now - m_reportedAt < m_options.reportLag)
        return m_report;
    nlohmann::json layers = nlohmann::json::array();
    for (const model_load &load : m_options.loads) {
        layers.push_back({ { "model", load.model },
                           { "version", load.version },
                           { "begin", load.range.begin },
                           { "end", load.range.end },
                           { "adapters", load.adapters } });
    }
    m_reportedAt = now;
    m_report = { { "incarnation", m_options.incarnation },
                 { "state", stateName() },
                 { "role", m_role },
                 { "running", m_running.size() },
                 { "waiting", m_waiting.size() },
                 { "sequences", m_kv.size() },
                 { "step_ms", static_cast<double>(m_lastBatchTime.count()) / 1000.0 },
                 { "layers", layers },
                 { "time_ms", wall.count() } };
    return m_report;
}

nlohmann::json engine_model::cacheEvents(std::int64_t from, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json events = m_prefixCache.eventsFrom(from, now);
    events["incarnation"] = m_options.incarnation;
    return events;
}

order_answer engine_model::order(const engine_order &order)
{
    const std::lock_guard lock(m_mutex);
    if (m_options.checksFencing && order.fencing < m_highestFencing)
        return { false, m_highestFencing };
    m_highestFencing = std::max(m_highestFencing, order.fencing);
    auto &loads = m_options.loads;
    loads.erase(
            std::remove_if(loads.begin(), loads.end(),
                           [&](const model_load &load) { return !holdsLoad(order.loads, load); }),
            loads.end());
    m_pendingLoads.clear();
    for (const model_load &load : order.loads) {
        if (!holdsLoad(loads, load))
            m_pendingLoads.push_back(load);
    }
    if (!order.role.empty())
        m_role = order.role;
    return { true, m_highestFencing };
}

std::vector<model_load> engine_model::pendingLoads() const
{
    const std::lock_guard lock(m_mutex);
    return m_pendingLoads;
}

void engine_model::finishLoad(const model_load &load)
{
    const std::lock_guard lock(m_mutex);
    const auto pending = std::find_if(m_pendingLoads.begin(), m_pendingLoads.end(),
                                      [&](const model_load &item) { return sameLoad(item, load); });
    if (pending == m_pendingLoads.end())
        return; // a later order no longer wants it
    m_pendingLoads.erase(pending);
    m_options.loads.push_back(load);
}

nlohmann::json engine_model::exportKv(const std::string &request, int attempt) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_kv.find({ request, attempt });
    if (found == m_kv.end())
        return nullptr;
    const kv_entry &entry = found->second;
    nlohmann::json states = nlohmann::json::array();
    for (const auto &[layer, state] : entry.states)
        states.push_back({ { "layer", layer }, { "state", state } });
    return { { "request", request },
             { "attempt", attempt },
             { "model", entry.model.name },
             { "version", entry.model.version },
             { "adapter", entry.model.adapter },
             { "positions", entry.positions },
             { "generated", entry.generated },
             { "states", states } };
}

bool engine_model::importKv(const nlohmann::json &kv, time_point now)
{
    try {
        stage_call call;
        call.request = kv.at("request").get<std::string>();
        call.attempt = kv.at("attempt").get<int>();
        call.model = kv.at("model").get<std::string>();
        call.version = kv.at("version").get<std::string>();
        call.adapter = kv.at("adapter").get<std::string>();
        const nlohmann::json &states = kv.at("states");
        if (states.empty())
            return false;
        call.layers = { states.front().at("layer").get<int>(),
                        states.back().at("layer").get<int>() + 1 };
        const std::lock_guard lock(m_mutex);
        if (loadFor(call) == nullptr)
            return false;
        kv_entry &entry = entryFor(call, now);
        for (const auto &item : states)
            entry.states[item.at("layer").get<int>()] = item.at("state").get<std::uint64_t>();
        m_heldPositions -= entry.positions;
        entry.positions = kv.at("positions").get<int>();
        m_heldPositions += entry.positions;
        entry.generated = kv.at("generated").get<int>();
        return true;
    } catch (const nlohmann::json::exception &) {
        return false;
    }
}

void engine_model::leave()
{
    const std::lock_guard lock(m_mutex);
    m_leaving = true;
}

void engine_model::setSlowdown(double factor)
{
    const std::lock_guard lock(m_mutex);
    m_slowdown = factor;
}

} // namespace fescuedeck::standins
