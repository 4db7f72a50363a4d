#include "fescuedeck/bundle/signature.h"

#include <array>
#include <memory>
#include <optional>

#include <openssl/evp.h>

#include "fescuedeck/base/hash.h"

namespace fescuedeck {
namespace {

constexpr std::size_t keySize = 32;
constexpr std::size_t signatureSize = 64;
constexpr const char *messageLabel = "fescuedeck bundle v1:";

struct key_deleter
{
    void operator()(EVP_PKEY *key) const { EVP_PKEY_free(key); }
};
using key_ptr = std::unique_ptr<EVP_PKEY, key_deleter>;

struct context_deleter
{
    void operator()(EVP_MD_CTX *context) const { EVP_MD_CTX_free(context); }
};
using context_ptr = std::unique_ptr<EVP_MD_CTX, context_deleter>;

const unsigned char *bytesOf(const std::string &text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

// Bytes of lower-case hex of a fixed size. Upper case is refused so that a key has one text.
std::optional<std::string> decodeFixed(const std::string &hex, std::size_t size)
{
    const auto bytes = fromHex(hex);
    if (!bytes || bytes.value().size() != size || toHex(bytes.value()) != hex)
        return std::nullopt;
    return bytes.value();
}

key_ptr loadPrivateKey(const std::string &hex)
{
    const auto bytes = decodeFixed(hex, keySize);
    if (!bytes)
        return nullptr;
    return key_ptr(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, bytesOf(*bytes),
                                                bytes->size()));
}

key_ptr loadPublicKey(const std::string &hex)
{
    const auto bytes = decodeFixed(hex, keySize);
    if (!bytes)
        return nullptr;
    return key_ptr(
            EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytesOf(*bytes), bytes->size()));
}

using raw_key = std::array<unsigned char, keySize>;

std::string hexOf(const raw_key &key)
{
    return toHex({ reinterpret_cast<const char *>(key.data()), key.size() });
}

result<std::string> publicKeyOf(const EVP_PKEY *key)
{
    raw_key bytes{};
    std::size_t size = bytes.size();
    if (EVP_PKEY_get_raw_public_key(key, bytes.data(), &size) != 1)
        return makeFailure(errc::InvalidSignature, "OpenSSL cannot derive the public key");
    return hexOf(bytes);
}

} // namespace

result<key_pair> generateKeyPair()
{
    const key_ptr key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
    raw_key bytes{};
    std::size_t size = bytes.size();
    if (!key || EVP_PKEY_get_raw_private_key(key.get(), bytes.data(), &size) != 1)
        return makeFailure(errc::Internal, "OpenSSL cannot generate an Ed25519 key");
    const auto publicKey = publicKeyOf(key.get());
    if (!publicKey)
        return publicKey.error();
    return key_pair{ hexOf(bytes), publicKey.value() };
}

result<std::string> publicKeyOf(const std::string &privateKeyHex)
{
    const key_ptr key = loadPrivateKey(privateKeyHex);
    if (!key)
        return makeFailure(errc::InvalidSignature,
                           "the private key is not 64 lower-case hexadecimal digits");
    return publicKeyOf(key.get());
}

bool isPublicKey(const std::string &publicKeyHex)
{
    return loadPublicKey(publicKeyHex) != nullptr;
}

result<std::string> signHash(const std::string &hash, const std::string &privateKeyHex)
{
    const key_ptr key = loadPrivateKey(privateKeyHex);
    if (!key)
        return makeFailure(errc::InvalidSignature,
                           "the private key is not 64 lower-case hexadecimal digits");
    const std::string message = messageLabel + hash;
    const context_ptr context(EVP_MD_CTX_new());
    std::array<unsigned char, signatureSize> signature{};
    std::size_t size = signature.size();
    if (EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) != 1
        || EVP_DigestSign(context.get(), signature.data(), &size, bytesOf(message), message.size())
                   != 1)
        return makeFailure(errc::InvalidSignature, "OpenSSL cannot sign with the private key");
    return toHex({ reinterpret_cast<const char *>(signature.data()), size });
}

bool verifySignature(const std::string &hash, const std::string &signatureHex,
                     const std::string &publicKeyHex)
{
    const key_ptr key = loadPublicKey(publicKeyHex);
    const auto signature = decodeFixed(signatureHex, signatureSize);
    if (!key || !signature)
        return false;
    const std::string message = messageLabel + hash;
    const context_ptr context(EVP_MD_CTX_new());
    return EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1
           && EVP_DigestVerify(context.get(), bytesOf(*signature), signature->size(),
                               bytesOf(message), message.size())
                      == 1;
}

} // namespace fescuedeck
