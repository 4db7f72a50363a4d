#include "fescuedeck/gateway/config_exchange.h"

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };
constexpr duration digestLifetime = std::chrono::seconds(5);

peer_digest digestOf(std::int64_t version)
{
    peer_digest digest;
    digest.version = version;
    return digest;
}

// An exchange of a gateway with version 4. Records which peers it asks for which version.
struct exchange_fixture
{
    exchange_fixture()
        : exchange(seededRandom(1), 0,
                   { [this](const std::string &peer, const peer_message &message) {
                        asked.emplace_back(peer, std::get<bundle_request>(message).version);
                    },
                     [] { return std::int64_t(4); },
                     {},
                     [this] { ++timesBehind; } })
    {
        otherDomains.emplace("b", peer_directory(digestLifetime));
    }

    std::vector<std::pair<std::string, std::int64_t>> asked;
    int timesBehind = 0;
    peer_directory ownDomain{ digestLifetime };
    std::map<std::string, peer_directory> otherDomains;
    config_exchange exchange;
};

using asked_peers = std::vector<std::pair<std::string, std::int64_t>>;

} // namespace

TEST_CASE("the newest configuration is requested, in the own domain if it has it", "[gateway]")
{
    exchange_fixture fixture;
    fixture.ownDomain.onDigest("old", digestOf(4), start);
    fixture.ownDomain.onDigest("newer", digestOf(5), start);
    fixture.ownDomain.onDigest("newest", digestOf(6), start);
    SECTION("nobody else has a newer one")
    {
        fixture.otherDomains.at("b").onDigest("far", digestOf(6), start);
        fixture.exchange.update(fixture.ownDomain, fixture.otherDomains, start);
        CHECK(fixture.asked == asked_peers{ { "newest", 6 } });
    }
    SECTION("another domain has a newer one")
    {
        fixture.otherDomains.at("b").onDigest("far", digestOf(7), start);
        fixture.exchange.update(fixture.ownDomain, fixture.otherDomains, start);
        CHECK(fixture.asked == asked_peers{ { "far", 7 } });
    }
    SECTION("the digests have expired")
    {
        fixture.exchange.update(fixture.ownDomain, fixture.otherDomains, start + digestLifetime);
        CHECK(fixture.asked.empty());
    }
}

TEST_CASE("a configuration that does not arrive is reported once", "[gateway]")
{
    exchange_fixture fixture;
    fixture.ownDomain.onDigest("newer", digestOf(5), start);
    for (int i = 0; i < 20; ++i) {
        const time_point now = start + i * std::chrono::milliseconds(100);
        CHECK(fixture.timesBehind == (i <= 15 ? 0 : 1));
        fixture.exchange.update(fixture.ownDomain, fixture.otherDomains, now);
    }
}

TEST_CASE("no configuration is requested if no peer has a newer one", "[gateway]")
{
    exchange_fixture fixture;
    fixture.ownDomain.onDigest("same", digestOf(4), start);
    fixture.exchange.update(fixture.ownDomain, fixture.otherDomains, start);
    CHECK(fixture.asked.empty());
}

} // namespace fescuedeck
