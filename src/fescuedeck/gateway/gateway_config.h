// The operator's configuration of routes, services and workspaces, and an index that finds the
// parts of it that a request needs.
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
    Safe,   // a request may run more than once
    Unsafe, // a request runs at most once for each time that the caller sends it
    Stream, // the response is a stream of events; a request is repeated only if it is resumable
};

constexpr name_table<call_kind, 3> callKindNames = { {
        { call_kind::Safe, "safe" },
        { call_kind::Unsafe, "unsafe" },
        { call_kind::Stream, "stream" },
} };

// One of the services that a route distributes its requests over, with its weight.
struct route_share
{
    std::string service;
    double weight = 0;
};

// How requests for one host and path prefix are handled.
struct route_rule
{
    std::string name;
    std::string host;
    std::string pathPrefix; // begins and ends with a slash; paths that start with it match
    call_kind kind = call_kind::Unsafe;
    std::vector<route_share> shares; // at least one
    duration timeout{};              // longest time until the response ends
    duration latencyObjective{};     // target latency; a faster response has no more value
    duration gapObjective{};         // target gap between events of a stream; zero if none
    int priority = 0;                // 0 is the highest
    int maxAttempts = 1;             // limit of attempts that may run one request
    bool isPublic = false;           // requests need no API key
    bool isResumable = false;        // another endpoint may continue a stream after an event
};

// The memory of one kind of accelerator, and its speed relative to the base values in engine_spec.
struct accelerator_kind
{
    std::string name;
    double memoryMb = 0;
    double stepFactor = 1;    // multiplies engine_spec::stepMs
    double prefillFactor = 1; // multiplies the time of prefill
};

// The resource needs and speed of the engines of a service. Times are for all layers of the model
// on an accelerator whose factors are 1.
struct engine_spec
{
    int layers = 0;
    double layerMb = 0;
    double cacheBytesPerToken = 0; // in the KV cache, for all layers
    double stepMs = 0;
    double prefillTokensPerSecond = 0;
    int usualPromptTokens = 0;
    int usualAnswerTokens = 0;
    int concurrentLoads = 1; // more loads at the same time slow each other down
    double loadSecondsAllLayers = 0;
    int slots = 1; // requests that an engine accepts as the first of a chain
    std::vector<accelerator_kind> kinds;

    // Returns null if there is no kind of this name.
    const accelerator_kind *findKind(const std::string &name) const;
};

struct service_rule
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0;            // to one endpoint, from all gateways together
    std::optional<engine_spec> engine; // set if the endpoints are engines that hold model layers
};

struct workspace_rule
{
    std::string name;
    std::vector<std::string> keys; // API keys that identify the workspace
    std::optional<int> priority;   // overrides the priority of the route
};

// Limits on callers' connections.
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
    std::vector<workspace_rule> workspaces; // if empty, no request needs a key
    caller_limits limits;
};

// Immutable index over a configuration. Thread-safe.
class config_index
{
public:
    explicit config_index(gateway_config config);

    const gateway_config &config() const { return m_config; }
    // Returns the route of the host with the longest prefix that matches the path, or null if there
    // is none. A port in the host is ignored, and so is the case of letters in the host.
    const route_rule *findRoute(std::string_view host, std::string_view path) const;
    // Returns the workspace that the API key belongs to, or null if there is none.
    const workspace_rule *findWorkspace(const std::string &key) const;
    // Returns null if there is no service of this name.
    const service_rule *findService(const std::string &name) const;
    // Whether requests of different urgency are possible. See rankOf().
    bool hasDifferentRanks() const { return m_hasDifferentRanks; }

private:
    gateway_config m_config;
    // Routes by host in lower case, those with longer prefixes first.
    std::unordered_map<std::string, std::vector<const route_rule *>> m_routes;
    std::unordered_map<std::string, const workspace_rule *> m_workspaces; // by key
    std::unordered_map<std::string, const service_rule *> m_services;
    bool m_hasDifferentRanks = false;
};

// Whether a request of the route may run more than once.
inline bool isRepeatable(const route_rule &route)
{
    return route.kind == call_kind::Safe || (route.kind == call_kind::Stream && route.isResumable);
}

// Returns the urgency of a request, 0 (first) to 9: the priority of the workspace, otherwise that
// of the route. workspace is null if the request needs no key.
int rankOf(const route_rule &route, const workspace_rule *workspace);

// Selects one service of the route at random, with probabilities in proportion to the weights.
const std::string &drawService(const route_rule &route, const random_fn &random);

} // namespace fescuedeck

#endif
