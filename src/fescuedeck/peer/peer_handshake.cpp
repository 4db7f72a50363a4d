#include "fescuedeck/peer/peer_handshake.h"

#include "fescuedeck/base/hash.h"

namespace fescuedeck {
namespace {

// Sets these HMACs apart from others made with the same secret, and one version from the next.
const std::string proofContext = "fescuedeck peer proof 1";
constexpr std::size_t minNonceBytes = 16;

// The length in front keeps two fields from being read as one.
std::string withLength(const std::string &field)
{
    return std::to_string(field.size()) + ":" + field;
}

std::string transcriptOf(const peer_hello &hello)
{
    return withLength(hello.deployment) + withLength(hello.cell) + withLength(hello.router)
           + withLength(hello.incarnation) + withLength(hello.nonce);
}

} // namespace

peer_handshake::peer_handshake(handshake_role role, peer_hello own, std::string secret)
    : m_role(role)
    , m_own(std::move(own))
    , m_secret(std::move(secret))
{
}

result<std::optional<peer_proof>> peer_handshake::onHello(const peer_hello &hello)
{
    if (m_state != state::AwaitsHello)
        return fail(errc::InvalidMessage, "sent a second hello");
    m_peer = hello;
    if (m_secret.empty())
        return fail(errc::Unauthenticated, "cannot be authenticated without a secret");
    if (hello.deployment != m_own.deployment)
        return fail(errc::Unauthenticated, "belongs to another deployment");
    if (hello.router == m_own.router)
        return fail(errc::Unauthenticated, "has the id of this router");
    if (hello.nonce.size() < minNonceBytes || hello.nonce == m_own.nonce)
        return fail(errc::Unauthenticated, "has no nonce of its own");
    m_state = state::AwaitsProof;
    if (m_role == handshake_role::Acceptor)
        return std::optional<peer_proof>();
    return std::optional<peer_proof>(prove(m_own, m_peer));
}

result<std::optional<peer_proof>> peer_handshake::onProof(const peer_proof &proof)
{
    if (m_state != state::AwaitsProof)
        return fail(errc::InvalidMessage, "sent a proof out of order");
    if (!equalConstantTime(proof.hmac, prove(m_peer, m_own).hmac))
        return fail(errc::Unauthenticated, "does not know the peers' secret");
    m_state = state::Complete;
    if (m_role == handshake_role::Initiator)
        return std::optional<peer_proof>();
    return std::optional<peer_proof>(prove(m_own, m_peer));
}

bool peer_handshake::isSelf() const
{
    return m_peer.router == m_own.router && m_peer.incarnation == m_own.incarnation;
}

failure peer_handshake::fail(errc kind, const std::string &detail)
{
    m_state = state::Failed;
    const std::string name = m_peer.router.empty() ? "peer" : "peer " + m_peer.router;
    return makeFailure(kind, name + " " + detail);
}

peer_proof peer_handshake::prove(const peer_hello &prover, const peer_hello &verifier) const
{
    const std::string transcript
            = withLength(proofContext) + transcriptOf(prover) + transcriptOf(verifier);
    return { hmacSha256Hex(m_secret, transcript) };
}

} // namespace fescuedeck
