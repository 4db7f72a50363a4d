// What the gateway needs of a platform's wire formats, as hooks. The adapter of a platform fills
// them; they translate and decide nothing.
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

namespace fescuedeck {

// What the gateway reads from a caller's request.
struct call_info
{
    std::string id; // of this attempt of the caller; empty if it has none
    std::string host;
    std::string path;                        // without the query
    std::string key;                         // empty if there is none
    std::optional<duration> timeLimit;       // how long the caller waits
    std::optional<std::int64_t> resumeAfter; // last event that the caller has
    std::int64_t promptTokens = 0;
    std::int64_t maxAnswerTokens = 0;
};

// What the gateway adds to a request that it passes on.
struct forward_options
{
    std::string endpoint;  // id of the first endpoint
    std::string workspace; // empty if the request needs no key
    duration timeLimit{};
    std::vector<chain_part> chain;           // empty for a plain service
    std::optional<std::int64_t> resumeAfter; // set if a stream goes on
};

// What the head of an endpoint's answer says.
struct response_info
{
    std::string id;                   // of the request that it answers; empty if it says none
    bool isSealed = false;            // the endpoint vouches for it
    bool didNotRun = false;           // the endpoint states that it has not run the request
    bool statusImpliesNotRun = false; // its status alone says so to callers
    bool isMisdirected = false;       // another endpoint has the address, or a range is not there
    bool isEncoded = false;           // body is not in the form that was asked for
    std::string faultAddress;         // engine that could not do its part
};

// Why the gateway answers itself.
enum class refusal_reason {
    NoConfig,    // no configuration is known yet
    Stopping,    // this gateway ends, and others serve
    NoRoute,     // host or path is in no route
    NoKey,       // key is missing or belongs to nobody
    NoEndpoint,  // nothing can serve the request now
    Busy,        // endpoints are full, and the request has not run
    TimedOut,    // the time is over, and the request may have run
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

// Tables of the shared store.
enum class store_table {
    Configuration, // written by the operator
    Endpoints,     // written by the endpoints
    Peers,         // addresses of the gateways
    Quarantine,    // requests that crash endpoints
};

struct store_record
{
    std::string key;
    std::string value;
    std::int64_t offset = 0;
    bool isRemoval = false;
};

struct store_write
{
    store_table table = store_table::Peers;
    std::string key; // at most 255 bytes
    std::string value;
    bool onlyIfEmpty = false; // refused unless the table has never had a record
};

struct store_page
{
    std::vector<store_record> records;
    std::int64_t next = 0; // offset to read from after this page
    bool hasMissingRecords
            = false; // records before next are lost to this reader, who must read it whole
};

// A share of the work that one gateway at a time does.
struct lease_grant
{
    bool isHolder = false;
    std::int64_t fencingToken = 0; // grows with each change of the holder
};

struct store_hooks
{
    // The newest record of each key.
    std::function<result<store_page>(store_table, duration timeout, boost::asio::yield_context)>
            readNewest;
    // Records from an offset on; the store holds an empty answer back for up to wait.
    std::function<result<store_page>(store_table, std::int64_t from, duration wait,
                                     duration timeout, const call_cancellation &,
                                     boost::asio::yield_context)>
            readFrom;
    // Replaces the value of a key. Without an error the store has it; with one it may have it.
    std::function<std::optional<failure>(const store_write &, duration timeout,
                                         boost::asio::yield_context)>
            write;
    // Joins those who can hold the duty or stays among them, for the term.
    std::function<result<lease_grant>(const std::string &member, duration leaseDuration,
                                      duration timeout, boost::asio::yield_context)>
            joinLease;
    std::function<std::optional<failure>(const std::string &member, duration timeout,
                                         boost::asio::yield_context)>
            leaveLease;
};

struct platform_adapter
{
    store_hooks store;
    std::string configKey; // of the operator's configuration in its table
    std::string readinessTarget;

    std::function<result<gateway_config>(const std::string &value)> parseConfig;
    std::function<result<endpoint_entry>(const store_record &)> parseEntry;

    std::function<call_info(const http_request &)> readCall;
    std::function<http_request(const http_request &, const forward_options &)> forwardRequest;
    std::function<response_info(const http_response &)> readResponse;
    // Drops the headers that concern only the connection to the endpoint.
    std::function<http_response(const http_response &)> forwardResponse;
    std::function<http_response(refusal_reason, duration retryAfter)> refuse;

    std::function<http_request(const placement_order &, std::int64_t fencingToken)> encodeOrder;
    std::function<order_outcome(const http_response &)> decodeOrderResponse;
    std::function<http_request()> encodeReportRequest;
    std::function<result<engine_report>(const http_response &)> decodeReport;
};

} // namespace fescuedeck

#endif
