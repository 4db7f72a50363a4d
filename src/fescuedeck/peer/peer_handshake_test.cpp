#include "fescuedeck/peer/peer_handshake.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

peer_hello helloOf(const std::string &router, const std::string &nonce)
{
    return { "deployment", "cell", router, router + "-incarnation", nonce };
}

const std::string nonceA = "0123456789abcdef-a";
const std::string nonceB = "0123456789abcdef-b";

struct pair_of_routers
{
    explicit pair_of_routers(const std::string &secretOfB = "secret")
        : a(handshake_role::Initiator, helloOf("a", nonceA), "secret")
        , b(handshake_role::Acceptor, helloOf("b", nonceB), secretOfB)
    {
    }

    peer_handshake a;
    peer_handshake b;
};

} // namespace

TEST_CASE("routers with the same secret authenticate each other", "[peer]")
{
    pair_of_routers routers;
    CHECK_FALSE(routers.b.onHello(routers.a.hello()).value()); // no proof for a stranger
    const auto proofOfA = routers.a.onHello(routers.b.hello()).value();
    REQUIRE(proofOfA);
    const auto proofOfB = routers.b.onProof(*proofOfA).value();
    REQUIRE(proofOfB);
    CHECK(routers.b.isComplete());
    CHECK_FALSE(routers.a.isComplete());
    CHECK_FALSE(routers.a.onProof(*proofOfB).value());
    CHECK(routers.a.isComplete());
    CHECK(routers.a.peer().router == "b");
    CHECK_FALSE(routers.a.isSelf());
}

TEST_CASE("a wrong secret is refused by both sides", "[peer]")
{
    const std::string secretOfB = GENERATE(as<std::string>(), "other", "");
    pair_of_routers routers(secretOfB);
    const auto proofOfA = routers.a.onHello(routers.b.hello()).value();
    if (const auto ready = routers.b.onHello(routers.a.hello())) {
        const auto refusal = routers.b.onProof(*proofOfA);
        REQUIRE_FALSE(refusal);
        CHECK(refusal.error().code == errc::Unauthenticated);
    }
    CHECK_FALSE(routers.b.isComplete());
    // The failure stands, even if a right proof follows.
    CHECK_FALSE(routers.b.onProof(*proofOfA));
    CHECK_FALSE(routers.a.onProof(*proofOfA));
    CHECK_FALSE(routers.a.isComplete());
}

TEST_CASE("a reflected hello or proof is refused", "[peer]")
{
    // Guards against a stranger that sends back what it gets.
    pair_of_routers routers;
    CHECK_FALSE(routers.a.onHello(routers.a.hello()));
    CHECK(routers.a.isSelf());

    pair_of_routers others;
    const auto proofOfA = others.a.onHello(helloOf("stranger", nonceB)).value();
    const auto reflected = others.a.onProof(*proofOfA);
    REQUIRE_FALSE(reflected);
    CHECK(reflected.error().code == errc::Unauthenticated);

    pair_of_routers sameNonce;
    CHECK_FALSE(sameNonce.a.onHello(helloOf("stranger", nonceA)));
}

TEST_CASE("a proof does not fit another connection or identity", "[peer]")
{
    pair_of_routers routers;
    const auto proofOfA = routers.a.onHello(routers.b.hello()).value();
    peer_handshake later(handshake_role::Acceptor, helloOf("b", "0123456789abcdef-c"), "secret");
    REQUIRE(later.onHello(routers.a.hello()));
    CHECK_FALSE(later.onProof(*proofOfA));
    REQUIRE(routers.b.onHello(helloOf("c", nonceA)));
    CHECK_FALSE(routers.b.onProof(*proofOfA));
}

TEST_CASE("messages out of order and other deployments are refused", "[peer]")
{
    pair_of_routers routers;
    CHECK(routers.a.onProof({ "00" }).error().code == errc::InvalidMessage);
    CHECK_FALSE(routers.a.onHello(routers.b.hello()));
    pair_of_routers others;
    peer_hello foreign = helloOf("b", nonceB);
    foreign.deployment = "other";
    CHECK(others.a.onHello(foreign).error().code == errc::Unauthenticated);
}

} // namespace fescuedeck
