#include "fescuedeck/control/control_state.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/hash.h"

namespace fescuedeck {
namespace {

using json = nlohmann::json;

// About twice the planned number of hosts.
constexpr std::size_t maxDrained = 5000;
constexpr std::size_t maxQuarantined = 2000;
// A retried append can leave duplicates in the log, but only within the few minutes of its retries.
// Bundles, drains and quarantines make about 7,000 records a day at the planned size.
constexpr std::size_t maxRecentIds = 4000;
// Lease renewals are frequent: 29 models, each renewed every 5 s. Their ids are kept in a set of
// their own, so that they do not evict the ids of other records.
constexpr std::size_t maxRecentLeaseIds = 4000;

// Returns a hash of the id. The state keeps hashes because ids have no maximum length.
std::string idKey(const std::string &id)
{
    return sha256Hex(id).substr(0, 24);
}

} // namespace

control_state::control_state(control_options options)
    : m_options(std::move(options))
    , m_bundles(m_options.firstApprovers)
    , m_drained(maxDrained)
    , m_quarantined(maxQuarantined)
    , m_recentIds(maxRecentIds)
    , m_recentLeaseIds(maxRecentLeaseIds)
{
}

result<control_state> control_state::fromCheckpoint(const std::string &state,
                                                    control_options options)
{
    control_state restored(std::move(options));
    if (!restored.restore(state))
        return makeFailure(errc::InvalidMessage, "the checkpoint is not a valid control state");
    return restored;
}

void control_state::apply(const log_record &record)
{
    if (record.offset < m_nextOffset)
        return;
    const bool isNext = record.offset == m_nextOffset && isComplete();
    m_nextOffset = record.offset + 1;
    if (isNext)
        m_completeTo = m_nextOffset;
    applyBody(record);
}

void control_state::applyBody(const log_record &record)
{
    const auto body = parseControlRecord(record.body);
    if (!body) {
        ++m_counters.malformed;
        return;
    }
    const std::string key = idKey(record.id);
    if (m_recentIds.contains(key) || m_recentLeaseIds.contains(key)) {
        ++m_counters.repeatedId;
        return;
    }
    if (!isComplete() && !std::holds_alternative<checkpoint_taken>(body.value())) {
        ++m_counters.deferred;
        return;
    }
    ++m_counters.applied;
    std::visit([&](const auto &typed) { applyRecord(typed, record); }, body.value());
    // An adopted checkpoint that covers fewer records moves m_nextOffset back.
    const bool isReadAgain = m_nextOffset <= record.offset;
    if (isReadAgain || std::holds_alternative<unknown_record>(body.value()))
        return;
    const bool isLease = std::holds_alternative<lease_requested>(body.value());
    (isLease ? m_recentLeaseIds : m_recentIds).add(key, record.offset);
}

void control_state::applyRecord(const bundle_proposed &body, const log_record & /*record*/)
{
    if (!m_bundles.propose(body))
        ++m_counters.rejectedProposals;
}

void control_state::applyRecord(const bundle_signed &body, const log_record &record)
{
    const detail::sign_off_result outcome = m_bundles.sign(body, record.offset);
    if (outcome == detail::sign_off_result::Stale)
        ++m_counters.staleSignOffs;
    if (outcome == detail::sign_off_result::Invalid)
        ++m_counters.invalidSignOffs;
}

void control_state::applyRecord(const lease_requested &body, const log_record &record)
{
    if (!m_leases.apply(body, record.offset, record.time))
        ++m_counters.staleLeases;
}

void control_state::applyRecord(const host_drained &body, const log_record &record)
{
    m_drained.add(body.host, record.offset);
}

void control_state::applyRecord(const host_undrained &body, const log_record & /*record*/)
{
    m_drained.remove(body.host);
}

void control_state::applyRecord(const request_quarantined &body, const log_record &record)
{
    m_quarantined.add(body.fingerprint, record.offset);
}

void control_state::applyRecord(const unknown_record & /*body*/, const log_record & /*record*/)
{
    ++m_counters.unknownType;
}

// Adopts the checkpoint if it covers records that this state lacks.
void control_state::applyRecord(const checkpoint_taken &body, const log_record &record)
{
    const std::optional<control_state> restored = restoreFromRecord(body, record);
    if (!restored) {
        ++m_counters.invalidCheckpoints;
        return;
    }
    if (body.covers > m_completeTo) {
        replaceWith(*restored);
        if (body.covers == record.offset)
            m_nextOffset = m_completeTo = record.offset + 1;
    }
    m_checkpoint = checkpoint_position{ record.offset, record.time };
}

// Returns nothing if the checkpoint is invalid. A checkpoint that cannot be restored must not
// count, because routers that start later would have no state if no other checkpoint were written.
std::optional<control_state> control_state::restoreFromRecord(const checkpoint_taken &body,
                                                              const log_record &record) const
{
    if (body.covers > record.offset)
        return std::nullopt;
    if (!m_options.checkpointKey.empty()
        && !equalConstantTime(checkpointMac(m_options.checkpointKey, body.state), body.mac))
        return std::nullopt;
    auto restored = fromCheckpoint(body.state, m_options);
    if (!restored || restored.value().nextOffset() != body.covers)
        return std::nullopt;
    return std::move(restored).value();
}

void control_state::replaceWith(const control_state &restored)
{
    const control_counters counters = m_counters;
    const accepted_bundle accepted = m_bundles.accepted();
    *this = restored;
    m_bundles.replaceIfNewer(accepted);
    m_counters = counters;
    ++m_counters.adoptedCheckpoints;
}

void control_state::skipMissingRecords(std::int64_t firstRetained)
{
    if (isComplete())
        return;
    ++m_counters.skippedGaps;
    m_completeTo = std::max(m_completeTo, firstRetained);
    m_nextOffset = m_completeTo;
}

bool control_state::adopt(const std::string &state)
{
    const auto offered = fromCheckpoint(state, m_options);
    if (!offered || offered.value().nextOffset() <= m_completeTo)
        return false;
    replaceWith(offered.value());
    return true;
}

std::string control_state::checkpoint() const
{
    json state = { { "next_offset", m_nextOffset },
                   { "bundles", m_bundles.toJson() },
                   { "leases", m_leases.toJson() },
                   { "drained", m_drained.toJson() },
                   { "quarantined", m_quarantined.toJson() },
                   { "recent_ids", m_recentIds.toJson() },
                   { "recent_lease_ids", m_recentLeaseIds.toJson() } };
    if (m_checkpoint)
        state["checkpoint"]
                = { { "offset", m_checkpoint->offset }, { "time_ms", m_checkpoint->time.count() } };
    return state.dump(-1, ' ', true, json::error_handler_t::replace);
}

std::string control_state::checkpointBody() const
{
    checkpoint_taken record;
    record.state = checkpoint();
    record.covers = m_nextOffset;
    if (!m_options.checkpointKey.empty())
        record.mac = checkpointMac(m_options.checkpointKey, record.state);
    return recordBody(record);
}

// Call it on a new state only, because an error leaves the state partly restored.
bool control_state::restore(const std::string &text)
{
    const json state = json::parse(text, nullptr, false);
    if (!state.is_object())
        return false;
    try {
        const auto next = state.at("next_offset").get<std::int64_t>();
        m_nextOffset = m_completeTo = next;
        if (state.contains("checkpoint")) {
            const json &position = state.at("checkpoint");
            m_checkpoint = checkpoint_position{
                position.at("offset").get<std::int64_t>(),
                unix_millis(position.at("time_ms").get<std::int64_t>())
            };
        }
        return next >= 0 && m_bundles.restore(state.at("bundles"))
               && m_leases.restore(state.at("leases"), next)
               && m_drained.restore(state.at("drained"), next)
               && m_quarantined.restore(state.at("quarantined"), next)
               && m_recentIds.restore(state.at("recent_ids"), next)
               && m_recentLeaseIds.restore(state.at("recent_lease_ids"), next);
    } catch (const json::exception &) {
        return false;
    }
}

std::int64_t applyPage(control_state &state, const std::vector<log_record> &records)
{
    for (const log_record &record : records) {
        const bool isNew = record.offset >= state.nextOffset();
        state.apply(record);
        const bool adoptedCheckpoint = isNew && state.nextOffset() <= record.offset;
        if (adoptedCheckpoint)
            break;
    }
    return state.nextOffset();
}

} // namespace fescuedeck
