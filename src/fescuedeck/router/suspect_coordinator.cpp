#include "fescuedeck/router/suspect_coordinator.h"

#include <algorithm>
#include <optional>

namespace fescuedeck {
namespace {

// A hop that may not start yet is tried again after a random delay in this range. The delay is
// random because two routers that deny each other's reservations would otherwise retry at the same
// time and deny each other again.
constexpr std::chrono::milliseconds minRetryDelay(10);
constexpr std::chrono::milliseconds maxRetryDelay(60);
// Time that a draft waits for the result of one reservation before it requests another one.
constexpr duration reservationTimeout = std::chrono::milliseconds(500);

suspect_time suspectNow()
{
    return { steadyNow(), wallNow() };
}

template <class Hook, class Message>
void callIfSet(const Hook &hook, const Message &message)
{
    if (hook)
        hook(message);
}

} // namespace

suspect_coordinator::suspect_coordinator(const crash_suspects_settings &settings, random_fn random)
    : m_tables(lock_rank::Streams, settings)
    , m_random(std::move(random))
{
}

void suspect_coordinator::apply(const std::function<suspect_actions(crash_suspects &)> &change)
{
    const suspect_actions actions
            = m_tables.with([&](tables &all) { return change(all.suspects); });
    for (const suspect_action &action : actions)
        execute(action);
}

void suspect_coordinator::execute(const suspect_action &action)
{
    if (const auto *evidence = std::get_if<announce_evidence>(&action))
        callIfSet(m_hooks.announceEvidence, *evidence);
    else if (const auto *ask = std::get_if<request_exclusive_run>(&action))
        callIfSet(m_hooks.requestReservation, *ask);
    else if (const auto *reply = std::get_if<exclusive_run_reply>(&action))
        callIfSet(m_hooks.replyToReservation, *reply);
    else if (const auto *ready = std::get_if<exclusive_run_ready>(&action))
        wake(ready->fingerprint, ready->endpoint);
    else if (const auto *denied = std::get_if<exclusive_run_denied>(&action))
        wake(denied->fingerprint, denied->endpoint);
    else if (const auto *started = std::get_if<announce_exclusive_run>(&action))
        callIfSet(m_hooks.announceExclusiveRun, *started);
    else if (const auto *release = std::get_if<release_exclusive_run>(&action))
        callIfSet(m_hooks.releaseReservation, *release);
    else if (const auto *quarantine = std::get_if<publish_quarantine>(&action))
        callIfSet(m_hooks.publishQuarantine, *quarantine);
}

void suspect_coordinator::wake(const std::string &fingerprint, const std::string &endpoint)
{
    m_tables.with([&](tables &all) {
        const auto waiter = all.waiting.find({ fingerprint, endpoint });
        if (waiter == all.waiting.end())
            return;
        waiter->second.set();
        all.waiting.erase(waiter);
    });
}

run_permission suspect_coordinator::permissionFor(const std::string &fingerprint) const
{
    return m_tables.with([&](const tables &all) {
        return all.suspects.permissionFor(fingerprint, suspectNow());
    });
}

bool suspect_coordinator::isQuarantined(const std::string &fingerprint) const
{
    return permissionFor(fingerprint) == run_permission::Rejected;
}

bool suspect_coordinator::mustRunAlone(const std::string &fingerprint) const
{
    return permissionFor(fingerprint) == run_permission::RunAlone;
}

std::set<std::string> suspect_coordinator::crashedEndpoints(const std::string &fingerprint) const
{
    return m_tables.with(
            [&](const tables &all) { return all.suspects.crashedEndpoints(fingerprint); });
}

bool suspect_coordinator::tryStartHop(const std::string &fingerprint, const std::string &endpoint,
                                      int position)
{
    const auto actions = m_tables.with([&](tables &all) -> std::optional<suspect_actions> {
        if (!all.suspects.mayStartHop(fingerprint, endpoint, suspectNow()))
            return std::nullopt;
        return all.suspects.hopStarted(fingerprint, endpoint, position, suspectNow());
    });
    if (!actions)
        return false;
    for (const suspect_action &action : *actions)
        execute(action);
    return true;
}

result<bool> suspect_coordinator::startHop(const std::string &fingerprint,
                                           const std::string &endpoint, int position,
                                           time_point deadline, boost::asio::yield_context yield)
{
    while (!tryStartHop(fingerprint, endpoint, position)) {
        const run_permission permission = permissionFor(fingerprint);
        if (permission == run_permission::Rejected)
            return makeFailure(errc::Quarantined, "the request has crashed endpoints");
        if (steadyNow() >= deadline)
            return makeFailure(errc::Timeout,
                               "endpoint " + endpoint + " was not available before the deadline");
        if (permission == run_permission::RunAlone) {
            const wait_event answered(yield);
            m_tables.with([&](tables &all) {
                all.waiting.insert_or_assign({ fingerprint, endpoint }, answered);
            });
            apply([&](crash_suspects &suspects) {
                return suspects.requestExclusiveRun(fingerprint, endpoint, suspectNow());
            });
            answered.waitUntil(std::min(deadline, steadyNow() + reservationTimeout), yield);
            if (tryStartHop(fingerprint, endpoint, position))
                return true;
        }
        const auto spread = static_cast<std::uint64_t>((maxRetryDelay - minRetryDelay).count());
        sleepFor(minRetryDelay + std::chrono::milliseconds(uniformBelow(m_random, spread)), yield);
    }
    return true;
}

void suspect_coordinator::endHop(const std::string &fingerprint, const std::string &endpoint)
{
    apply([&](crash_suspects &suspects) { return suspects.hopEnded(fingerprint, endpoint); });
}

void suspect_coordinator::tokenProduced(const std::string &fingerprint, int position)
{
    apply([&](crash_suspects &suspects) { return suspects.tokenProduced(fingerprint, position); });
}

void suspect_coordinator::finished(const std::string &fingerprint)
{
    apply([&](crash_suspects &suspects) { return suspects.finished(fingerprint); });
}

void suspect_coordinator::endpointCrashed(const std::string &endpoint,
                                          const std::string &incarnation)
{
    apply([&](crash_suspects &suspects) {
        return suspects.endpointCrashed(endpoint, incarnation, suspectNow());
    });
}

void suspect_coordinator::peersChanged(std::set<std::string> livePeers)
{
    apply([&](crash_suspects &suspects) {
        return suspects.peersChanged(std::move(livePeers), suspectNow());
    });
}

void suspect_coordinator::receivedEvidence(const std::vector<crash_evidence> &evidence)
{
    apply([&](crash_suspects &suspects) {
        return suspects.evidenceLearned(evidence, suspectNow());
    });
}

void suspect_coordinator::receivedReservationRequest(const std::string &peer,
                                                     const request_exclusive_run &ask)
{
    apply([&](crash_suspects &suspects) {
        return suspects.exclusiveRunRequested(peer, ask.fingerprint, ask.endpoint, ask.ticket,
                                              suspectNow());
    });
}

void suspect_coordinator::receivedReservationReply(const std::string &peer,
                                                   const exclusive_run_reply &reply)
{
    apply([&](crash_suspects &suspects) {
        return suspects.exclusiveRunReplied(peer, reply.ticket, reply.isGranted, reply.evidence,
                                            suspectNow());
    });
}

void suspect_coordinator::receivedExclusiveRunStart(const std::string &peer,
                                                    const announce_exclusive_run &started)
{
    apply([&](crash_suspects &suspects) {
        return suspects.exclusiveRunStarted(peer, started.ticket, started.startedAt,
                                            started.position, suspectNow());
    });
}

void suspect_coordinator::receivedReservationRelease(const std::string &peer,
                                                     const release_exclusive_run &release)
{
    m_tables.with([&](tables &all) { all.suspects.exclusiveRunReleased(peer, release.ticket); });
}

void suspect_coordinator::receivedQuarantine(const quarantine_entry &entry)
{
    m_tables.with([&](tables &all) { all.suspects.quarantineLearned(entry); });
}

std::vector<crash_evidence> suspect_coordinator::evidence() const
{
    return m_tables.with([](const tables &all) { return all.suspects.evidence(); });
}

std::vector<quarantine_entry> suspect_coordinator::quarantined() const
{
    return m_tables.with([](const tables &all) { return all.suspects.quarantined(); });
}

void suspect_coordinator::expire()
{
    apply([](crash_suspects &suspects) { return suspects.expire(suspectNow()); });
}

} // namespace fescuedeck
