// Fold of one claims partition: which attempt holds each Idempotency-Key and what it answered.
//
// Use one object for each partition, apply every record in order of offset, and call expire every
// few seconds. Every router that applies the same records gives the same answer for every key that
// is not too old. Not thread-safe.
//
// The first claim of a key wins. After a release, a claim wins only if its request was accepted
// more than the release guard after it, so that a copy of the request that was on its way when the
// caller was told "not-run" never runs.
#ifndef FESCUEDECK_CLAIMS_CLAIM_TABLE_H
#define FESCUEDECK_CLAIMS_CLAIM_TABLE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fescuedeck/base/time.h"
#include "fescuedeck/claims/claim_record.h"

namespace fescuedeck {

enum class claim_status { Unclaimed, Claimed, Released, Completed };

struct claim_view
{
    claim_status status = claim_status::Unclaimed;
    std::string attempt, router, fingerprint; // of the winner, empty if unclaimed
    unix_millis releasedAt{ 0 };              // if released
    std::optional<stored_answer> answer;      // if completed
};

struct claim_table_settings
{
    // Keys older than this cannot be claimed. It must be shorter than the log's retention and
    // exceed the key window of the calls by the longest call deadline and the clock skew.
    unix_millis keepFor = std::chrono::hours(20);
    // Must exceed twice the clock skew plus the time to answer after a release.
    unix_millis reclaimDelay = std::chrono::seconds(5);
    // A key's records are written at most this long before the creation time in the key: the
    // margin for keys from the future plus the clock skew.
    unix_millis maxKeyTimeLead = std::chrono::seconds(10);
    std::size_t maxKeys = 200000;
};

class claim_table
{
public:
    // firstOffset is the oldest offset that the log still has.
    claim_table(const claim_table_settings &settings, std::int64_t firstOffset);

    // Ignores records that it has seen and counts those that it cannot parse.
    void apply(const log_record &record);
    claim_view find(const std::string &key) const;
    // The table may lack records of the key. A call with it must not be sent.
    bool isTooOld(const std::string &key) const;
    void expire(unix_millis now);

    std::int64_t nextOffset() const { return m_nextOffset; }
    std::size_t size() const { return m_entries.size(); }
    int invalidRecords() const { return m_invalidRecords; }
    // Restates all keys that are not too old.
    claim_checkpoint checkpoint() const;

private:
    struct entry
    {
        claim_view view;
        std::set<std::string> releasedAttempts;
    };

    void handle(const log_record &record, const claim_made &claim);
    void handle(const log_record &record, const claim_released &released);
    void handle(const log_record &record, const claim_completed &completed);
    void handle(const log_record &record, const claim_checkpoint &checkpoint);
    entry *entryFor(const std::string &key);
    void keepForCheckpoint(const log_record &record);
    void dropKeysUpTo(unix_millis horizon);
    bool restoreCheckpoint(const std::string &state);

    claim_table_settings m_settings;
    std::int64_t m_nextOffset;
    // Records of keys created up to this time may be missing.
    unix_millis m_horizon = unix_millis::min();
    // Started after the first record of the stream; a checkpoint can lower the horizon.
    bool m_isPartial;
    unix_millis m_startHorizon = unix_millis::min();
    bool m_hasRecords = false;
    std::unordered_map<std::string, entry> m_entries;
    std::multimap<unix_millis, std::string> m_keysByTime;
    // Records of keys up to the horizon, for the first checkpoint that this table meets.
    std::vector<log_record> m_pending;
    int m_invalidRecords = 0;
};

} // namespace fescuedeck

#endif
