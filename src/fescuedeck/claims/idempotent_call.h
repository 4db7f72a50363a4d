// State machine of one call, on one router, of an operation that is not idempotent (section 5.2 of
// the design page). An Idempotency-Key makes such a call safe to repeat: of all copies of a request
// with the same key, at most one runs.
//
// Use one object for each such request of a caller, with or without a key. It has no sockets,
// threads or clocks: the router passes events in and executes the returned actions in order. Keep
// the object after the caller is answered until hasEnded() is true, and keep the result of
// outcomeForPeer() as long as keys are kept. Not thread-safe.
//
// A call with a key takes these steps:
// 1. It appends a claim of the key to the log and reads the log up to that record.
// 2. If its claim is the winning one (see claim_table), it connects to the service, sends the
//    request, answers the caller and appends the answer to the log.
// 3. If another attempt has claimed the key, it answers with the stored answer of that attempt, or
//    asks the router of that attempt for it.
// 4. If it cannot send the request, it appends a release, so that a later copy can claim the key.
// A call without a key only connects, sends and answers.
//
// The outcome "not-run" means that neither this call nor any other copy with the same key that was
// accepted before the answer has run or will run.
#ifndef FESCUEDECK_CLAIMS_IDEMPOTENT_CALL_H
#define FESCUEDECK_CLAIMS_IDEMPOTENT_CALL_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/claims/claim_record.h"
#include "fescuedeck/claims/claim_table.h"

namespace fescuedeck {

enum class call_outcome { Ran, NotRun, Unknown };
// Returns "ran", "not-run" or "unknown", as in the Fescuedeck-Outcome header.
std::string_view toString(call_outcome outcome);

// The time on both clocks. Deadlines are checked on both, because the steady clock may stop while a
// virtual machine is suspended, and the wall clock may be set back.
struct call_time
{
    time_point steady;
    unix_millis wall{ 0 };
};

struct call_policy
{
    // Older keys are rejected. The value must be less than claim_table_settings::keepFor by more
    // than the longest call timeout plus the clock skew.
    unix_millis keyWindow = std::chrono::hours(19);
    // Keys created further in the future are rejected. Keys up to this limit are accepted, because
    // the caller's clock may be fast.
    unix_millis maxKeyClockLead = std::chrono::seconds(5);
    // Largest difference between the wall clocks of the routers and of the log.
    unix_millis clockSkew = std::chrono::seconds(1);
    // Must equal claim_table_settings::reclaimDelay.
    unix_millis reclaimDelay = std::chrono::seconds(5);
    // The Retry-After time that callers get. It must exceed reclaimDelay, so that the claim of the
    // retried call can win.
    unix_millis retryAfter = std::chrono::seconds(6);
    int maxConnectionAttempts = 3;
    int maxAppendAttempts = 60; // for one record
    duration appendRetryDelay = std::chrono::milliseconds(200);
};

struct call_spec
{
    std::string attempt; // unique ID that is never used again
    std::string router;  // ID of this router, including its incarnation
    std::string workspace;
    std::optional<std::string> key; // the caller's Idempotency-Key
    std::string fingerprint;        // hash of method, path and body
    // A lower bound of the time at which the caller sent the request: the last time before the
    // request was read at which the router is known to have been reading. After a process pause
    // this is the time before the pause, because the request may have waited since then.
    call_time accepted;
    call_time deadline; // accepted plus the timeout of the call
    call_policy policy;
};

enum class peer_call_status { InProgress, Completed, Unknown };
// What the router that claimed a key knows about its call.
struct peer_outcome
{
    peer_call_status status = peer_call_status::Unknown;
    std::optional<stored_answer> answer;
};

// The following structs are the actions that a call requests from its router.

// Append the record to the partition of the key after the delay, then call recordAppended or
// appendFailed.
struct append_record
{
    std::string id; // the same for all attempts to append this record
    std::string body;
    duration delay{ 0 };
};
// Read the partition beyond the offset, then call logRead.
struct read_log
{
    std::int64_t offset = 0;
};
// Open a new connection to a replica of the service, then call connectionReady or connectionFailed.
struct open_connection
{
    int number = 1; // counts from 1; use another replica for the second and later connections
};
// Send the request on that connection, then call responseReceived, responseLost or refused. From
// this action on, the request counts as sent, until responseLost or refused proves that it was not.
struct send_request
{
};
// Ask the router that claimed the key for the outcomeForPeer() of its call, then call
// outcomeFromPeer, also if the router cannot be reached.
struct ask_claimant
{
    std::string router;
    std::string key; // scoped key, see scopedKey
};
// Answer the caller with either the response or the error.
struct answer_caller
{
    int status = 0; // HTTP status code
    call_outcome outcome = call_outcome::Unknown;
    std::optional<stored_answer> response; // of the service
    std::optional<failure> error;
    std::optional<unix_millis> retryAfter; // set if the caller may retry the call after this time
};
using call_action = std::variant<append_record, read_log, open_connection, send_request,
                                 ask_claimant, answer_caller>;
using call_actions = std::vector<call_action>;

class idempotent_call
{
public:
    explicit idempotent_call(call_spec spec);

    // Starts the call. The table is that of the key's partition, null for a call without a key.
    call_actions start(const call_time &now, const claim_table *table);
    call_actions recordAppended(const call_time &now, const std::string &id, std::int64_t offset);
    // The append failed or timed out. The record may still reach the log.
    call_actions appendFailed(const call_time &now, const std::string &id);
    // The table has applied further records.
    call_actions logRead(const call_time &now, const claim_table &table);
    call_actions connectionReady(const call_time &now);
    call_actions connectionFailed(const call_time &now);
    call_actions responseReceived(const call_time &now, const stored_answer &response);
    // The connection failed or was closed before the response arrived. mayHaveBeenSent is false
    // only if no byte of the request was written.
    call_actions responseLost(const call_time &now, bool mayHaveBeenSent);
    // The endpoint rejected the request before it started to execute it.
    call_actions refused(const call_time &now);
    call_actions deadlinePassed(const call_time &now);
    // The outcome is empty if the claiming router cannot be reached or does not know the call.
    call_actions outcomeFromPeer(const call_time &now, const std::optional<peer_outcome> &outcome);

    peer_outcome outcomeForPeer() const;
    // Returns true if the caller has been answered and no further action will follow.
    bool hasEnded() const { return m_state == state::Ended; }
    bool hasAnswered() const { return m_hasAnswered; }

private:
    enum class state {
        Idle,
        Claiming,
        Connecting,
        Sending,
        AskingClaimant,
        Releasing,
        Completing,
        Ended
    };

    std::string scoped() const { return scopedKey(m_spec.workspace, *m_spec.key); }
    std::string recordId(const char *kind) const { return m_spec.attempt + ":" + kind; }
    unix_millis reclaimDelayEnd(const claim_view &released) const;
    bool isPastDeadline(const call_time &now) const;
    bool checkKey(const call_time &now, const claim_table &table, call_actions &actions);
    void connect(const call_time &now, call_actions &actions);
    void tryNextReplica(const call_time &now, errc kind, call_actions &actions);
    void handleOtherClaim(const call_time &now, const claim_view &winner, call_actions &actions);
    void appendRelease(call_actions &actions);
    void release(const call_time &now, errc kind, call_actions &actions);
    void answerNotSent(const call_time &now, call_actions &actions);
    void append(const char *kind, const std::string &body, call_actions &actions);
    void answerStored(const stored_answer &answer, call_actions &actions);
    void answerError(int status, errc kind, const std::string &detail, call_outcome outcome,
                     call_actions &actions);
    void end();

    call_spec m_spec;
    state m_state = state::Idle;
    bool m_hasAnswered = false;
    std::optional<std::int64_t> m_claimOffset;
    int m_connectionAttempts = 0;
    errc m_releaseReason = errc::Timeout;
    unix_millis m_releaseRequested{ 0 };
    claim_view m_winner;
    std::optional<stored_answer> m_response;
    std::optional<append_record> m_append; // the record that is being appended
    int m_appendAttempts = 0;              // attempts to append that record that have failed
};

} // namespace fescuedeck

#endif
