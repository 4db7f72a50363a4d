// The operator's configuration as the gateway uses it, and the look-ups that each request needs.
#ifndef FESCUEDECK_GATEWAY_GATEWAY_CONFIG_H
#define FESCUEDECK_GATEWAY_GATEWAY_CONFIG_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"

namespace fescuedeck {

enum class call_kind {
    Safe,   // may run more than once
    Unsafe, // runs at most once for each attempt of the caller
    Stream, // answered by events; may be repeated only if it can be resumed
};

constexpr name_table<call_kind, 3> callKindNames = { {
        { call_kind::Safe, "safe" },
        { call_kind::Unsafe, "unsafe" },
        { call_kind::Stream, "stream" },
} };

// One service of a route that is split between several.
struct route_share
{
    std::string service;
    double weight = 0;
};

struct route_rule
{
    std::string name;
    std::string host;
    std::string pathPrefix; // begins and ends with a slash
    call_kind kind = call_kind::Unsafe;
    std::vector<route_share> shares; // at least one
    duration timeout{};              // longest time until the answer ends
    duration latencyObjective{};     // answers within this time have their full worth
    duration gapObjective{};         // the same for the pauses of a stream; zero if there is none
    int priority = 0;                // 0 is first
    int maxAttempts = 1;             // endpoints that may run one request
    bool isPublic = false;           // needs no key
    bool isResumable = false;        // a stream that may go on at another endpoint
};

// What one kind of accelerator has and how its speed differs from the engine's base figures.
struct accelerator_kind
{
    std::string name;
    double memoryMb = 0;
    double stepFactor = 1;    // multiplies the time of a step
    double prefillFactor = 1; // multiplies the time of reading the prompt
};

// How the engines of a service behave. Times are those of all layers on an accelerator of factor 1.
struct engine_spec
{
    int layers = 0;
    double layerMb = 0;
    double cacheBytesPerToken = 0; // of the KV cache, for all layers
    double stepMs = 0;
    double prefillTokensPerSecond = 0;
    int usualPromptTokens = 0;
    int usualAnswerTokens = 0;
    int concurrentLoads = 1; // more loads at once slow each other down
    double loadSecondsAllLayers = 0;
    int slots = 1; // requests that one engine accepts as the first of a chain
    std::vector<accelerator_kind> kinds;

    const accelerator_kind *findKind(const std::string &name) const;
};

struct service_rule
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0;            // of one endpoint, from all gateways together
    std::optional<engine_spec> engine; // set if the endpoints hold layers of a model
};

struct workspace_rule
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; // goes before the route's
};

struct caller_limits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    duration headerTimeout = std::chrono::seconds(10);
    duration idleTimeout = std::chrono::seconds(75);
};

struct gateway_config
{
    std::int64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<service_rule> services;
    std::vector<workspace_rule> workspaces; // empty: no request needs a key
    caller_limits limits;
};

// Immutable look-up tables over a configuration. Thread-safe.
class config_index
{
public:
    explicit config_index(gateway_config config);

    const gateway_config &config() const { return m_config; }
    // The route of the host whose prefix is the longest that begins the path; null if there is
    // none. The host may carry a port, which is ignored.
    const route_rule *findRoute(std::string_view host, std::string_view path) const;
    // The workspace that holds the key; null if there is none.
    const workspace_rule *findWorkspace(const std::string &key) const;
    const service_rule *findService(const std::string &name) const;

private:
    gateway_config m_config;
    // By host; routes with longer prefixes first.
    std::unordered_map<std::string, std::vector<const route_rule *>> m_routes;
    std::unordered_map<std::string, const workspace_rule *> m_workspaces; // by key
    std::unordered_map<std::string, const service_rule *> m_services;
};

// Draws one service of the route by weight.
const std::string &drawService(const route_rule &route, const random_fn &random);

} // namespace fescuedeck

#endif
