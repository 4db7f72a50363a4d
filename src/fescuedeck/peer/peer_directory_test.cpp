#include "fescuedeck/peer/peer_directory.h"

#include <catch2/catch.hpp>

#include "fescuedeck/peer/peer_send_queue.h"

namespace fescuedeck {
namespace {

constexpr duration lifetime = std::chrono::seconds(3);

time_point at(int seconds)
{
    return time_point(std::chrono::seconds(seconds));
}

peer_digest digestOf(std::int64_t version, std::int64_t offset)
{
    peer_digest digest;
    digest.version = version;
    digest.hash = "hash" + std::to_string(version);
    digest.offset = offset;
    digest.inFlight = { { "e", 2 } };
    digest.leaving = { "e" + std::to_string(version) };
    return digest;
}

} // namespace

// Guards against figures that are taken for newer than they are.
TEST_CASE("load: two reports of different age; the age is the mean over the reported work",
          "[peer]")
{
    CHECK_FALSE(ageOfFigures(peer_directory(lifetime).merged(at(2)), "e"));
    peer_directory directory(lifetime);
    peer_digest older = digestOf(1, 1);
    older.inFlight = { { "e", 30 } };
    peer_digest newer = digestOf(1, 1);
    newer.inFlight = { { "e", 10 } };
    directory.onDigest("a", older, at(0));
    directory.onDigest("b", newer, at(2));
    peer_view view = directory.merged(at(2));
    CHECK(ageOfFigures(view, "e") == std::chrono::milliseconds(1500));
    CHECK(ageOfFigures(view, "unused") == std::chrono::seconds(1));
    // Of the reports about one domain the greatest counts, so its age does.
    CHECK(ageOfFigures(directory.mergedSummaries(at(2)), "e") == std::chrono::seconds(2));
    addLoads(view, directory.mergedSummaries(at(2)));
    CHECK(view.inFlight.at("e") == 70);
    CHECK(ageOfFigures(view, "e") == std::chrono::microseconds(60 * 2000000 / 70));
}

TEST_CASE("digests are merged until they expire", "[peer]")
{
    // Guards against counting the calls of a router that has gone for ever.
    peer_directory directory(lifetime);
    directory.onDigest("a", digestOf(1, 1), at(0));
    directory.onDigest("b", digestOf(2, 1), at(2));
    CHECK(directory.inFlight("e", at(2)) == 4);
    CHECK(directory.merged(at(2)).inFlight.at("e") == 4);
    CHECK(directory.merged(at(2)).leaving == std::set<std::string>{ "e1", "e2" });
    CHECK(directory.inFlight("e", at(3)) == 2);
    CHECK(directory.merged(at(3)).leaving == std::set<std::string>{ "e2" });
    CHECK(directory.livePeers(at(3)) == std::vector<std::string>{ "b" });
    directory.onDigest("b", digestOf(3, 1), at(4));
    CHECK(directory.merged(at(4)).leaving == std::set<std::string>{ "e3" });
    CHECK(directory.digestOf("b", at(6)));
    CHECK_FALSE(directory.digestOf("b", at(7)));
    directory.expire(at(7));
    directory.forget("b");
    CHECK(directory.livePeers(at(4)).empty());
}

// Guards against work that counts as waiting after its gateway has died, and against a domain whose
// waiting work counts once for each gateway that reports it.
TEST_CASE("waiting work is added up, or taken once for a domain, until it expires", "[peer]")
{
    peer_directory directory(std::chrono::milliseconds(1500));
    const time_point start{ std::chrono::hours(1) };
    peer_digest digest;
    digest.waiting = { { { "model", 1 }, 900 } };
    directory.onDigest("a", digest, start);
    digest.waiting[{ "model", 1 }] = 100;
    directory.onDigest("b", digest, start + std::chrono::seconds(1));
    const std::pair<std::string, int> key("model", 1);
    CHECK(directory.merged(start + std::chrono::seconds(1)).waiting[key] == 1000);
    CHECK(directory.mergedSummaries(start + std::chrono::seconds(1)).waiting[key] == 900);
    CHECK(directory.merged(start + std::chrono::seconds(2)).waiting[key] == 100);
    CHECK(directory.merged(start + std::chrono::seconds(3)).waiting.empty());
}

TEST_CASE("a full send queue drops old digests first", "[peer]")
{
    peer_send_queue queue(10);
    CHECK(queue.push("dig1", true));
    CHECK(queue.push("msg1", false));
    CHECK(queue.push("dig2", true)); // replaces dig1
    CHECK(queue.push("msg2", false));
    CHECK_FALSE(queue.push("msg3", false));
    CHECK(queue.push("dig3", true)); // no room, dropped
    CHECK(queue.bytes() == 8);
    CHECK(queue.pop() == "msg1");
    CHECK(queue.pop() == "msg2");
    CHECK_FALSE(queue.pop());
    CHECK(queue.isEmpty());
}

} // namespace fescuedeck
