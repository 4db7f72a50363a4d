// The state that all routers agree on, as replayed from the records of the control stream.
//
// Read the stream from nextOffset() and pass each page to applyPage. The state depends on nothing
// but the records, so the same prefix of the stream gives the same state in every router. Not
// thread-safe. Copies are cheap because they share the bundle, which is by far the largest part.
#ifndef FESCUEDECK_CONTROL_CONTROL_STATE_H
#define FESCUEDECK_CONTROL_CONTROL_STATE_H

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/log_record.h"
#include "fescuedeck/control/bounded_set.h"
#include "fescuedeck/control/bundle_proposals.h"
#include "fescuedeck/control/lease_table.h"

namespace fescuedeck {

struct control_options
{
    std::vector<approver_spec> firstApprovers; // may sign the first bundle
    // Secret that all routers share. A checkpoint in the log is valid only with a MAC under this
    // key. If the key is empty, no MAC is checked; this is for read-only users such as
    // fescuedeckctl.
    std::string checkpointKey;
};

// Numbers of records applied and ignored since the process started. They are not part of the state,
// so routers may differ in them.
struct control_counters
{
    std::int64_t applied = 0;
    std::int64_t deferred = 0; // records that were ignored because the state was not complete
    std::int64_t repeatedId = 0;
    std::int64_t unknownType = 0;
    std::int64_t malformed = 0;
    std::int64_t rejectedProposals = 0;
    std::int64_t staleSignOffs = 0;
    std::int64_t invalidSignOffs = 0;
    std::int64_t staleLeases = 0;
    std::int64_t invalidCheckpoints = 0;
    std::int64_t adoptedCheckpoints = 0;
    std::int64_t skippedGaps = 0; // calls of skipMissingRecords that had an effect
};

struct checkpoint_position
{
    std::int64_t offset = 0;
    unix_millis time{};
};

class control_state
{
public:
    explicit control_state(control_options options = {});
    // Restores the state from a text that checkpoint() returned. The error is InvalidMessage.
    static result<control_state> fromCheckpoint(const std::string &state,
                                                control_options options = {});

    // Applies one record. What happens depends on the record:
    // - A record below nextOffset(), or with the id of a recent record, is ignored.
    // - A record above nextOffset() shows that the log has dropped the records between. The state
    //   is then incomplete and ignores all records but checkpoints, because whether a record is
    //   valid depends on those before it.
    // - A valid checkpoint record that covers missing records replaces the state, which is then
    //   complete. nextOffset() falls to the offset from which records must be read again.
    // Call applyPage to apply several records, because it stops at such a checkpoint.
    void apply(const log_record &record);
    // Adopts a state that an authenticated peer offers, if it covers more of the stream than this
    // one. Returns whether it was adopted. The accepted version never decreases.
    bool adopt(const std::string &state);
    // Continues without the missing records: sets nextOffset() to firstRetained, the oldest offset
    // that the log retains, or to the end of the complete part if that is higher. Does nothing if
    // the state is complete. Call it when the log has been read to its end, no checkpoint covers
    // the missing records and no peer offers a state. Without it, routers that all restart after
    // the log has dropped records would never have a state.
    void skipMissingRecords(std::int64_t firstRetained);

    // Returns null before the first accepted bundle.
    std::shared_ptr<const bundle> acceptedBundle() const { return m_bundles.accepted().content; }
    std::int64_t acceptedVersion() const { return m_bundles.accepted().version(); }
    std::string acceptedHash() const { return m_bundles.accepted().hash; }
    // Returns the offset of the sign-off that brought the bundle into force, or -1 if none has.
    std::int64_t acceptedOffset() const { return m_bundles.accepted().offset; }
    proposal_status proposalStatus(std::int64_t version, const std::string &hash) const
    {
        return m_bundles.statusOf(version, hash);
    }

    std::int64_t nextOffset() const { return m_nextOffset; }
    // Returns false while records below nextOffset() are missing and not covered by a checkpoint.
    bool isComplete() const { return m_completeTo == m_nextOffset; }
    const std::set<std::string> &drainedHosts() const { return m_drained.keys(); }
    bool isDrained(const std::string &host) const { return m_drained.contains(host); }
    bool isQuarantined(const std::string &fingerprint) const
    {
        return m_quarantined.contains(fingerprint);
    }
    const std::set<std::string> &quarantined() const { return m_quarantined.keys(); }
    // Returns the newest lease of the model, even if it has expired.
    std::optional<lease> leaseOf(const std::string &model) const { return m_leases.find(model); }
    // Returns the position of the newest valid checkpoint record.
    const std::optional<checkpoint_position> &newestCheckpoint() const { return m_checkpoint; }
    const control_counters &counters() const { return m_counters; }

    // Returns the state as JSON. Two states are equal if and only if these texts are equal.
    std::string checkpoint() const;
    // Returns the body of a checkpoint record to append. Call it only if the state is complete.
    std::string checkpointBody() const;

private:
    void applyBody(const log_record &record);
    void applyRecord(const bundle_proposed &body, const log_record &record);
    void applyRecord(const bundle_signed &body, const log_record &record);
    void applyRecord(const lease_requested &body, const log_record &record);
    void applyRecord(const host_drained &body, const log_record &record);
    void applyRecord(const host_undrained &body, const log_record &record);
    void applyRecord(const request_quarantined &body, const log_record &record);
    void applyRecord(const checkpoint_taken &body, const log_record &record);
    void applyRecord(const unknown_record &body, const log_record &record);
    std::optional<control_state> restoreFromRecord(const checkpoint_taken &body,
                                                   const log_record &record) const;
    void replaceWith(const control_state &restored);
    bool restore(const std::string &state);

    control_options m_options;
    std::int64_t m_nextOffset = 0;
    // Every record below this offset has been applied, is covered by a checkpoint or was skipped by
    // skipMissingRecords.
    std::int64_t m_completeTo = 0;
    detail::bundle_proposals m_bundles;
    detail::lease_table m_leases;
    detail::bounded_set m_drained;
    detail::bounded_set m_quarantined;
    detail::bounded_set m_recentIds;
    detail::bounded_set m_recentLeaseIds;
    std::optional<checkpoint_position> m_checkpoint;
    control_counters m_counters;
};

// Applies records that were read from state.nextOffset() on. Returns the offset to read next, which
// can be lower than before, because the function stops at a checkpoint that replaces the state.
std::int64_t applyPage(control_state &state, const std::vector<log_record> &records);

} // namespace fescuedeck

#endif
