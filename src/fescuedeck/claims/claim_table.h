// State of one partition of the claims log, computed by replaying its records: which attempt has
// claimed each Idempotency-Key, and what the service answered.
//
// Use one object for each partition, apply every record in order of offset, and call expire every
// few seconds. All routers that apply the same records get the same result for every key that is
// not too old. Not thread-safe.
//
// A claim of a key wins in two cases:
// - No claim of the key has won before.
// - The winning attempt has been released, the request of the new claim has the same fingerprint,
//   and it was accepted more than reclaimDelay after the release. The delay ensures that a copy of
//   the request that was on its way when the caller was told "not-run" never runs.
// A claim whose request was accepted before the end of the delay restarts the delay. A claim by an
// attempt that has been released never wins.
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

// What a table knows about one key.
struct claim_view
{
    claim_status status = claim_status::Unclaimed;
    std::string attempt, router, fingerprint; // of the winning claim, empty if unclaimed
    unix_millis releasedAt{ 0 };              // only if released
    std::optional<stored_answer> answer;      // only if completed
};

struct claim_table_settings
{
    // Keys older than this cannot be claimed. The value must be shorter than the retention time of
    // the log, and exceed call_policy::keyWindow by the longest call timeout plus the clock skew.
    unix_millis keepFor = std::chrono::hours(20);
    // Time after a release during which no other claim of the key wins. It must exceed twice the
    // clock skew plus the time that a router takes to answer its caller after a release.
    unix_millis reclaimDelay = std::chrono::seconds(5);
    // Records of a key are written at most this long before the creation time in the key. The value
    // must be at least call_policy::maxKeyClockLead plus the clock skew.
    unix_millis maxKeyTimeLead = std::chrono::seconds(10);
    std::size_t maxKeys = 200000;
};

class claim_table
{
public:
    // firstOffset is the oldest offset that the log still has.
    claim_table(const claim_table_settings &settings, std::int64_t firstOffset);

    // Ignores records that were already applied, and counts those that cannot be parsed.
    void apply(const log_record &record);
    // All functions take scoped keys, see scopedKey.
    claim_view find(const std::string &key) const;
    // Returns true if the table may lack records of the key. A call with such a key must not be
    // sent.
    bool isTooOld(const std::string &key) const;
    // Drops the keys that are older than claim_table_settings::keepFor.
    void expire(unix_millis now);

    std::int64_t nextOffset() const { return m_nextOffset; }
    std::size_t size() const { return m_entries.size(); }
    int invalidRecords() const { return m_invalidRecords; }
    // Returns the state of all keys that are not too old.
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
    // Records of keys created at or before this time may be missing, so these keys are too old.
    unix_millis m_horizon = unix_millis::min();
    // True if the table started after the first record of the partition and a checkpoint can still
    // lower the horizon.
    bool m_isPartial;
    // The horizon that resulted from the first applied record.
    unix_millis m_startHorizon = unix_millis::min();
    bool m_hasRecords = false;
    std::unordered_map<std::string, entry> m_entries;
    std::multimap<unix_millis, std::string> m_keysByTime;
    // Records of keys created at or before the horizon, which are applied after the first
    // checkpoint.
    std::vector<log_record> m_pending;
    int m_invalidRecords = 0;
};

} // namespace fescuedeck

#endif
