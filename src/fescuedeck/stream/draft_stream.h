// State machine of one draft, which is one text that a model produces for a caller.
//
// A route is a list of stages. Each stage is an endpoint that runs a range of the model's layers,
// and together they cover all layers in order. Each token takes one hop, which is one call, to
// every stage of the route. The state machine sends the hops, checks each answer and delivers the
// tokens. After a failure it begins a new attempt on a new route, which continues after the last
// delivered token. At most one hop is in flight, because the input of each hop is the output of the
// previous one.
//
// There is one object for each draft. It has no sockets, threads or clocks: the owner passes events
// in and executes the returned actions in their order. Not thread-safe.
#ifndef FESCUEDECK_STREAM_DRAFT_STREAM_H
#define FESCUEDECK_STREAM_DRAFT_STREAM_H

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/layer_range.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/stream/coverage_check.h"

namespace fescuedeck {

// What is known about the execution of a draft.
enum class draft_outcome {
    Ran,    // the draft has finished
    NotRun, // no stage has started any of its hops
    Unknown // some hop may have run
};
// Returns "ran", "not-run" or "unknown", as in the Fescuedeck-Outcome header.
std::string_view toString(draft_outcome outcome);

enum class hop_failure {
    NotSent, // no byte was written, for example because the connection was refused
    Refused, // the endpoint rejected the hop before it started it (status 503)
    ConnectionClosed,
    TimedOut,      // no answer within the step timeout; see step_timeout.h
    ProbeFailed,   // the endpoint failed its health probe
    InvalidAnswer, // the answer was unusable and no other one can follow on its connection
};

// Why an answer was dropped. The kinds that name a field of hop_identity mean that the answer does
// not echo this field of the hop in flight.
enum class answer_mismatch {
    None,
    Request,
    Attempt,
    Position,
    Model,
    Version,
    Adapter,
    Layers,
    Duplicate,   // the hop has been answered already
    NotWaiting,  // no hop is in flight
    Endpoint,    // the answer came from an endpoint that the hop was not sent to
    Incarnation, // the endpoint has restarted during the attempt and has lost its KV cache
    Content,     // a wrong number of activations, a missing token or a token from an earlier stage
};
std::string_view toString(answer_mismatch mismatch);

// The fields that a hop's answer must echo.
struct hop_identity
{
    std::string request;
    int attempt = 0;
    // Index of the token to be produced in the sequence of the prompt and the produced tokens. It
    // equals the number of tokens in the stage's KV cache after this hop.
    int position = 0;
    std::string model, version, adapter;
    layer_range layers;

    friend bool operator==(const hop_identity &a, const hop_identity &b);
};

struct draft_token
{
    int id = 0;
    std::string text;
};

struct hop_answer
{
    hop_identity identity;
    std::string endpoint; // endpoint at the other end of the connection
    std::string incarnation;
    std::vector<std::string> activations; // one for each input token; empty from the last stage
    std::optional<draft_token> token;     // set by the last stage only
    bool finished = false;                // the text ends with this token
};

struct draft_stage
{
    std::string endpoint;
    layer_range layers;
};
// Stages in the order of their layers.
using draft_route = std::vector<draft_stage>;

struct draft_spec
{
    std::string request;
    std::string model, version, adapter;
    int layers = 0;
    std::vector<int> promptTokens; // not empty
    int maxTokens = 0;             // > 0
    time_point firstTokenDeadline = time_point::max();
    time_point deadline = time_point::max();
    int maxAttempts = 6;
    // Number of accepted hops that hopLog() keeps for checks; the oldest are dropped. The hops of
    // the token in progress are kept in any case, because they are checked before its delivery.
    std::size_t hopLogLimit = 0;
};

// The following structs are the actions that the owner executes.

// Send a hop to an endpoint.
struct run_hop
{
    std::string endpoint;
    hop_identity identity;
    std::vector<int> tokens;              // input of the first stage
    std::vector<std::string> activations; // input of the later stages

    int inputTokens() const { return static_cast<int>(tokens.size() + activations.size()); }
};
// Find a route without the excluded endpoints, and call routeFound, or noRoute if there is none.
// After noRoute, the draft requests a route once more without exclusions.
struct request_route
{
    int attempt = 0;
    std::set<std::string> excluded;
    int inputTokens = 0; // length of the prefill
    // The previous attempt may have crashed an endpoint; see crash_suspects.
    bool afterCrash = false;
};
struct deliver_token
{
    int position = 0; // as in hop_identity; equals the number of prompt tokens for the first token
    draft_token token;
};
// Tell the endpoint to stop the attempt's work and to free its KV cache. A failure is ignored.
struct cancel_work
{
    std::string endpoint;
    std::string request;
    int attempt = 0;
};
// Ignore the answer. Close its connection if the answer cannot belong to any hop that was sent on
// it. If the answer to the hop in flight can no longer arrive, call hopFailed with InvalidAnswer.
struct drop_answer
{
    std::string endpoint;
    answer_mismatch mismatch = answer_mismatch::None;
};
enum class finish_reason {
    Stop,  // the model ended the text
    Length // the text has maxTokens tokens
};
// The draft is complete. Its outcome is Ran.
struct finish_draft
{
    finish_reason reason = finish_reason::Stop;
};
// The draft has ended with an error.
struct fail_draft
{
    failure error;
    draft_outcome outcome = draft_outcome::Unknown;
};
using draft_action = std::variant<run_hop, request_route, deliver_token, cancel_work, drop_answer,
                                  finish_draft, fail_draft>;
using draft_actions = std::vector<draft_action>;

class draft_stream
{
public:
    explicit draft_stream(draft_spec spec);

    // Begins the first attempt. Later calls have no effect.
    draft_actions start(time_point now, const draft_route &route);
    // Accepts the answer to the hop in flight. Drops every other answer.
    draft_actions hopAnswered(time_point now, hop_answer answer);
    // Ends the attempt and excludes the hop's endpoint. Has no effect unless the hop is the one in
    // flight.
    draft_actions hopFailed(time_point now, const hop_identity &hop, hop_failure kind,
                            bool mayHaveCrashed);
    // The results of request_route. They have no effect unless the draft waits for a route.
    draft_actions routeFound(time_point now, const draft_route &route);
    draft_actions noRoute(time_point now);
    // Fails the draft. Call it at nextDeadline(); earlier calls have no effect.
    draft_actions deadlinePassed(time_point now);
    // Fails the draft because its caller has closed the connection.
    draft_actions callerLeft(time_point now);
    // Fails the draft with the given error, for example Quarantined, or Overloaded when the retry
    // budget is exhausted.
    draft_actions abandon(errc kind, const std::string &detail);

    // Returns the deadline of the first token until that token is delivered, unless the deadline of
    // the draft is earlier; afterwards returns the deadline of the draft.
    time_point nextDeadline() const;
    bool hasEnded() const { return m_state == state::Ended; }
    int attempt() const { return m_attempt; }
    const std::vector<draft_token> &deliveredTokens() const { return m_delivered; }
    const std::deque<accepted_hop> &hopLog() const { return m_hopLog; }
    // Returns the number of dropped answers by kind of mismatch.
    const std::map<answer_mismatch, int> &droppedAnswers() const { return m_dropped; }

private:
    enum class state { Idle, WaitingForAnswer, WaitingForRoute, Ended };

    // Returns the position of the token in progress.
    int nextPosition() const;
    // Returns the input of an attempt's first hop: the prompt and the delivered tokens.
    std::vector<int> prefillTokens() const;
    hop_identity identityOf(const draft_stage &stage) const;
    answer_mismatch identityMismatch(const hop_identity &identity) const;
    answer_mismatch mismatchOf(const hop_answer &answer) const;
    // True if the answer has the activations or the token that its stage has to return.
    bool hasContent(const hop_answer &answer) const;
    bool isLastStage() const { return m_stage + 1 == m_route.size(); }

    void beginAttempt(time_point now, const draft_route &route, draft_actions &actions);
    void runStage(time_point now, std::vector<int> tokens, std::vector<std::string> activations,
                  draft_actions &actions);
    void recordHop(const hop_answer &answer);
    void acceptToken(time_point now, const hop_answer &answer, draft_actions &actions);
    void endAttempt(time_point now, bool mayHaveCrashed, draft_actions &actions);
    void cancelStages(draft_actions &actions) const;
    void finish(finish_reason reason, draft_actions &actions);
    void fail(errc kind, const std::string &detail, draft_actions &actions);

    draft_spec m_spec;
    state m_state = state::Idle;
    int m_attempt = 1;
    draft_route m_route;
    std::size_t m_stage = 0; // index in m_route of the hop in flight
    int m_inputTokens = 0;   // number of input tokens of the hop in flight
    // Number of stages, from the first of m_route on, that may have work of this attempt.
    std::size_t m_stagesWithWork = 0;
    std::map<std::string, std::string> m_incarnations; // by endpoint, in this attempt
    std::vector<accepted_hop> m_positionHops;          // accepted hops of the token in progress
    std::vector<draft_token> m_delivered;
    std::set<std::string> m_excluded;
    bool m_afterCrash = false;
    int m_hopsThatMayHaveRun = 0;
    std::deque<accepted_hop> m_hopLog;
    std::map<answer_mismatch, int> m_dropped;
};

} // namespace fescuedeck

#endif
