// Hooks through which the gateway uses a platform: its store and its wire formats. The adapter of a
// platform sets them. The hooks only translate; all decisions are made by the gateway.
#ifndef FESCUEDECK_GATEWAY_PLATFORM_ADAPTER_H
#define FESCUEDECK_GATEWAY_PLATFORM_ADAPTER_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/name_table.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/chain_finder.h"
#include "fescuedeck/gateway/endpoint_registry.h"
#include "fescuedeck/gateway/gateway_config.h"
#include "fescuedeck/gateway/placement_controller.h"
#include "fescuedeck/net/http_client.h"
#include "fescuedeck/net/http_message.h"
#include "fescuedeck/rerouting/path_change.h"

namespace fescuedeck {

// The parts of a caller's request that the gateway uses.
struct call_info
{
    std::string id; // of this attempt of the caller; empty if the caller gives none
    std::string host;
    std::string path;                        // without the query
    std::string key;                         // API key; empty if there is none
    std::optional<duration> timeLimit;       // how long the caller waits for the response
    std::optional<std::int64_t> resumeAfter; // id of the last event that the caller has
    std::int64_t promptTokens = 0;
    std::int64_t maxAnswerTokens = 0;
    std::optional<double> lengthHint; // the caller's estimate of the answer tokens, not negative
    // Ids of the segments of the prompt, in their order. Requests share segments, except for the
    // last one, which belongs to the request or its session. Empty if the caller names none.
    std::vector<std::string> promptSegments;
};

// What the gateway adds to a request that it forwards.
struct forward_options
{
    std::string endpoint;  // id of the endpoint that the request is sent to
    std::string workspace; // empty if the request needs no key
    duration timeLimit{};  // remaining time that the endpoint may use
    // The engines that run the request and their layers; empty if the service has no engines.
    std::vector<chain_part> chain;
    // Id of the last event that the caller has; set if the attempt continues a stream.
    std::optional<std::int64_t> resumeAfter;
    // Urgency, 0 (first) to 9, for an engine; empty if the configuration has no different ranks.
    std::optional<int> priority;
};

// What the gateway changes in a request that it relays to another gateway.
struct relay_options
{
    duration timeLimit{}; // remaining time that the other gateway may use
    // Id of the last event that the caller has; set if the attempt continues a stream.
    std::optional<std::int64_t> resumeAfter;
};

// What the head of an endpoint's response states.
struct response_info
{
    std::string id;               // id of the request that it responds to; empty if it names none
    bool isSealed = false;        // carries a seal, by which the endpoint confirms it
    bool didNotRun = false;       // the endpoint states that it has not run the request
    bool isContradictory = false; // states that it has not run the request, with a success
    bool statusImpliesNotRun = false; // callers conclude from the status that it has not run
    bool isMisdirected = false; // another endpoint has the address, or a layer range is not there
    bool isEncoded = false;     // the body has a content encoding, which was not requested
    std::string faultAddress;   // address of the engine that could not run its layers
    // Requests per second that the endpoint accepts from all gateways together until a response
    // states otherwise; empty if it states no limit.
    std::optional<double> requestLimit;
    bool isLeaving = false; // the endpoint states that it is shutting down
};

// Why the gateway refuses a request instead of passing on a response.
enum class refusal_reason {
    NoConfig,    // no configuration is known yet
    Stopping,    // this gateway is shutting down
    NoRoute,     // no route matches the host and path
    NoKey,       // the API key is missing or belongs to no workspace
    NoEndpoint,  // no endpoint can serve the request now
    Busy,        // all endpoints are full, and the request has not run
    TimedOut,    // the deadline has passed, and the request may have run
    Failed,      // an endpoint failed, and the request may have run
    Quarantined, // the request has crashed endpoints
};

constexpr name_table<refusal_reason, 9> refusalReasonNames = { {
        { refusal_reason::NoConfig, "no_config" },
        { refusal_reason::Stopping, "stopping" },
        { refusal_reason::NoRoute, "no_route" },
        { refusal_reason::NoKey, "no_key" },
        { refusal_reason::NoEndpoint, "no_endpoint" },
        { refusal_reason::Busy, "busy" },
        { refusal_reason::TimedOut, "timed_out" },
        { refusal_reason::Failed, "failed" },
        { refusal_reason::Quarantined, "quarantined" },
} };

// The tables of the shared store.
enum class store_table {
    Configuration, // written by the operator
    Endpoints,     // written by the endpoints
    Peers,         // written by the gateways: their addresses
    Quarantine,    // written by the gateways: requests that crash endpoints
};

// One record of a table. A later record of a key replaces the earlier ones.
struct store_record
{
    std::string key;
    std::string value;
    std::int64_t offset = 0; // position in the table's log
    bool isRemoval = false;
};

struct store_write
{
    store_table table = store_table::Peers;
    std::string key; // at most 255 bytes
    std::string value;
    bool onlyIfEmpty = false; // the store refuses the write if the table has ever had a record
};

// The result of one read.
struct store_page
{
    std::vector<store_record> records;
    // Offset to read from after this page. After a read of the newest records, some of these may
    // have this offset or a later one, and are then read again.
    std::int64_t next = 0;
    // Increases whenever the store has been restored from an older copy, in which case it gives out
    // offsets again.
    std::int64_t epoch = 0;
    // True if the store has dropped records before next, so that the reader must read the whole
    // table.
    bool hasMissingRecords = false;
};

// The store's reply to a gateway that asks for the placement lease.
struct lease_grant
{
    bool isHolder = false;
    std::int64_t fencingToken = 0; // increases with each change of the holder
};

// Calls to the store. They suspend the calling coroutine, and timeout limits each call.
struct store_hooks
{
    // Reads the newest record of each key of a table.
    std::function<result<store_page>(store_table, duration timeout, boost::asio::yield_context)>
            readNewest;
    // Reads the records from an offset on. If there are none, the store waits up to wait for one
    // before it responds. The timeout includes this wait.
    std::function<result<store_page>(store_table, std::int64_t from, duration wait,
                                     duration timeout, const call_cancellation &,
                                     boost::asio::yield_context)>
            readFrom;
    // Replaces the value of a key. Without an error the store has the new value; after an error it
    // may or may not have it.
    std::function<std::optional<failure>(const store_write &, duration timeout,
                                         boost::asio::yield_context)>
            write;
    // Makes the member a candidate for the placement lease, or renews that, for the lease duration.
    // The result says whether the member is the holder.
    std::function<result<lease_grant>(const std::string &member, duration leaseDuration,
                                      duration timeout, boost::asio::yield_context)>
            joinLease;
    // Ends the member's candidacy and with it the lease. Without an error the store has done so.
    std::function<std::optional<failure>(const std::string &member, duration timeout,
                                         boost::asio::yield_context)>
            leaveLease;
};

// All hooks of one platform.
struct platform_adapter
{
    store_hooks store;
    std::string configKey;       // key of the operator's configuration in its table
    std::string readinessTarget; // path of the balancer's readiness check

    // Returns the version that a configuration states, without decoding the rest, or nothing if the
    // text states none that can be read.
    std::function<std::optional<std::int64_t>(const std::string &text)> readConfigVersion;
    std::function<result<gateway_config>(const std::string &text)> parseConfig;
    std::function<result<endpoint_entry>(const store_record &)> parseEntry;

    std::function<call_info(const http_request &)> readCall;
    std::function<http_request(const http_request &, const forward_options &)> forwardRequest;
    // Returns the caller's request, with its API key, as another gateway reads it.
    std::function<http_request(const http_request &, const relay_options &)> relayRequest;
    std::function<response_info(const http_response &)> readResponse;
    // Removes the headers that apply only to the connection to the endpoint.
    std::function<http_response(const http_response &)> forwardResponse;
    // Makes the response to a caller whose request the gateway refuses.
    std::function<http_response(refusal_reason, duration retryAfter)> refuse;

    std::function<http_request(const placement_order &, std::int64_t fencingToken)> encodeOrder;
    std::function<order_outcome(const http_response &)> decodeOrderResponse;
    std::function<http_request()> encodeReportRequest;
    std::function<result<engine_report>(const http_response &)> decodeReport;
    // An order to the first engine of the path of a running request. Without these hooks, paths of
    // running requests never change.
    std::function<http_request(const std::string &requestId, const std::vector<chain_part> &path)>
            encodePathChange;
    std::function<path_change_answer(const http_response &)> decodePathChangeResponse;
};

} // namespace fescuedeck

#endif
