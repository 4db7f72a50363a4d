// Hashes and their text forms. Use sha256Hex where a hash is compared with one from outside
// (bundles, bearer tokens) and stableHash where only spread matters (partitions, replica choice).
#ifndef FESCUEDECK_BASE_HASH_H
#define FESCUEDECK_BASE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

#include "fescuedeck/base/error.h"

namespace fescuedeck {

std::string sha256Hex(std::string_view data);
// HMAC-SHA256, as lower-case hex.
std::string hmacSha256Hex(std::string_view key, std::string_view data);
// Compares in time that does not depend on where the strings differ.
bool equalConstantTime(std::string_view a, std::string_view b);

std::string toHex(std::string_view bytes);
result<std::string> fromHex(std::string_view hex);

// The same on every host and in every version; not for secrets.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

} // namespace fescuedeck

#endif
