// Mutual authentication of two routers by a shared secret. Use one object for each connection; it
// does no input or output.
//
// Both sides send a hello with a fresh nonce. The initiator then proves that it knows the secret,
// and after that the acceptor does, so that an unauthenticated caller gets no proof from an
// acceptor. A proof is the HMAC-SHA256 of both hellos with the prover's first, so that a proof sent
// back to its sender is refused. The handshake authenticates the peer at the start; it does not
// protect later messages from a party that can change them on the way.
#ifndef FESCUEDECK_PEER_PEER_HANDSHAKE_H
#define FESCUEDECK_PEER_PEER_HANDSHAKE_H

#include <optional>
#include <string>

#include "fescuedeck/base/error.h"
#include "fescuedeck/peer/peer_message.h"

namespace fescuedeck {

enum class handshake_role { Initiator, Acceptor };

class peer_handshake
{
public:
    // own carries a nonce that no other connection uses. An empty secret authenticates nobody.
    peer_handshake(handshake_role role, peer_hello own, std::string secret);

    // The first message to be sent.
    const peer_hello &hello() const { return m_own; }

    // Both return the proof to be sent next, if any. After a failure (Unauthenticated or, for a
    // message out of order, InvalidMessage) the handshake stays failed.
    result<std::optional<peer_proof>> onHello(const peer_hello &hello);
    result<std::optional<peer_proof>> onProof(const peer_proof &proof);

    bool isComplete() const { return m_state == state::Complete; }
    // The peer's hello; authentic once the handshake is complete.
    const peer_hello &peer() const { return m_peer; }
    // Whether the other end is this process, to which there is no need to connect again.
    bool isSelf() const;

private:
    enum class state { AwaitsHello, AwaitsProof, Complete, Failed };

    failure fail(errc kind, const std::string &detail);
    peer_proof prove(const peer_hello &prover, const peer_hello &verifier) const;

    const handshake_role m_role;
    const peer_hello m_own;
    const std::string m_secret;
    state m_state = state::AwaitsHello;
    peer_hello m_peer;
};

} // namespace fescuedeck

#endif
