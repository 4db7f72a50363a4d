#include "fescuedeck/claims/idempotent_call.h"

#include <utility>

#include "fescuedeck/base/ids.h"
#include "fescuedeck/base/name_table.h"

namespace fescuedeck {
namespace {

constexpr name_table<call_outcome, 3> outcomeNames = { {
        { call_outcome::Ran, "ran" },
        { call_outcome::NotRun, "not-run" },
        { call_outcome::Unknown, "unknown" },
} };

// HTTP status codes.
constexpr int badRequest = 400;
constexpr int conflict = 409;
constexpr int unprocessable = 422;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;

} // namespace

std::string_view toString(call_outcome outcome)
{
    return nameOf(outcomeNames, outcome);
}

idempotent_call::idempotent_call(call_spec spec)
    : m_spec(std::move(spec))
{
}

call_actions idempotent_call::start(const call_time &now, const claim_table *table)
{
    call_actions actions;
    if (m_state != state::Idle)
        return actions;
    if (!m_spec.key) {
        connect(now, actions);
        return actions;
    }
    if (!checkKey(now, *table, actions))
        return actions;
    const claim_view view = table->find(scoped());
    // A claim within the reclaim delay could not win, and would only restart the delay.
    const bool isInReclaimDelay
            = view.status == claim_status::Released && now.wall < reclaimDelayEnd(view);
    if (isInReclaimDelay || view.status == claim_status::Claimed
        || view.status == claim_status::Completed) {
        handleOtherClaim(now, view, actions);
        return actions;
    }
    m_state = state::Claiming;
    append("claim",
           toJson(claim_made{ scoped(), m_spec.attempt, m_spec.router, m_spec.fingerprint,
                              m_spec.accepted.wall }),
           actions);
    return actions;
}

call_actions idempotent_call::recordAppended(const call_time & /*now*/, const std::string &id,
                                             std::int64_t offset)
{
    call_actions actions;
    if (!m_append || m_append->id != id)
        return actions;
    m_append.reset();
    if (m_state == state::Claiming) {
        m_claimOffset = offset;
        actions.push_back(read_log{ offset });
    } else if (m_state == state::Releasing) {
        actions.push_back(read_log{ offset });
    }
    if (m_hasAnswered && m_state != state::Sending)
        end();
    return actions;
}

call_actions idempotent_call::appendFailed(const call_time &now, const std::string &id)
{
    call_actions actions;
    if (!m_append || m_append->id != id)
        return actions;
    // The claim of this call has won, so no other copy can run and "not-run" is true even if the
    // release never reaches the log.
    if (m_state == state::Releasing && !m_hasAnswered)
        answerNotSent(now, actions);
    if (++m_appendAttempts >= m_spec.policy.maxAppendAttempts) {
        m_append.reset();
        if (m_hasAnswered)
            end();
        return actions;
    }
    m_append->delay = m_spec.policy.appendRetryDelay;
    actions.push_back(*m_append);
    return actions;
}

call_actions idempotent_call::logRead(const call_time &now, const claim_table &table)
{
    call_actions actions;
    if (m_state == state::Releasing && !m_hasAnswered && !m_append) {
        answerNotSent(now, actions);
        return actions;
    }
    if (m_state != state::Claiming || m_hasAnswered)
        return actions;
    const claim_view view = table.find(scoped());
    const bool isClaimApplied = m_claimOffset && table.nextOffset() > *m_claimOffset;
    if (table.isTooOld(scoped())) {
        appendRelease(actions);
        answerError(unprocessable, errc::KeyExpired,
                    "the Idempotency-Key expired while it was being claimed", call_outcome::Unknown,
                    actions);
    } else if (view.status == claim_status::Claimed && view.attempt == m_spec.attempt) {
        m_append.reset();
        connect(now, actions);
    } else if (isClaimApplied || view.status == claim_status::Claimed
               || view.status == claim_status::Completed) {
        handleOtherClaim(now, view, actions);
    }
    return actions;
}

call_actions idempotent_call::connectionReady(const call_time &now)
{
    call_actions actions;
    if (m_state != state::Connecting)
        return actions;
    // The process may have been paused since it started to open the connection.
    if (isPastDeadline(now)) {
        release(now, errc::Timeout, actions);
        return actions;
    }
    m_state = state::Sending;
    actions.push_back(send_request{});
    return actions;
}

call_actions idempotent_call::connectionFailed(const call_time &now)
{
    call_actions actions;
    if (m_state == state::Connecting)
        tryNextReplica(now, errc::ConnectionFailed, actions);
    return actions;
}

call_actions idempotent_call::responseReceived(const call_time & /*now*/,
                                               const stored_answer &response)
{
    call_actions actions;
    if (m_state != state::Sending)
        return actions;
    m_response = response;
    m_state = state::Completing;
    if (m_spec.key) {
        stored_answer stored = response;
        if (stored.body && stored.body->size() > maxStoredBody)
            stored.body.reset();
        append("completed", toJson(claim_completed{ scoped(), m_spec.attempt, stored }), actions);
    }
    if (!m_hasAnswered)
        answerStored(response, actions);
    if (!m_spec.key)
        end();
    return actions;
}

call_actions idempotent_call::responseLost(const call_time &now, bool mayHaveBeenSent)
{
    call_actions actions;
    if (m_state != state::Sending)
        return actions;
    if (!mayHaveBeenSent) {
        tryNextReplica(now, errc::ConnectionFailed, actions);
        return actions;
    }
    if (!m_hasAnswered)
        answerError(gatewayTimeout, errc::OutcomeUnknown,
                    "the connection was lost before the response of the service arrived",
                    call_outcome::Unknown, actions);
    end();
    return actions;
}

call_actions idempotent_call::refused(const call_time &now)
{
    call_actions actions;
    if (m_state != state::Sending)
        return actions;
    tryNextReplica(now, errc::EndpointRefused, actions);
    return actions;
}

call_actions idempotent_call::deadlinePassed(const call_time &now)
{
    call_actions actions;
    if (m_hasAnswered || !isPastDeadline(now))
        return actions;
    switch (m_state) {
    case state::Claiming:
        appendRelease(actions);
        // Another router may have claimed the key and sent the request, which this router cannot
        // know without the log.
        answerError(unavailable, errc::LogUnavailable,
                    "the Idempotency-Key could not be claimed before the deadline",
                    call_outcome::Unknown, actions);
        break;
    case state::Connecting:
        release(now, errc::Timeout, actions);
        break;
    case state::Sending:
        answerError(gatewayTimeout, errc::OutcomeUnknown,
                    "the service did not answer before the deadline", call_outcome::Unknown,
                    actions);
        break;
    case state::AskingClaimant:
        return outcomeFromPeer(now, std::nullopt);
    case state::Releasing:
        answerNotSent(now, actions);
        break;
    case state::Idle:
    case state::Completing:
    case state::Ended:
        break;
    }
    return actions;
}

call_actions idempotent_call::outcomeFromPeer(const call_time & /*now*/,
                                              const std::optional<peer_outcome> &outcome)
{
    call_actions actions;
    if (m_state != state::AskingClaimant)
        return actions;
    const bool isCompleted = m_winner.status == claim_status::Completed;
    if (outcome && outcome->status == peer_call_status::Completed && outcome->answer)
        answerStored(*outcome->answer, actions);
    else if (isCompleted)
        answerError(conflict, errc::OutcomeUnknown, "the call ran, but its answer is not stored",
                    call_outcome::Ran, actions);
    else if (outcome && outcome->status == peer_call_status::InProgress)
        answerError(conflict, errc::InProgress,
                    "router " + m_winner.router + " is running the call", call_outcome::Unknown,
                    actions);
    else
        answerError(conflict, errc::OutcomeUnknown,
                    "the router that claimed the key has not recorded an answer",
                    call_outcome::Unknown, actions);
    end();
    return actions;
}

peer_outcome idempotent_call::outcomeForPeer() const
{
    if (m_response)
        return { peer_call_status::Completed, m_response };
    const bool isRunning = m_state == state::Claiming || m_state == state::Connecting
                           || m_state == state::Sending || m_state == state::Releasing;
    return { isRunning ? peer_call_status::InProgress : peer_call_status::Unknown, std::nullopt };
}

bool idempotent_call::isPastDeadline(const call_time &now) const
{
    return now.steady >= m_spec.deadline.steady || now.wall >= m_spec.deadline.wall;
}

bool idempotent_call::checkKey(const call_time &now, const claim_table &table,
                               call_actions &actions)
{
    const auto created = uuidV7Time(*m_spec.key);
    const unix_millis margin = m_spec.policy.maxKeyClockLead;
    if (!created) {
        answerError(badRequest, errc::InvalidRequest, "Idempotency-Key is not a UUIDv7",
                    call_outcome::NotRun, actions);
    } else if (*created > now.wall + margin) {
        // If the key is only a little over the limit, a router with a faster clock may accept
        // another copy of the request, so "not-run" would not be certain.
        const unix_millis callTimeout = m_spec.deadline.wall - m_spec.accepted.wall;
        const bool isRejectedByAll = *created > now.wall + 2 * margin + callTimeout;
        answerError(badRequest, errc::InvalidRequest,
                    "the creation time of the Idempotency-Key is in the future",
                    isRejectedByAll ? call_outcome::NotRun : call_outcome::Unknown, actions);
    } else if (*created < now.wall - m_spec.policy.keyWindow || table.isTooOld(scoped())) {
        // The key may have been used in records that the log no longer has.
        answerError(unprocessable, errc::KeyExpired, "Idempotency-Key is too old",
                    call_outcome::Unknown, actions);
    } else if (isPastDeadline(now)) {
        answerError(gatewayTimeout, errc::Timeout,
                    "the request was read after its deadline had passed", call_outcome::Unknown,
                    actions);
    } else {
        return true;
    }
    end();
    return false;
}

unix_millis idempotent_call::reclaimDelayEnd(const claim_view &released) const
{
    return released.releasedAt + m_spec.policy.reclaimDelay - m_spec.policy.clockSkew;
}

void idempotent_call::connect(const call_time &now, call_actions &actions)
{
    if (isPastDeadline(now)) {
        release(now, errc::Timeout, actions);
        return;
    }
    m_state = state::Connecting;
    actions.push_back(open_connection{ ++m_connectionAttempts });
}

void idempotent_call::tryNextReplica(const call_time &now, errc kind, call_actions &actions)
{
    if (m_hasAnswered || m_connectionAttempts >= m_spec.policy.maxConnectionAttempts)
        release(now, kind, actions);
    else
        connect(now, actions);
}

// Handles the call after another attempt has claimed the key.
void idempotent_call::handleOtherClaim(const call_time &now, const claim_view &winner,
                                       call_actions &actions)
{
    m_append.reset();
    m_winner = winner;
    const bool isDifferentRequest
            = !winner.fingerprint.empty() && winner.fingerprint != m_spec.fingerprint;
    const bool isClaimed
            = winner.status == claim_status::Claimed || winner.status == claim_status::Completed;
    if (isDifferentRequest) {
        answerError(unprocessable, errc::KeyReused,
                    "the Idempotency-Key was already used for a different request",
                    call_outcome::NotRun, actions);
    } else if (isClaimed && winner.answer && winner.answer->body) {
        answerStored(*winner.answer, actions);
    } else if (isClaimed) {
        m_state = state::AskingClaimant;
        actions.push_back(ask_claimant{ winner.router, scoped() });
        return;
    } else {
        // The other attempt was released, so a later copy may run after the reclaim delay.
        const unix_millis notRunProvenUntil
                = winner.releasedAt + m_spec.policy.reclaimDelay - m_spec.policy.clockSkew;
        const bool isNotRunProven
                = winner.status == claim_status::Released && now.wall < notRunProvenUntil;
        answerError(unavailable, errc::Timeout, "an earlier copy of the request was not sent",
                    isNotRunProven ? call_outcome::NotRun : call_outcome::Unknown, actions);
    }
    end();
}

// Records that this attempt has sent nothing and never will.
void idempotent_call::appendRelease(call_actions &actions)
{
    m_state = state::Releasing;
    append("released", toJson(claim_released{ scoped(), m_spec.attempt }), actions);
}

void idempotent_call::release(const call_time &now, errc kind, call_actions &actions)
{
    m_releaseReason = kind;
    m_releaseRequested = now.wall;
    if (m_spec.key) {
        appendRelease(actions);
        return;
    }
    if (!m_hasAnswered)
        answerNotSent(now, actions);
    end();
}

void idempotent_call::answerNotSent(const call_time &now, call_actions &actions)
{
    const call_policy &policy = m_spec.policy;
    // After the reclaim delay, a copy that was accepted after the release may have run, so
    // "not-run" would no longer be certain.
    const unix_millis notRunProvenUntil
            = m_releaseRequested + policy.reclaimDelay - 2 * policy.clockSkew;
    const bool isNotRunProven = !m_spec.key || now.wall < notRunProvenUntil;
    answerError(unavailable, m_releaseReason, "the request was not sent to the service",
                isNotRunProven ? call_outcome::NotRun : call_outcome::Unknown, actions);
    if (!m_append)
        end();
}

void idempotent_call::append(const char *kind, const std::string &body, call_actions &actions)
{
    m_append = append_record{ recordId(kind), body, duration(0) };
    m_appendAttempts = 0;
    actions.push_back(*m_append);
}

void idempotent_call::answerStored(const stored_answer &answer, call_actions &actions)
{
    m_hasAnswered = true;
    actions.push_back(
            answer_caller{ answer.status, call_outcome::Ran, answer, std::nullopt, std::nullopt });
}

void idempotent_call::answerError(int status, errc kind, const std::string &detail,
                                  call_outcome outcome, call_actions &actions)
{
    m_hasAnswered = true;
    const bool canRetry
            = kind == errc::LogUnavailable || kind == errc::InProgress || status == unavailable;
    const auto retryAfter = canRetry ? std::optional(m_spec.policy.retryAfter) : std::nullopt;
    actions.push_back(
            answer_caller{ status, outcome, std::nullopt, makeFailure(kind, detail), retryAfter });
}

void idempotent_call::end()
{
    m_state = state::Ended;
}

} // namespace fescuedeck
