// Proposed and accepted bundles, as replayed from the control stream.
//
// A bundle is proposed by one record and signed by an approver in another. The first valid sign-off
// brings it into force if its parent is the bundle in force at that point of the stream.
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
    Unknown,    // not proposed, or evicted from the bounded list of outcomes
    Pending,    // proposed and valid, but no approver has signed it while its parent was in force
    Accepted,   // came into force; a later bundle may have replaced it
    Superseded, // a bundle with a higher version than its parent came into force
    Rejected,   // its content is not valid, or too many proposals were pending
};

std::string proposalStateName(proposal_state state);

struct proposal_status
{
    proposal_state state = proposal_state::Unknown;
    std::int64_t rebaseOn = 0; // if Superseded, the version in force, which is the new parent
    // If Rejected, the reason for it. If Pending, why the last sign-off had no effect, or empty.
    std::string reason;
};

struct accepted_bundle
{
    std::shared_ptr<const bundle> content; // null before the first accepted bundle
    std::string hash;
    std::int64_t offset = -1; // offset of the sign-off record that brought it into force
    std::string keyId;
    std::string signature;

    std::int64_t version() const { return content ? content->version : 0; }
};

namespace detail {

enum class sign_off_result {
    Accepted,
    Repeated, // the bundle is already in force
    Stale,    // the proposal is not pending, or its parent is not in force
    Invalid,  // the key belongs to no approver or the signature does not verify
};

// Holds the bundle in force, the pending proposals and the outcomes of earlier ones. The version in
// force never decreases, whatever records are applied. Not thread-safe.
class bundle_proposals
{
public:
    // firstApprovers, which come from the settings, may sign the first bundle. Every later bundle
    // must be signed by an approver that the bundle in force names.
    explicit bundle_proposals(std::vector<approver_spec> firstApprovers);

    // Adds a proposal. Returns false if its content is not valid.
    bool propose(const bundle_proposed &proposal);
    // Applies a sign-off, whose record is at this offset of the control stream.
    sign_off_result sign(const bundle_signed &signOff, std::int64_t offset);

    const accepted_bundle &accepted() const { return m_accepted; }
    proposal_status statusOf(std::int64_t version, const std::string &hash) const;

    nlohmann::json toJson() const;
    // Loads a state that toJson has written; call it on a new object only. If the state has another
    // form or a bundle in it is not valid, it returns false or throws nlohmann::json::exception.
    bool restore(const nlohmann::json &state);
    // Replaces the bundle in force if the other is newer.
    void replaceIfNewer(const accepted_bundle &other);

private:
    struct proposal
    {
        std::shared_ptr<const bundle> content;
        std::string hash;
        std::size_t size = 0; // bytes of the canonical text
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
