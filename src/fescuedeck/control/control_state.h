// Fold of the control stream: the state that all routers agree on.
//
// Read the stream from nextOffset() and pass each page to applyPage. The fold is a pure function of
// the records, so the same prefix gives the same state in every router. Not thread-safe; copies are
// cheap next to the bundle, which they share.
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
    std::vector<approver_spec> firstApprovers; // sign the first bundle
    // Secret that all routers share. Checkpoints in the log count only with its MAC. Empty: every
    // checkpoint counts, which is for read-only users such as fescuedeckctl.
    std::string checkpointKey;
};

// What the fold ignored, since the process started. Not part of the state.
struct control_counters
{
    std::int64_t applied = 0;
    std::int64_t deferred = 0; // records read while the state was not complete
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
    // Restores the state that checkpoint() restated. The error is InvalidMessage.
    static result<control_state> fromCheckpoint(const std::string &state,
                                                control_options options = {});

    // Records below nextOffset() and records whose id was seen before are ignored. A record above
    // nextOffset() means that the log dropped those between. From then on the state stays as it
    // was, because whether a record is valid depends on those before it, until a checkpoint record
    // restates the missing ones: the state becomes the checkpoint's and nextOffset() falls to the
    // offset from which records must be read again. Use applyPage, which stops there.
    void apply(const log_record &record);
    // Adopts a state that an authenticated peer offers if it covers more of the stream than this
    // one. Returns whether it was adopted; the accepted version never falls.
    bool adopt(const std::string &state);
    // Goes on without the missing records, from the oldest that the log retains; nextOffset() falls
    // to it. Call it when the log was read to its end, no checkpoint restated the missing records
    // and no peer offers a state; otherwise a fleet that restarts late would never have a state.
    void skipMissingRecords(std::int64_t firstRetained);

    // Null before the first accepted bundle.
    std::shared_ptr<const bundle> acceptedBundle() const { return m_bundles.accepted().content; }
    std::int64_t acceptedVersion() const { return m_bundles.accepted().version(); }
    std::string acceptedHash() const { return m_bundles.accepted().hash; }
    // Offset of the sign-off that brought the bundle into force, or -1.
    std::int64_t acceptedOffset() const { return m_bundles.accepted().offset; }
    proposal_status proposalStatus(std::int64_t version, const std::string &hash) const
    {
        return m_bundles.statusOf(version, hash);
    }

    std::int64_t nextOffset() const { return m_nextOffset; }
    // False while records below nextOffset() are missing that no checkpoint has restated.
    bool isComplete() const { return m_completeTo == m_nextOffset; }
    const std::set<std::string> &drainedHosts() const { return m_drained.keys(); }
    bool isDrained(const std::string &host) const { return m_drained.contains(host); }
    bool isQuarantined(const std::string &fingerprint) const
    {
        return m_quarantined.contains(fingerprint);
    }
    const std::set<std::string> &quarantined() const { return m_quarantined.keys(); }
    // The newest lease, even if its term has passed.
    std::optional<lease> leaseOf(const std::string &model) const { return m_leases.find(model); }
    // The newest valid checkpoint record.
    const std::optional<checkpoint_position> &newestCheckpoint() const { return m_checkpoint; }
    const control_counters &counters() const { return m_counters; }

    // Restates the state as JSON. Two states are equal if and only if these texts are.
    std::string checkpoint() const;
    // Body of the checkpoint record to append. Only for a complete state.
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
    std::int64_t m_completeTo = 0; // every record below has been folded or restated
    detail::bundle_proposals m_bundles;
    detail::lease_table m_leases;
    detail::bounded_set m_drained;
    detail::bounded_set m_quarantined;
    detail::bounded_set m_recentIds;
    detail::bounded_set m_recentLeaseIds;
    std::optional<checkpoint_position> m_checkpoint;
    control_counters m_counters;
};

// Applies records that were read from state.nextOffset() on and returns the offset to read next.
std::int64_t applyPage(control_state &state, const std::vector<log_record> &records);

} // namespace fescuedeck

#endif
