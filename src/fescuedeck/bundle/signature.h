// Ed25519 signatures of bundle hashes. Keys and signatures are lower-case hex.
#ifndef FESCUEDECK_BUNDLE_SIGNATURE_H
#define FESCUEDECK_BUNDLE_SIGNATURE_H

#include <string>

#include "fescuedeck/base/error.h"

namespace fescuedeck {

struct key_pair
{
    std::string privateKey; // 32 bytes
    std::string publicKey;  // 32 bytes
};

// Draws from OpenSSL's random generator.
result<key_pair> generateKeyPair();
// The public key that belongs to a private one; InvalidSignature if the text is not a key.
result<std::string> publicKeyOf(const std::string &privateKeyHex);
bool isPublicKey(const std::string &publicKeyHex);

// The signed message is a fixed label followed by the hash, so that the signature is of no use in
// another protocol. The error is InvalidSignature.
result<std::string> signHash(const std::string &hash, const std::string &privateKeyHex);
bool verifySignature(const std::string &hash, const std::string &signatureHex,
                     const std::string &publicKeyHex);

} // namespace fescuedeck

#endif
