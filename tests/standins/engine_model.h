// State and behaviour of a stand-in model engine, without transport, threads or clocks.
//
// Use it behind standin_engine's HTTP server and in simulations on virtual time: submit() queues a
// hop, advance() ends the batch that is due and starts the next. A batch takes
// fixed + perMember * members + perToken * tokens, where a token counts by the share of the held
// layers that its hop runs and tokens in the prefix cache are free. Thread-safe; callbacks run
// without the lock held.
#ifndef FESCUEDECK_STANDINS_ENGINE_MODEL_H
#define FESCUEDECK_STANDINS_ENGINE_MODEL_H

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/layer_range.h"
#include "fescuedeck/base/time.h"
#include "standins/prefix_cache.h"
#include "standins/toy_model.h"

namespace fescuedeck::standins {

// One layer range of one model version.
struct model_load
{
    std::string model;
    std::string version;
    int layers = 0; // of the whole model
    layer_range range;
    std::vector<std::string> adapters;
};

struct service_curve
{
    duration fixed{ 0 };
    duration perToken{ 0 };
    duration perMember{ 0 };
};

struct engine_options
{
    std::string incarnation;
    std::vector<model_load> loads;
    service_curve curve;
    int maxBatch = 16;
    int maxWaiting = 1024;
    int kvTokens = 4'000'000; // least recently used idle entries are evicted above this
    bool checksFencing = true;
    duration reportLag{ 0 };
    prefix_cache_options prefixCache;
};

struct stage_call
{
    std::string request;
    int attempt = 0;
    int position = 0; // tokens that the stage holds after this hop
    std::string model;
    std::string version;
    std::string adapter;
    layer_range layers;
    std::string workspace;
    int priority = 0;                     // higher runs first
    std::vector<int> tokens;              // first stage
    std::vector<std::string> activations; // later stages
};

enum class refusal { None, Leaving, Overloaded, NoKv, WrongLayers, Cancelled, InvalidInput };
// Name in the "error" field, for example "no_kv".
std::string refusalName(refusal reason);

struct stage_answer
{
    refusal refused = refusal::None;
    std::vector<std::string> activations;
    std::optional<next_token> token; // when the range ends with the last layer
};
using answer_fn = std::function<void(const stage_answer &)>;

struct engine_order
{
    std::int64_t fencing = 0;
    std::vector<model_load> loads;
    std::string role; // "serving", or "standby" to refuse new requests
};

struct order_answer
{
    bool accepted = false;
    std::int64_t highestFencing = 0;
};

class engine_model
{
public:
    explicit engine_model(engine_options options);

    // Calls done at once if the hop is refused, otherwise from advance() or cancel().
    void submit(const stage_call &call, time_point now, const answer_fn &done);
    // Returns when to call it again; empty while no batch runs.
    std::optional<time_point> advance(time_point now);
    // Drops the attempt's KV and its queued hops; false if there was neither.
    bool cancel(const std::string &request, int attempt);

    // {incarnation, state, running, waiting, step_ms, layers, sequences, role, time_ms}, renewed at
    // most once per reportLag.
    nlohmann::json report(time_point now, unix_millis wall);
    nlohmann::json cacheEvents(std::int64_t from, time_point now) const;

    order_answer order(const engine_order &order);
    // Loads that an order asked for and that finishLoad() has not confirmed.
    std::vector<model_load> pendingLoads() const;
    void finishLoad(const model_load &load);

    // {request, attempt, model, version, adapter, positions, generated, states}; null if absent.
    nlohmann::json exportKv(const std::string &request, int attempt) const;
    // Returns false if a field is missing or the engine does not hold the layers.
    bool importKv(const nlohmann::json &kv, time_point now);

    // Refuses new requests; those with KV go on.
    void leave();
    // Multiplies every later batch's time, as thermal throttling does.
    void setSlowdown(double factor);
    std::string incarnation() const { return m_options.incarnation; }

private:
    using attempt_key = std::pair<std::string, int>;

    struct kv_entry
    {
        model_identity model;
        std::map<int, std::uint64_t> states; // by layer
        int positions = 0;
        int generated = 0;
        int pendingHops = 0;
        time_point lastUsed;
    };
    struct pending_hop
    {
        stage_call call;
        std::vector<activation> inputs;
        answer_fn done;
        bool cancelled = false;
    };
    using deferred_calls = std::vector<std::function<void()>>;

    const model_load *loadFor(const stage_call &call) const;
    refusal check(const stage_call &call, const std::vector<activation> &inputs) const;
    kv_entry &entryFor(const stage_call &call, time_point now);
    void startBatch(time_point now);
    duration batchTime();
    int uncachedTokens(const pending_hop &hop);
    void endBatch(time_point now, deferred_calls *answers);
    stage_answer run(const pending_hop &hop, time_point now);
    void evictIdleKv();
    bool dropKv(const attempt_key &key);
    std::string stateName() const;

    mutable std::mutex m_mutex;
    engine_options m_options;
    prefix_cache m_prefixCache;
    std::map<attempt_key, kv_entry> m_kv;
    int m_heldPositions = 0;
    std::vector<pending_hop> m_waiting;
    std::vector<pending_hop> m_running;
    std::optional<time_point> m_batchEnds;
    duration m_lastBatchTime{ 0 };
    std::vector<model_load> m_pendingLoads;
    std::int64_t m_highestFencing = -1;
    std::string m_role = "serving";
    bool m_leaving = false;
    double m_slowdown = 1;
    nlohmann::json m_report;
    time_point m_reportedAt;
};

} // namespace fescuedeck::standins

#endif
