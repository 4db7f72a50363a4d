// Proposed and accepted bundles, folded from the control stream.
#ifndef FESCUEDECK_CONTROL_BUNDLE_PROPOSALS_H
#define FESCUEDECK_CONTROL_BUNDLE_PROPOSALS_H

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "fescuedeck/bundle/bundle.h"
#include "fescuedeck/control/control_record.h"

namespace fescuedeck {

enum class proposal_state {
    Unknown,    // not proposed, or forgotten
    Pending,    // proposed and valid; not signed by an approver while its parent was in force
    Accepted,   // came into force, perhaps replaced since
    Superseded, // another bundle came into force on its parent
    Rejected,   // its content is not valid
};

std::string proposalStateName(proposal_state state);

struct proposal_status
{
    proposal_state state = proposal_state::Unknown;
    std::int64_t rebaseOn = 0; // the version in force, if Superseded
    std::string
            reason; // of a rejection, or why the last sign-off of a pending bundle did not count
};

struct accepted_bundle
{
    std::shared_ptr<const bundle> content; // null before the first
    std::string hash;
    std::int64_t offset = -1; // of the sign-off that brought it into force
    std::string keyId;
    std::string signature;

    std::int64_t version() const { return content ? content->version : 0; }
};

namespace detail {

enum class sign_off_result {
    Accepted,
    Repeated, // the bundle is in force already
    Stale,    // the proposal is unknown, superseded, rejected or not next
    Invalid,  // the key is not an approver's or the signature does not verify
};

// The accepted version only increases, whatever is applied.
class bundle_proposals
{
public:
    // The approvers of the settings sign the first bundle; the bundle in force names those of the
    // next.
    explicit bundle_proposals(std::vector<approver_spec> firstApprovers);

    // Returns false if the content is not valid.
    bool propose(const bundle_proposed &proposal);
    sign_off_result sign(const bundle_signed &signOff, std::int64_t offset);

    const accepted_bundle &accepted() const { return m_accepted; }
    proposal_status statusOf(std::int64_t version, const std::string &hash) const;

    nlohmann::json toJson() const;
    // For a new ledger only. Returns false, or throws nlohmann::json::exception, if a bundle in the
    // state is not valid.
    bool restore(const nlohmann::json &state);
    // Replaces the bundle in force if the other is newer.
    void replaceIfNewer(const accepted_bundle &other);

private:
    struct proposal
    {
        std::shared_ptr<const bundle> content;
        std::string hash;
        std::size_t size = 0; // of the canonical text
        std::string reason;
    };
    struct outcome
    {
        std::int64_t version = 0;
        std::string hash;
        proposal_state state = proposal_state::Unknown;
        std::string reason;
    };

    proposal *findPending(std::int64_t version, const std::string &hash);
    const outcome *findOutcome(std::int64_t version, const std::string &hash) const;
    void setOutcome(const outcome &entry);
    bool isSuperseded(const bundle &content) const;
    const approver_spec *findApprover(const std::string &keyId) const;
    void evictPending();
    void dropSuperseded();
    void accept(const proposal &winner, const bundle_signed &signOff, std::int64_t offset);

    std::vector<approver_spec> m_firstApprovers;
    accepted_bundle m_accepted;
    std::deque<proposal> m_pending; // oldest first
    std::deque<outcome> m_outcomes; // oldest first
};

} // namespace detail
} // namespace fescuedeck

#endif
