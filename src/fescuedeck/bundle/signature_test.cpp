#include "fescuedeck/bundle/signature.h"

#include <catch2/catch.hpp>

namespace fescuedeck {

TEST_CASE("a private key gives the public key of the published test vector", "[bundle]")
{
    // RFC 8032, section 7.1, test 1.
    CHECK(publicKeyOf("9d61b19deffd5a60ba844af492ec2cc44449c5697b326919703bac031cae7f60").value()
          == "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a");
    CHECK_FALSE(publicKeyOf("9d61"));
}

TEST_CASE("a signature holds for its hash and key only", "[bundle]")
{
    const key_pair keys = generateKeyPair().value();
    const key_pair otherKeys = generateKeyPair().value();
    const std::string signature = signHash("abc", keys.privateKey).value();
    CHECK(verifySignature("abc", signature, keys.publicKey));
    CHECK_FALSE(verifySignature("abd", signature, keys.publicKey));
    CHECK_FALSE(verifySignature("abc", signature, otherKeys.publicKey));
    CHECK_FALSE(verifySignature("abc", "00" + signature.substr(2), keys.publicKey));
    CHECK_FALSE(verifySignature("abc", "", keys.publicKey));
    CHECK_FALSE(verifySignature("abc", signature, ""));
    CHECK_FALSE(signHash("abc", "zz"));
}

} // namespace fescuedeck
