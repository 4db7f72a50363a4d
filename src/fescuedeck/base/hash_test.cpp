#include "fescuedeck/base/hash.h"

#include <catch2/catch.hpp>

namespace fescuedeck {

TEST_CASE("hashes match published test vectors", "[base]")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    // RFC 4231, test case 2.
    CHECK(hmacSha256Hex("Jefe", "what do ya want for nothing?")
          == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST_CASE("hexadecimal text is checked", "[base]")
{
    CHECK(fromHex(toHex(std::string("\0\xff\x10", 3))).value() == std::string("\0\xff\x10", 3));
    CHECK_FALSE(fromHex("abc"));
    CHECK_FALSE(fromHex("zz"));
}

} // namespace fescuedeck
