#include "fescuedeck/stream/crash_suspects.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

suspect_time at(int seconds)
{
    return { time_point(std::chrono::seconds(seconds)), std::chrono::seconds(1000 + seconds) };
}

template <class Action>
std::optional<Action> find(const suspect_actions &actions)
{
    for (const suspect_action &action : actions) {
        if (const auto *match = std::get_if<Action>(&action))
            return *match;
    }
    return std::nullopt;
}

// Makes suspects of the requests "bad" and "good": both run on endpoint a when it crashes.
void crashWithTwo(crash_suspects &suspects)
{
    for (const char *fingerprint : { "bad", "good" })
        suspects.hopStarted(fingerprint, "a", 5, at(0));
    suspects.endpointCrashed("a", "1", at(1));
    for (const char *fingerprint : { "bad", "good" })
        suspects.hopEnded(fingerprint, "a");
}

void runAlone(crash_suspects &suspects, const std::string &fingerprint, const std::string &endpoint,
              suspect_time now)
{
    CHECK(find<exclusive_run_ready>(suspects.requestExclusiveRun(fingerprint, endpoint, now)));
    CHECK(suspects.mayStartHop(fingerprint, endpoint, now));
    CHECK(find<announce_exclusive_run>(suspects.hopStarted(fingerprint, endpoint, 5, now)));
}

} // namespace

TEST_CASE("a suspect that crashes a second endpoint in an exclusive run is quarantined", "[stream]")
{
    // Guards against a third crash, and against quarantining a request that only ran beside the
    // crashing one.
    crash_suspects suspects({});
    crashWithTwo(suspects);
    CHECK(suspects.mustRunAlone("bad", at(1)));
    CHECK(suspects.mustRunAlone("good", at(1)));
    CHECK_FALSE(suspects.mayStartHop("bad", "b", at(1)));

    runAlone(suspects, "good", "b", at(2));
    CHECK_FALSE(suspects.mayStartHop("other", "b", at(2)));
    suspects.hopEnded("good", "b");
    suspects.tokenProduced("good", 5);
    CHECK(suspects.mustRunAlone("good", at(2)));
    suspects.tokenProduced("good", 6);
    CHECK_FALSE(suspects.mustRunAlone("good", at(2)));
    suspects.finished("good");
    CHECK(suspects.crashedEndpoints("good").empty());
    CHECK(suspects.permissionFor("good", at(2)) == run_permission::Run);

    runAlone(suspects, "bad", "b", at(3));
    const suspect_actions actions = suspects.endpointCrashed("b", "1", at(4));
    CHECK(find<publish_quarantine>(actions)->fingerprint == "bad");
    CHECK(suspects.permissionFor("bad", at(4)) == run_permission::Rejected);
}

TEST_CASE("a suspect gets no reservation of an endpoint that it may have crashed", "[stream]")
{
    // Guards against quarantining a request because of two crashes of one faulty endpoint.
    crash_suspects suspects({});
    crashWithTwo(suspects);
    CHECK(find<exclusive_run_denied>(suspects.requestExclusiveRun("good", "a", at(2))));
}

TEST_CASE("an exclusive run waits for a grant of every peer and for running hops", "[stream]")
{
    // Guards against two routers that run their suspects on one endpoint at the same time, each of
    // them counting the run as exclusive.
    crash_suspects asker({});
    crash_suspects peer({});
    asker.peersChanged({ "p" }, at(0));
    crashWithTwo(asker);
    peer.hopStarted("other", "b", 5, at(1));
    const suspect_actions asked = asker.requestExclusiveRun("bad", "b", at(2));
    const std::uint64_t ticket = find<request_exclusive_run>(asked)->ticket;
    CHECK_FALSE(find<exclusive_run_ready>(asked));
    CHECK(peer.exclusiveRunRequested("r", "bad", "b", ticket, at(2)).empty());
    CHECK_FALSE(peer.mayStartHop("other", "b", at(2)));
    CHECK(find<exclusive_run_denied>(peer.requestExclusiveRun("good", "b", at(2))));

    const suspect_actions drained = peer.hopEnded("other", "b");
    REQUIRE(find<exclusive_run_reply>(drained)->isGranted);
    CHECK(find<exclusive_run_ready>(asker.exclusiveRunReplied("p", ticket, true, {}, at(3))));
    // After a process pause, the requesting router does not use a reservation that may soon expire
    // at the peer.
    CHECK(asker.mayStartHop("bad", "b", at(4)));
    CHECK_FALSE(asker.mayStartHop("bad", "b", at(20)));

    SECTION("the requesting router is killed while its hop is running")
    {
        // Guards against losing the second crash with the only router that ran the hop.
        peer.evidenceLearned(asker.evidence(), at(3));
        peer.exclusiveRunStarted("r", ticket, at(3).wall, 5, at(3));
        const suspect_actions actions = peer.endpointCrashed("b", "1", at(4));
        CHECK(find<publish_quarantine>(actions)->fingerprint == "bad");
    }
    SECTION("the hop ends")
    {
        CHECK(find<release_exclusive_run>(asker.hopEnded("bad", "b"))->ticket == ticket);
        peer.exclusiveRunReleased("r", ticket);
        CHECK(peer.mayStartHop("other", "b", at(4)));
    }
}

TEST_CASE("a request is not quarantined for crashes of hops that ran at the same time", "[stream]")
{
    // Guards against quarantining a request that ran on several endpoints of a failed rack.
    crash_suspects suspects({});
    suspects.hopStarted("popular", "a", 5, at(0));
    suspects.hopStarted("popular", "b", 5, at(0));
    suspects.endpointCrashed("a", "1", at(1));
    suspects.endpointCrashed("b", "1", at(2));
    CHECK(suspects.permissionFor("popular", at(2)) == run_permission::RunAlone);
}

TEST_CASE("suspects expire, also if peers repeat the evidence, and their number is limited",
          "[stream]")
{
    // Guards against suspects that stay for ever because the peers send the evidence to each other,
    // and against a table that grows without limit.
    crash_suspects_settings settings;
    settings.suspectExpiry = std::chrono::seconds(10);
    settings.maxFingerprints = 5;
    crash_suspects suspects(settings);
    crashWithTwo(suspects);
    const auto evidence = suspects.evidence();
    CHECK(evidence.size() == 2);
    suspects.expire(at(11));
    suspects.evidenceLearned(evidence, at(11));
    CHECK(suspects.size() == 0);

    for (int i = 0; i < 10; ++i) {
        const std::string name = std::to_string(i);
        suspects.evidenceLearned({ { name, "a", name, at(i).wall, at(i).wall, 5 } }, at(10));
    }
    CHECK(suspects.size() == 5);
    CHECK_FALSE(suspects.mustRunAlone("0", at(10)));
    CHECK(suspects.mustRunAlone("9", at(10)));
}

} // namespace fescuedeck
