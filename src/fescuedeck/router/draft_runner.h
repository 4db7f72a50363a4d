// Runs one draft: carries out the actions of a draft_stream over the engines.
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

struct draft_job
{
    draft_spec spec;
    std::shared_ptr<const bundle_index> index; // the bundle that the draft started with
    std::string workspace;
    std::string fingerprint; // of the request's content, see crash_suspects
    trace_context trace;     // the request's root span
    int predictedTokens = 1;
};

// Called on the draft's coroutine.
struct draft_sink
{
    std::function<bool(const draft_token &)> deliver; // false: the caller has left
    std::function<bool()> callerLeft;
};

struct draft_end
{
    draft_outcome outcome = draft_outcome::Unknown;
    std::optional<failure> error; // empty if the draft finished
    finish_reason reason = finish_reason::Stop;
    int deliveredTokens = 0;
    int attempts = 0;
};

draft_end runDraft(router_context &context, const draft_job &job, const draft_sink &sink,
                   boost::asio::yield_context yield);

} // namespace fescuedeck

#endif
