#include "fescuedeck/base/hash.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

namespace fescuedeck {
namespace {

constexpr std::string_view hexDigits = "0123456789abcdef";

int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

std::string_view asBytes(const unsigned char *data, std::size_t size)
{
    return { reinterpret_cast<const char *>(data), size };
}

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex(asBytes(digest.data(), size));
}

std::string hmacSha256Hex(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data(), &size);
    return toHex(asBytes(digest.data(), size));
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string toHex(std::string_view bytes)
{
    std::string hex;
    hex.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        hex.push_back(hexDigits[value >> 4U]);
        hex.push_back(hexDigits[value & 0xfU]);
    }
    return hex;
}

result<std::string> fromHex(std::string_view hex)
{
    if (hex.size() % 2 != 0)
        return makeFailure(errc::InvalidMessage, "hexadecimal text has an odd length");
    std::string bytes;
    bytes.reserve(hex.size() / 2);
    for (std::size_t i = 0; i < hex.size(); i += 2) {
        const int high = hexValue(hex[i]);
        const int low = hexValue(hex[i + 1]);
        if (high < 0 || low < 0)
            return makeFailure(errc::InvalidMessage, "text is not hexadecimal");
        bytes.push_back(static_cast<char>(high * 16 + low));
    }
    return bytes;
}

std::uint64_t stableHash(std::string_view data, std::uint64_t seed)
{
    return XXH64(data.data(), data.size(), seed);
}

} // namespace fescuedeck
