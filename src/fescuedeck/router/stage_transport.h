// Runs one hop on an engine over HTTP and translates between the draft's types and the engine
// protocol.
//
// The router carries activations between the stages, so that it can check each hop. A transport in
// which engines forward activations among themselves would replace this file.
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
    std::string reason; // as the engine states it, or the transport's error
};

struct hop_result
{
    std::variant<hop_answer, hop_error> value;
    duration elapsed{};
};

// Waits until the hop is answered, fails or times out.
hop_result runHop(http_client &client, const run_hop &hop, const hop_context &context,
                  boost::asio::yield_context yield);

// Asks the engine to drop the attempt's work and KV cache. The answer does not matter.
void cancelWork(http_client &client, const std::string &address, const cancel_work &work,
                duration timeout, boost::asio::yield_context yield);

namespace detail {

std::string encodeHop(const run_hop &hop, const hop_context &context);
// The error is InvalidMessage if a field is missing or has the wrong type.
result<hop_answer> decodeHopAnswer(const std::string &body, const std::string &endpoint);

} // namespace detail
} // namespace fescuedeck

#endif
