#include "fescuedeck/gateway/relay_directory.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{ seconds(1000) };
const time_point later = start + seconds(10);

relay_offer offerOf(const std::string &address, const std::string &domain = "a")
{
    return { address, domain, true };
}

std::string chosen(const relay_directory &relays, time_point now,
                   std::set<std::string> excluded = {})
{
    const endpoint_ptr peer = relays.choose({ "a", std::move(excluded), now, 7 });
    return peer ? peer->entry.id : "";
}

} // namespace

// Guards against requests to peers that cannot serve them.
TEST_CASE("only a live peer that vouches and has an address relays", "[gateway][relay]")
{
    relay_directory relays;
    CHECK_FALSE(relays.hasVouchingPeer(start));
    relays.setOffer("h1", { "ip:1", "a", false }, later);
    relays.setOffer("h2", { "", "a", true }, later);
    CHECK_FALSE(relays.hasVouchingPeer(start));
    CHECK(chosen(relays, start).empty());
    relays.setOffer("h3", offerOf("ip:3"), later);
    CHECK(relays.hasVouchingPeer(start));
    CHECK(chosen(relays, start) == "h3");
    CHECK(chosen(relays, start, { "h3" }).empty());
    CHECK(chosen(relays, later).empty());
    CHECK_FALSE(relays.hasVouchingPeer(later));
}

// Guards against all relayed requests going to one peer, or needlessly to another domain.
TEST_CASE("the least busy peer relays, the own domain first", "[gateway][relay]")
{
    relay_directory relays;
    relays.setOffer("h1", offerOf("ip:1", "b"), later);
    relays.setOffer("h2", offerOf("ip:2", "a"), later);
    const endpoint_ptr near = relays.choose({ "a", {}, start, 7 });
    CHECK(near->entry.id == "h2");
    CHECK(near->entry.address == "ip:2");
    ++near->inFlight;
    CHECK(chosen(relays, start) == "h1");
    // The count survives the next digest, and the offer's expiry while a request is in flight.
    relays.setOffer("h2", offerOf("ip:2", "a"), start);
    relays.expire(start);
    relays.setOffer("h2", offerOf("ip:2", "a"), later);
    CHECK(chosen(relays, start) == "h1");

    // Different requests choose different peers of equal load.
    relays.setOffer("h3", offerOf("ip:3", "b"), later);
    std::set<std::string> used;
    for (std::uint64_t hash = 0; hash < 20; ++hash)
        used.insert(relays.choose({ "a", {}, start, hash })->entry.id);
    CHECK(used == std::set<std::string>{ "h1", "h3" });
}

// Guards against requests that are refused because the only peers with links are stopping, and
// against more work than needed at a peer that will end soon.
TEST_CASE("a stopping peer relays if there is no other one", "[gateway][relay]")
{
    relay_directory relays;
    relays.setOffer("stopping", { "ip:1", "a", false, true }, later);
    CHECK(relays.hasVouchingPeer(start));
    CHECK(chosen(relays, start) == "stopping");
    relays.setOffer("far", offerOf("ip:2", "b"), later);
    const endpoint_ptr far = relays.choose({ "a", {}, start, 7 });
    CHECK(far->entry.id == "far");
    ++far->inFlight;
    CHECK(chosen(relays, start) == "far");
    CHECK(chosen(relays, start, { "far" }) == "stopping");
    relays.setOffer("stopping", { "ip:1", "a", false, false }, later);
    CHECK(chosen(relays, start, { "far" }).empty());
}

// Guards against further requests to a peer that has just failed one.
TEST_CASE("a peer that failed is avoided for a while", "[gateway][relay]")
{
    relay_directory relays;
    relays.setOffer("h1", offerOf("ip:1"), later);
    relays.avoid("h1", start);
    relays.setOffer("h1", offerOf("ip:1"), later);
    CHECK(chosen(relays, start + relayAvoidanceTime - milliseconds(1)).empty());
    CHECK(relays.hasVouchingPeer(start));
    CHECK(chosen(relays, start + relayAvoidanceTime) == "h1");
}

} // namespace fescuedeck
