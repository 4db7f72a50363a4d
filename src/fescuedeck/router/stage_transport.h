// Runs one hop of a draft on an engine over HTTP, and converts between the types of draft_stream
// and the engine protocol. A hop is one call that runs the layers of one stage of the route.
//
// The router passes the activations from each stage to the next one, so that it can check each hop.
// A transport in which the engines send activations to each other would replace this file.
#ifndef FESCUEDECK_ROUTER_STAGE_TRANSPORT_H
#define FESCUEDECK_ROUTER_STAGE_TRANSPORT_H

#include <optional>
#include <string>
#include <variant>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/net/http_client.h"
#include "fescuedeck/stream/draft_stream.h"

namespace fescuedeck {

// The parameters of a hop that draft_stream does not know.
struct hop_context
{
    std::string address; // of the engine, ip:port
    std::string workspace;
    int priority = 0; // higher runs first
    std::string traceparent;
    duration timeout{};
    std::optional<call_cancellation> cancellation;
};

struct hop_error
{
    hop_failure kind = hop_failure::NotSent;
    std::string reason; // from the engine's error response, or the error of the HTTP client
};

struct hop_result
{
    std::variant<hop_answer, hop_error> value;
    duration elapsed{}; // from sending the hop until its end
};

// Sends the hop and returns when it has been answered, has failed or has timed out.
hop_result runHop(http_client &client, const run_hop &hop, const hop_context &context,
                  boost::asio::yield_context yield);

// Asks the engine to drop the work and the KV cache of an attempt. Errors are ignored, because the
// call is best effort.
void cancelWork(http_client &client, const std::string &address, const cancel_work &work,
                duration timeout, boost::asio::yield_context yield);

namespace detail {

// Returns the JSON body of POST /v1/stage/run.
std::string encodeHop(const run_hop &hop, const hop_context &context);
// Parses the body of a response from the endpoint. Fails with InvalidMessage if a field is missing
// or has the wrong type.
result<hop_answer> decodeHopAnswer(const std::string &body, const std::string &endpoint);

} // namespace detail
} // namespace fescuedeck

#endif
