// Runs one draft, which is the generation of one completion: executes the actions of its
// draft_stream by calling the engines.
#ifndef FESCUEDECK_ROUTER_DRAFT_RUNNER_H
#define FESCUEDECK_ROUTER_DRAFT_RUNNER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/router/router_context.h"
#include "fescuedeck/stream/draft_stream.h"

namespace fescuedeck {

// The input of one draft.
struct draft_job
{
    draft_spec spec;
    std::shared_ptr<const bundle_index> index; // the bundle in force at the start
    std::string workspace;
    std::string fingerprint; // hash of the request's content, see crash_suspects
    trace_context trace;     // span of the caller's request
    int predictedTokens = 1; // expected length of the output
};

// Connects a draft to its caller. The functions are called on the draft's coroutine.
struct draft_sink
{
    // Sends a token. Returns false if the caller has disconnected.
    std::function<bool(const draft_token &)> deliver;
    // Returns true if the caller has disconnected.
    std::function<bool()> callerLeft;
};

// Describes how a draft ended.
struct draft_end
{
    draft_outcome outcome = draft_outcome::Unknown;
    std::optional<failure> error; // empty if the draft finished
    finish_reason reason = finish_reason::Stop;
    int deliveredTokens = 0;
    int attempts = 0; // including the first
};

// Runs the draft on the coroutine of yield and returns when it has ended. Several drafts may run at
// the same time on different threads.
draft_end runDraft(router_context &context, const draft_job &job, const draft_sink &sink,
                   boost::asio::yield_context yield);

} // namespace fescuedeck

#endif
