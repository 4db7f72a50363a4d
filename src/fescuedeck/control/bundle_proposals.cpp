#include "fescuedeck/control/bundle_proposals.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/bundle/canonical_bundle.h"
#include "fescuedeck/bundle/check_bundle.h"
#include "fescuedeck/bundle/signature.h"

namespace fescuedeck {
namespace {

using json = nlohmann::json;

constexpr name_table<proposal_state, 5> stateNames = { {
        { proposal_state::Unknown, "unknown" },
        { proposal_state::Pending, "pending" },
        { proposal_state::Accepted, "accepted" },
        { proposal_state::Superseded, "superseded" },
        { proposal_state::Rejected, "rejected" },
} };

// At most a handful of operators propose bundles at the same time. These limits bound the memory of
// a router.
constexpr std::size_t maxPending = 8;
constexpr std::size_t maxPendingBytes = 16U << 20U;
constexpr std::size_t maxOutcomes = 256;

// Returns the parsed content, or the reason why it is invalid.
result<std::shared_ptr<const bundle>> readContent(std::int64_t version, const std::string &hash,
                                                  const std::string &content)
{
    if (bundleHash(content) != hash)
        return makeFailure(errc::InvalidBundle, "the hash does not match the content");
    const auto parsed = parseCanonicalBundle(content);
    if (!parsed)
        return parsed.error();
    if (parsed.value().version != version)
        return makeFailure(errc::InvalidBundle, "the version does not match the content");
    const std::vector<failure> failures = checkBundle(parsed.value());
    if (!failures.empty())
        return failures.front();
    return std::make_shared<const bundle>(parsed.value());
}

result<std::shared_ptr<const bundle>> readContent(const json &entry)
{
    return readContent(entry.at("version").get<std::int64_t>(), entry.at("hash").get<std::string>(),
                       entry.at("content").get<std::string>());
}

} // namespace

std::string proposalStateName(proposal_state state)
{
    return std::string(nameOf(stateNames, state));
}

namespace detail {

bundle_proposals::bundle_proposals(std::vector<approver_spec> firstApprovers)
    : m_firstApprovers(std::move(firstApprovers))
{
}

bool bundle_proposals::propose(const bundle_proposed &proposed)
{
    const proposal_state known = statusOf(proposed.version, proposed.hash).state;
    // A rejection is not final, because the rejected record may have had other content under the
    // same hash.
    if (known != proposal_state::Unknown && known != proposal_state::Rejected)
        return true;
    const auto content = readContent(proposed.version, proposed.hash, proposed.content);
    if (!content || content.value()->parent != proposed.parent) {
        const std::string reason
                = content ? "the parent does not match the content" : content.error().detail;
        setOutcome({ proposed.version, proposed.hash, proposal_state::Rejected, reason });
        return false;
    }
    if (isSuperseded(*content.value())) {
        setOutcome({ proposed.version, proposed.hash, proposal_state::Superseded, "" });
        return true;
    }
    m_pending.push_back({ content.value(), proposed.hash, proposed.content.size(), "" });
    evictPending();
    return true;
}

sign_off_result bundle_proposals::sign(const bundle_signed &signOff, std::int64_t offset)
{
    if (signOff.version == m_accepted.version() && signOff.hash == m_accepted.hash)
        return sign_off_result::Repeated;
    proposal *pending = findPending(signOff.version, signOff.hash);
    if (pending == nullptr)
        return sign_off_result::Stale;
    if (pending->content->parent != m_accepted.version()) {
        pending->reason = "its parent " + std::to_string(pending->content->parent)
                          + " is not in force; sign the bundle again once it is";
        return sign_off_result::Stale;
    }
    const approver_spec *approver = findApprover(signOff.keyId);
    if (approver == nullptr
        || !verifySignature(signOff.hash, signOff.signature, approver->publicKey)) {
        // The proposal stays pending, because an invalid sign-off must not prevent an approver from
        // signing it.
        pending->reason = approver == nullptr ? "it was signed with a key that is not an "
                                                "approver's of the bundle in force"
                                              : "its signature does not verify";
        return sign_off_result::Invalid;
    }
    const proposal winner = *pending;
    accept(winner, signOff, offset);
    return sign_off_result::Accepted;
}

proposal_status bundle_proposals::statusOf(std::int64_t version, const std::string &hash) const
{
    if (m_accepted.content && version == m_accepted.version() && hash == m_accepted.hash)
        return { proposal_state::Accepted, 0, "" };
    for (const proposal &pending : m_pending) {
        if (pending.content->version == version && pending.hash == hash)
            return { proposal_state::Pending, 0, pending.reason };
    }
    const outcome *known = findOutcome(version, hash);
    if (known == nullptr)
        return {};
    const bool isSuperseded = known->state == proposal_state::Superseded;
    return { known->state, isSuperseded ? m_accepted.version() : 0, known->reason };
}

bundle_proposals::proposal *bundle_proposals::findPending(std::int64_t version,
                                                          const std::string &hash)
{
    for (proposal &pending : m_pending) {
        if (pending.content->version == version && pending.hash == hash)
            return &pending;
    }
    return nullptr;
}

const bundle_proposals::outcome *bundle_proposals::findOutcome(std::int64_t version,
                                                               const std::string &hash) const
{
    for (const outcome &entry : m_outcomes) {
        if (entry.version == version && entry.hash == hash)
            return &entry;
    }
    return nullptr;
}

void bundle_proposals::setOutcome(const outcome &entry)
{
    m_outcomes.erase(std::remove_if(m_outcomes.begin(), m_outcomes.end(),
                                    [&](const outcome &other) {
                                        return other.version == entry.version
                                               && other.hash == entry.hash;
                                    }),
                     m_outcomes.end());
    m_outcomes.push_back(entry);
    if (m_outcomes.size() > maxOutcomes)
        m_outcomes.pop_front();
}

// Returns true if the bundle can no longer come into force.
bool bundle_proposals::isSuperseded(const bundle &content) const
{
    return content.version <= m_accepted.version() || content.parent < m_accepted.version();
}

const approver_spec *bundle_proposals::findApprover(const std::string &keyId) const
{
    const auto &approvers = m_accepted.content ? m_accepted.content->approvers : m_firstApprovers;
    for (const approver_spec &approver : approvers) {
        if (approver.keyId == keyId)
            return &approver;
    }
    return nullptr;
}

void bundle_proposals::evictPending()
{
    std::size_t bytes = 0;
    for (const proposal &pending : m_pending)
        bytes += pending.size;
    while (m_pending.size() > 1 && (m_pending.size() > maxPending || bytes > maxPendingBytes)) {
        const proposal &oldest = m_pending.front();
        bytes -= oldest.size;
        setOutcome({ oldest.content->version, oldest.hash, proposal_state::Rejected,
                     "too many proposals were pending; propose it again" });
        m_pending.pop_front();
    }
}

void bundle_proposals::dropSuperseded()
{
    std::deque<proposal> remaining;
    for (const proposal &pending : m_pending) {
        if (isSuperseded(*pending.content))
            setOutcome({ pending.content->version, pending.hash, proposal_state::Superseded, "" });
        else
            remaining.push_back(pending);
    }
    m_pending = std::move(remaining);
}

void bundle_proposals::accept(const proposal &winner, const bundle_signed &signOff,
                              std::int64_t offset)
{
    m_accepted = { winner.content, winner.hash, offset, signOff.keyId, signOff.signature };
    dropSuperseded();
    setOutcome({ winner.content->version, winner.hash, proposal_state::Accepted, "" });
}

json bundle_proposals::toJson() const
{
    json state = { { "pending", json::array() }, { "outcomes", json::array() } };
    if (m_accepted.content)
        state["accepted"] = { { "version", m_accepted.version() },
                              { "hash", m_accepted.hash },
                              { "offset", m_accepted.offset },
                              { "key_id", m_accepted.keyId },
                              { "signature", m_accepted.signature },
                              { "content", canonicalBundle(*m_accepted.content) } };
    for (const proposal &pending : m_pending)
        state["pending"].push_back({ { "version", pending.content->version },
                                     { "hash", pending.hash },
                                     { "reason", pending.reason },
                                     { "content", canonicalBundle(*pending.content) } });
    for (const outcome &entry : m_outcomes)
        state["outcomes"].push_back({ { "version", entry.version },
                                      { "hash", entry.hash },
                                      { "state", proposalStateName(entry.state) },
                                      { "reason", entry.reason } });
    return state;
}

bool bundle_proposals::restore(const json &state)
{
    if (state.contains("accepted")) {
        const json &entry = state.at("accepted");
        const auto content = readContent(entry);
        if (!content)
            return false;
        m_accepted
                = { content.value(), entry.at("hash").get<std::string>(),
                    entry.at("offset").get<std::int64_t>(), entry.at("key_id").get<std::string>(),
                    entry.at("signature").get<std::string>() };
    }
    for (const json &entry : state.at("outcomes")) {
        const auto known = valueOf(stateNames, entry.at("state").get<std::string>());
        setOutcome({ entry.at("version").get<std::int64_t>(), entry.at("hash").get<std::string>(),
                     known.value_or(proposal_state::Unknown),
                     entry.at("reason").get<std::string>() });
    }
    for (const json &entry : state.at("pending")) {
        const auto content = readContent(entry);
        if (!content)
            return false;
        m_pending.push_back({ content.value(), entry.at("hash").get<std::string>(),
                              entry.at("content").get_ref<const std::string &>().size(),
                              entry.at("reason").get<std::string>() });
    }
    evictPending();
    return true;
}

void bundle_proposals::replaceIfNewer(const accepted_bundle &other)
{
    if (other.version() <= m_accepted.version())
        return;
    m_accepted = other;
    dropSuperseded();
}

} // namespace detail
} // namespace fescuedeck
