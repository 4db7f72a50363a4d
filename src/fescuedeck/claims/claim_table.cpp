#include "fescuedeck/claims/claim_table.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/name_table.h"

namespace fescuedeck {
namespace {

using nlohmann::json;

constexpr name_table<claim_status, 4> statusNames = { {
        { claim_status::Unclaimed, "unclaimed" },
        { claim_status::Claimed, "claimed" },
        { claim_status::Released, "released" },
        { claim_status::Completed, "completed" },
} };

json viewToJson(const claim_view &view)
{
    json text{ { "status", nameOf(statusNames, view.status) },
               { "attempt", view.attempt },
               { "router", view.router },
               { "fingerprint", view.fingerprint },
               { "released_ms", view.releasedAt.count() } };
    if (view.answer)
        text["answer"] = answerToJson(*view.answer);
    return text;
}

claim_view viewFromJson(const json &text)
{
    claim_view view;
    const std::string status = text.at("status");
    view.status = valueOf(statusNames, status).value_or(claim_status::Claimed);
    view.attempt = text.at("attempt");
    view.router = text.at("router");
    view.fingerprint = text.at("fingerprint");
    view.releasedAt = unix_millis(text.at("released_ms").get<std::int64_t>());
    if (text.contains("answer"))
        view.answer = answerFromJson(text.at("answer"));
    return view;
}

} // namespace

claim_table::claim_table(const claim_table_settings &settings, std::int64_t firstOffset)
    : m_settings(settings)
    , m_nextOffset(firstOffset)
    , m_isPartial(firstOffset > 0)
{
}

void claim_table::apply(const log_record &record)
{
    if (record.offset < m_nextOffset)
        return;
    m_nextOffset = record.offset + 1;
    if (m_isPartial && !m_hasRecords) {
        m_startHorizon = record.time + m_settings.maxKeyTimeLead;
        dropKeysUpTo(m_startHorizon);
    }
    m_hasRecords = true;
    const auto event = parseClaimRecord(record.body);
    if (!event) {
        ++m_invalidRecords;
        return;
    }
    std::visit([&](const auto &one) { handle(record, one); }, event.value());
}

claim_view claim_table::find(const std::string &key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? claim_view{} : found->second.view;
}

bool claim_table::isTooOld(const std::string &key) const
{
    const auto created = keyTime(key);
    const bool isStartUnknown = m_isPartial && !m_hasRecords;
    return !created || *created <= m_horizon || isStartUnknown;
}

void claim_table::expire(unix_millis now)
{
    dropKeysUpTo(now - m_settings.keepFor);
}

claim_checkpoint claim_table::checkpoint() const
{
    json keys = json::object();
    for (const auto &[key, entry] : m_entries) {
        json text = viewToJson(entry.view);
        text["released_attempts"] = entry.releasedAttempts;
        keys[key] = std::move(text);
    }
    const json state{ { "horizon_ms", m_horizon.count() }, { "keys", std::move(keys) } };
    return { m_nextOffset, state.dump(-1, ' ', false, json::error_handler_t::replace) };
}

void claim_table::handle(const log_record &record, const claim_made &claim)
{
    entry *const known = entryFor(claim.key);
    if (!known) {
        keepForCheckpoint(record);
        return;
    }
    claim_view &view = known->view;
    if (known->releasedAttempts.count(claim.attempt) > 0)
        return;
    if (view.status == claim_status::Released) {
        if (claim.accepted <= view.releasedAt + m_settings.reclaimDelay) {
            // The router of this claim may report "not-run" as well, so copies that were accepted
            // before that answer must not run either.
            view.releasedAt = std::max(view.releasedAt, record.time);
            return;
        }
        if (claim.fingerprint != view.fingerprint)
            return;
    } else if (view.status != claim_status::Unclaimed) {
        return;
    }
    view = { claim_status::Claimed, claim.attempt, claim.router, claim.fingerprint, {}, {} };
}

void claim_table::handle(const log_record &record, const claim_released &released)
{
    entry *const known = entryFor(released.key);
    if (!known) {
        keepForCheckpoint(record);
        return;
    }
    known->releasedAttempts.insert(released.attempt);
    claim_view &view = known->view;
    if (view.status != claim_status::Claimed || view.attempt != released.attempt)
        return;
    view.status = claim_status::Released;
    view.releasedAt = record.time;
}

void claim_table::handle(const log_record &record, const claim_completed &completed)
{
    entry *const known = entryFor(completed.key);
    if (!known) {
        keepForCheckpoint(record);
        return;
    }
    claim_view &view = known->view;
    const bool isOwn = view.attempt == completed.attempt && view.status == claim_status::Claimed;
    if (isOwn || view.status == claim_status::Unclaimed) {
        view.attempt = completed.attempt;
        view.status = claim_status::Completed;
        view.answer = completed.answer;
    }
}

void claim_table::handle(const log_record & /*record*/, const claim_checkpoint &checkpoint)
{
    // If the horizon has risen since the start, records of the keys that were dropped then are not
    // in m_pending, so the checkpoint cannot be completed.
    const bool isUsable = m_isPartial && m_horizon == m_startHorizon;
    m_isPartial = false;
    if (!isUsable || !restoreCheckpoint(checkpoint.state)) {
        m_pending.clear();
        return;
    }
    for (const log_record &record : std::exchange(m_pending, {})) {
        const auto event = parseClaimRecord(record.body);
        if (record.offset >= checkpoint.covers && event)
            std::visit([&](const auto &one) { handle(record, one); }, event.value());
    }
}

void claim_table::keepForCheckpoint(const log_record &record)
{
    if (!m_isPartial)
        return;
    m_pending.push_back(record);
    if (m_pending.size() <= m_settings.maxKeys)
        return;
    m_isPartial = false;
    m_pending.clear();
}

// Returns the entry of the key, which is created if necessary, or null if the key is too old.
claim_table::entry *claim_table::entryFor(const std::string &key)
{
    const auto created = keyTime(key);
    if (!created || *created <= m_horizon)
        return nullptr;
    const auto [found, isNew] = m_entries.try_emplace(key);
    if (!isNew)
        return &found->second;
    m_keysByTime.emplace(*created, key);
    // Raises the horizon instead of only erasing the oldest keys, because a key that the table
    // forgets without being too old could run twice.
    while (m_entries.size() > m_settings.maxKeys)
        dropKeysUpTo(m_keysByTime.begin()->first);
    const auto kept = m_entries.find(key);
    return kept == m_entries.end() ? nullptr : &kept->second;
}

void claim_table::dropKeysUpTo(unix_millis horizon)
{
    if (horizon <= m_horizon)
        return;
    m_horizon = horizon;
    while (!m_keysByTime.empty() && m_keysByTime.begin()->first <= horizon) {
        m_entries.erase(m_keysByTime.begin()->second);
        m_keysByTime.erase(m_keysByTime.begin());
    }
}

// Takes over the keys of the checkpoint that were created at or before the horizon. For newer keys
// the table already has every record. Returns false if the state cannot be parsed.
bool claim_table::restoreCheckpoint(const std::string &state)
{
    try {
        const json document = json::parse(state);
        const unix_millis horizon(document.at("horizon_ms").get<std::int64_t>());
        std::vector<std::pair<std::string, entry>> restoredKeys;
        for (const auto &[key, text] : document.at("keys").items()) {
            const auto created = keyTime(key);
            if (!created || *created > m_horizon)
                continue;
            entry restored{ viewFromJson(text), {} };
            restored.releasedAttempts = text.at("released_attempts").get<std::set<std::string>>();
            restoredKeys.emplace_back(key, std::move(restored));
        }
        m_horizon = std::min(m_horizon, horizon);
        for (auto &[key, restored] : restoredKeys) {
            if (entry *const known = entryFor(key))
                *known = std::move(restored);
        }
        return true;
    } catch (const json::exception &) {
        ++m_invalidRecords;
        return false;
    }
}

} // namespace fescuedeck
