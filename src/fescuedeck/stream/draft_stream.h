// State machine of one draft: sends hops along a route, checks each answer, delivers tokens, and
// resumes on a new route after a failure.
//
// Use one object for each draft. It has no sockets, threads or clocks: the caller passes events in
// and carries out the returned actions in order. Not thread-safe.
//
// At most one hop is in flight, because each hop's input is the previous hop's output.
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
enum class draft_outcome { Ran, NotRun, Unknown };
// "ran", "not-run" or "unknown", as in the Fescuedeck-Outcome header.
std::string_view toString(draft_outcome outcome);

enum class hop_failure {
    NotSent, // no byte was written, for example because the connection was refused
    Refused, // the endpoint rejected the hop before the start (503)
    ConnectionClosed,
    TimedOut,
    ProbeFailed,
    InvalidAnswer, // no answer to this hop can follow on its connection
};

// Why an answer was dropped.
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
    Endpoint,    // came from another endpoint than the one that the hop was sent to
    Incarnation, // the endpoint restarted within the attempt and has lost its KV cache
    Content, // wrong number of activations, or a token where none belongs, or none where one does
};
std::string_view toString(answer_mismatch mismatch);

// The fields that a hop's answer must echo.
struct hop_identity
{
    std::string request;
    int attempt = 0;
    // Index in the sequence (prompt, then produced tokens) of the token to be produced. It equals
    // the number of tokens that the stage holds after this hop.
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
    std::string endpoint; // owner of the connection that the answer came on
    std::string incarnation;
    std::vector<std::string> activations; // one for each input position; none from the last stage
    std::optional<draft_token> token;     // from the last stage only
    bool finished = false;                // the model ended the text with this token
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
    // Accepted hops kept for checks; the oldest are dropped. Hops of the current token are always
    // kept.
    std::size_t hopLogLimit = 0;
};

// Actions.
struct run_hop
{
    std::string endpoint;
    hop_identity identity;
    std::vector<int> tokens;              // first stage
    std::vector<std::string> activations; // later stages

    int inputTokens() const { return static_cast<int>(tokens.size() + activations.size()); }
};
// Answer with routeFound or noRoute. Routes without the excluded endpoints are required; where none
// exists, noRoute makes the draft ask again without exclusions.
struct request_route
{
    int attempt = 0;
    std::set<std::string> excluded;
    int inputTokens = 0; // length of the prefill
    bool afterCrash
            = false; // the previous attempt may have crashed an endpoint; see crash_suspects
};
struct deliver_token
{
    int position = 0; // as in hop_identity; the first one is the number of prompt tokens
    draft_token token;
};
// Release the attempt's work and KV cache on an endpoint. Best effort.
struct cancel_work
{
    std::string endpoint;
    std::string request;
    int attempt = 0;
};
// Close the connection if the answer cannot belong to any hop sent on it. Unless the transport can
// still receive the hop's own answer, report hopFailed with InvalidAnswer.
struct drop_answer
{
    std::string endpoint;
    answer_mismatch mismatch = answer_mismatch::None;
};
enum class finish_reason { Stop, Length };
struct finish_draft
{
    finish_reason reason = finish_reason::Stop; // outcome: ran
};
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

    draft_actions start(time_point now, const draft_route &route);
    draft_actions hopAnswered(time_point now, hop_answer answer);
    // Ignored unless the hop is the one in flight.
    draft_actions hopFailed(time_point now, const hop_identity &hop, hop_failure kind,
                            bool mayHaveCrashed);
    draft_actions routeFound(time_point now, const draft_route &route);
    draft_actions noRoute(time_point now);
    // Call at nextDeadline(); early calls have no effect.
    draft_actions deadlinePassed(time_point now);
    draft_actions callerLeft(time_point now);
    // Ends the draft for a reason outside of it, for example Quarantined or an exhausted retry
    // budget (Overloaded).
    draft_actions abandon(errc kind, const std::string &detail);

    time_point nextDeadline() const;
    bool hasEnded() const { return m_state == state::Ended; }
    int attempt() const { return m_attempt; }
    const std::vector<draft_token> &deliveredTokens() const { return m_delivered; }
    const std::deque<accepted_hop> &hopLog() const { return m_hopLog; }
    const std::map<answer_mismatch, int> &droppedAnswers() const { return m_dropped; }

private:
    enum class state { Idle, WaitingForAnswer, WaitingForRoute, Ended };

    int nextPosition() const;
    std::vector<int> prefillTokens() const;
    hop_identity identityOf(const draft_stage &stage) const;
    answer_mismatch identityMismatch(const hop_identity &identity) const;
    answer_mismatch mismatchOf(const hop_answer &answer) const;
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
    std::size_t m_stage = 0;          // index in m_route of the hop in flight
    int m_inputTokens = 0;            // of the hop in flight
    std::size_t m_stagesWithWork = 0; // stages of m_route that may hold work of this attempt
    std::map<std::string, std::string> m_incarnations; // by endpoint, in this attempt
    std::vector<accepted_hop> m_positionHops;          // hops of the token in progress
    std::vector<draft_token> m_delivered;
    std::set<std::string> m_excluded;
    bool m_afterCrash = false;
    int m_hopsThatMayHaveRun = 0;
    std::deque<accepted_hop> m_hopLog;
    std::map<answer_mismatch, int> m_dropped;
};

} // namespace fescuedeck

#endif
