// State machine of one call of an operation that is not idempotent, on one router (section 5.2).
//
// Use one object for each such request of a caller, with or without an Idempotency-Key. It has no
// sockets, threads or clocks: the router passes events in and carries out the returned actions in
// order. Keep the object after the caller is answered until hasEnded(), and its outcomeForPeer() as
// long as keys are kept. Not thread-safe.
//
// "not-run" means that the request has not run, by this call or by any other copy with the same
// key that was accepted before the answer, and that none of them will run.
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
// "ran", "not-run" or "unknown", as in the Fescuedeck-Outcome header.
std::string_view toString(call_outcome outcome);

// Deadlines are checked on both clocks: the steady one may stop while a virtual machine is
// suspended, and the wall clock may be set back.
struct call_time
{
    time_point steady;
    unix_millis wall{ 0 };
};

struct call_policy
{
    // Older keys are rejected. Below claim_table_settings::keepFor by more than the longest
    // deadline plus the clock skew.
    unix_millis keyWindow = std::chrono::hours(19);
    unix_millis maxKeyClockLead = std::chrono::seconds(5); // for keys created by a fast clock
    unix_millis clockSkew = std::chrono::seconds(1);       // largest between routers and the log
    unix_millis reclaimDelay = std::chrono::seconds(5);    // as in claim_table_settings
    unix_millis retryAfter = std::chrono::seconds(6);      // above reclaimDelay
    int maxConnectionAttempts = 3;
    int maxAppendAttempts = 60; // of one record
    duration appendRetryDelay = std::chrono::milliseconds(200);
};

struct call_spec
{
    std::string attempt; // unique, never used again
    std::string router;  // with its incarnation
    std::string workspace;
    std::optional<std::string> key; // the caller's Idempotency-Key
    std::string fingerprint;        // of method, path and body
    // A lower bound of the time at which the caller sent the request: the last time before it was
    // read at which the router is known to have been reading. After a pause of the process that is
    // the time before the pause, because the request may have waited since.
    call_time accepted;
    call_time deadline; // counted from accepted
    call_policy policy;
};

enum class peer_call_status { InProgress, Completed, Unknown };
// What the router of a claim knows about its call.
struct peer_outcome
{
    peer_call_status status = peer_call_status::Unknown;
    std::optional<stored_answer> answer;
};

// Actions.
// Append to the partition of the key after the delay; report recordAppended or appendFailed.
struct append_record
{
    std::string id;
    std::string body;
    duration delay{ 0 };
};
// Read the partition past the offset and report logRead.
struct read_log
{
    std::int64_t offset = 0;
};
// Open a new connection to a replica; report connectionReady or connectionFailed.
struct open_connection
{
    int number = 1; // use another replica for the second and later ones
};
// Send on that connection; report responseReceived, responseLost or refused. From here on the
// request counts as sent until responseLost or refused proves the opposite.
struct send_request
{
};
// Ask the router for its outcomeForPeer(); report outcomeFromPeer, also if it cannot be reached.
struct ask_claimant
{
    std::string router;
    std::string key; // scoped
};
struct answer_caller
{
    int status = 0;
    call_outcome outcome = call_outcome::Unknown;
    std::optional<stored_answer> response; // of the service
    std::optional<failure> error;
    std::optional<unix_millis> retryAfter;
};
using call_action = std::variant<append_record, read_log, open_connection, send_request,
                                 ask_claimant, answer_caller>;
using call_actions = std::vector<call_action>;

class idempotent_call
{
public:
    explicit idempotent_call(call_spec spec);

    // The table is that of the key's partition, null for a call without a key.
    call_actions start(const call_time &now, const claim_table *table);
    call_actions recordAppended(const call_time &now, const std::string &id, std::int64_t offset);
    // The append failed or timed out; the record may still land.
    call_actions appendFailed(const call_time &now, const std::string &id);
    // The table has grown.
    call_actions logRead(const call_time &now, const claim_table &table);
    call_actions connectionReady(const call_time &now);
    call_actions connectionFailed(const call_time &now);
    call_actions responseReceived(const call_time &now, const stored_answer &response);
    // The connection failed or was closed before the response. mayHaveBeenSent is false only if no
    // byte was written.
    call_actions responseLost(const call_time &now, bool mayHaveBeenSent);
    // The endpoint rejected the request before it started.
    call_actions refused(const call_time &now);
    call_actions deadlinePassed(const call_time &now);
    // Empty if the claimant's router cannot be reached or does not know the call.
    call_actions outcomeFromPeer(const call_time &now, const std::optional<peer_outcome> &outcome);

    peer_outcome outcomeForPeer() const;
    // Answered, and no further action will handleOtherClaim.
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
    int m_appendAttempts = 0;              // of that record
};

} // namespace fescuedeck

#endif
