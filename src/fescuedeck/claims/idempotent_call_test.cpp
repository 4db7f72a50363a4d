#include "fescuedeck/claims/idempotent_call.h"

#include <catch2/catch.hpp>

#include "fescuedeck/base/ids.h"

namespace fescuedeck {
namespace {

constexpr unix_millis start = std::chrono::hours(500000);

call_time at(int millis)
{
    return { time_point(std::chrono::milliseconds(millis)), start + unix_millis(millis) };
}

template <class Action>
std::optional<Action> find(const call_actions &actions)
{
    for (const call_action &action : actions) {
        if (const auto *match = std::get_if<Action>(&action))
            return *match;
    }
    return std::nullopt;
}

call_spec specWithKeyAge(unix_millis age)
{
    call_spec spec;
    spec.attempt = "t1";
    spec.router = "r1";
    spec.workspace = "sable";
    spec.key = makeUuidV7(start - age, seededRandom(1));
    spec.fingerprint = "f1";
    spec.accepted = at(0);
    spec.deadline = at(2000);
    return spec;
}

// A call whose claim is in the log and was applied to the table.
struct claimed_call
{
    claimed_call()
        : table({}, 0)
        , call(specWithKeyAge(unix_millis(0)))
    {
        const auto claim = find<append_record>(call.start(at(0), &table));
        table.apply({ 0, claim->id, start, claim->body });
        call.recordAppended(at(1), claim->id, 0);
    }
    claim_table table;
    idempotent_call call;
};

} // namespace

TEST_CASE("a request is sent only after its claim was read back and has won", "[claims]")
{
    // Guards against two routers that both send the request, because each has appended a claim and
    // does not check whose claim comes first in the log.
    claim_table table({}, 0);
    idempotent_call call(specWithKeyAge(unix_millis(0)));
    const auto claim = find<append_record>(call.start(at(0), &table));
    REQUIRE(claim);
    CHECK(find<read_log>(call.recordAppended(at(1), claim->id, 0))->offset == 0);
    CHECK(call.logRead(at(2), table).empty());
    table.apply({ 0, claim->id, start, claim->body });
    CHECK(find<open_connection>(call.logRead(at(3), table)));
    CHECK(find<send_request>(call.connectionReady(at(4))));
    const stored_answer answer{ 201, "text/plain", "signed" };
    const call_actions actions = call.responseReceived(at(5), answer);
    CHECK(find<answer_caller>(actions)->outcome == call_outcome::Ran);
    const std::string completed = find<append_record>(actions)->id;
    CHECK(call.outcomeForPeer().answer == answer);
    CHECK(find<append_record>(call.appendFailed(at(6), completed))->id == completed);
    call.recordAppended(at(7), completed, 1);
    CHECK(call.hasEnded());
}

TEST_CASE("a paused router does not send past the deadline on either clock", "[claims]")
{
    // Guards against a request that runs after its caller was told that it does not. The steady
    // clock can stop during the pause, and the wall clock can be set back.
    const call_time steadyStopped{ at(3).steady, at(5000).wall };
    const call_time wallSetBack{ at(5000).steady, at(3).wall };
    for (const call_time &resumed : { steadyStopped, wallSetBack }) {
        claimed_call claimed;
        CHECK(find<open_connection>(claimed.call.logRead(at(2), claimed.table)));
        const call_actions actions = claimed.call.connectionReady(resumed);
        CHECK_FALSE(find<send_request>(actions));
        CHECK(find<append_record>(actions)->id == "t1:released");
        CHECK(claimed.call.connectionReady(at(3)).empty());
    }
}

TEST_CASE("without the log the outcome is unknown and the claim is released", "[claims]")
{
    // Guards against "not-run" for a request that another router has claimed and sent while this
    // one could not read the log.
    claim_table table({}, 0);
    idempotent_call call(specWithKeyAge(unix_millis(0)));
    const append_record claim = *find<append_record>(call.start(at(0), &table));
    CHECK(find<append_record>(call.appendFailed(at(100), claim.id))->id == claim.id);
    const call_actions actions = call.deadlinePassed(at(2000));
    CHECK(find<append_record>(actions)->id == "t1:released");
    CHECK(find<answer_caller>(actions)->outcome == call_outcome::Unknown);
    CHECK(find<answer_caller>(actions)->retryAfter);
    // The claim reaches the log after all.
    table.apply({ 0, claim.id, start, claim.body });
    CHECK(call.logRead(at(2001), table).empty());
}

TEST_CASE("not-run is reported only within the reclaim delay after a release", "[claims]")
{
    // Guards against "not-run" that is reported so late that another copy can already have claimed
    // the key and run.
    const auto outcomeAt = [](int millis) {
        claimed_call claimed;
        claimed.call.logRead(at(2), claimed.table);
        for (int i = 0; i < 3; ++i)
            claimed.call.connectionFailed(at(3));
        claimed.call.recordAppended(at(4), "t1:released", 1);
        return find<answer_caller>(claimed.call.logRead(at(millis), claimed.table))->outcome;
    };
    CHECK(outcomeAt(5) == call_outcome::NotRun);
    CHECK(outcomeAt(3500) == call_outcome::Unknown);
}

TEST_CASE("a copy is answered from the attempt that has claimed the key", "[claims]")
{
    // Guards against a second execution of a request, and against the answer of one request being
    // given to a different request with the same key.
    claimed_call first;
    call_spec spec = specWithKeyAge(unix_millis(0));
    spec.attempt = "t2";
    SECTION("different request")
    {
        spec.fingerprint = "f2";
        idempotent_call copy(spec);
        const call_actions actions = copy.start(at(5), &first.table);
        CHECK(find<answer_caller>(actions)->status == 422);
        CHECK(find<answer_caller>(actions)->outcome == call_outcome::NotRun);
    }
    SECTION("in progress")
    {
        idempotent_call copy(spec);
        CHECK(find<ask_claimant>(copy.start(at(5), &first.table))->router == "r1");
        const auto answered = copy.outcomeFromPeer(at(6), first.call.outcomeForPeer());
        CHECK(find<answer_caller>(answered)->error->code == make_error_code(errc::InProgress));
        CHECK(find<answer_caller>(answered)->outcome == call_outcome::Unknown);
    }
    SECTION("completed with an answer too large to store")
    {
        const std::string key = scopedKey("sable", *spec.key);
        const claim_completed completed{ key, "t1", { 201, "text/plain", std::nullopt } };
        first.table.apply({ 1, "c", start, toJson(completed) });
        idempotent_call copy(spec);
        CHECK(find<ask_claimant>(copy.start(at(5), &first.table)));
        const auto answered = copy.outcomeFromPeer(at(6), std::nullopt);
        CHECK(find<answer_caller>(answered)->outcome == call_outcome::Ran);
    }
}

TEST_CASE("malformed, too old and future keys are rejected before a claim", "[claims]")
{
    // Guards against a claim with a key whose earlier records the log may no longer have, or whose
    // age cannot be determined.
    claim_table table({}, 0);
    const auto outcomeOf = [&](const call_spec &spec) {
        const call_actions actions = idempotent_call(spec).start(at(0), &table);
        const auto answer = find<answer_caller>(actions);
        return answer && actions.size() == 1 ? std::optional(answer->outcome) : std::nullopt;
    };
    using std::chrono::hours;
    using std::chrono::seconds;
    call_spec malformed = specWithKeyAge(unix_millis(0));
    malformed.key = "order-17";
    CHECK(outcomeOf(malformed) == call_outcome::NotRun);
    CHECK(outcomeOf(specWithKeyAge(hours(20))) == call_outcome::Unknown);
    CHECK(outcomeOf(specWithKeyAge(-seconds(7))) == call_outcome::Unknown);
    CHECK(outcomeOf(specWithKeyAge(-seconds(60))) == call_outcome::NotRun);
    CHECK_FALSE(outcomeOf(specWithKeyAge(-seconds(4))));
    CHECK_FALSE(outcomeOf(specWithKeyAge(hours(18))));
}

TEST_CASE("without a key a request is sent at most once", "[claims]")
{
    // Guards against sending the request again on another connection although the service may have
    // received it on the first one.
    call_spec spec = specWithKeyAge(unix_millis(0));
    spec.key.reset();
    idempotent_call call(spec);
    CHECK(find<open_connection>(call.start(at(0), nullptr))->number == 1);
    CHECK(find<open_connection>(call.connectionFailed(at(1)))->number == 2);
    CHECK(find<send_request>(call.connectionReady(at(2))));
    SECTION("a part of the request may have been sent")
    {
        const call_actions actions = call.responseLost(at(3), true);
        CHECK(actions.size() == 1);
        CHECK(find<answer_caller>(actions)->outcome == call_outcome::Unknown);
    }
    SECTION("nothing was written")
    {
        CHECK(find<open_connection>(call.responseLost(at(3), false))->number == 3);
        const call_actions actions = call.connectionFailed(at(4));
        CHECK(find<answer_caller>(actions)->outcome == call_outcome::NotRun);
        CHECK(call.hasEnded());
    }
}

} // namespace fescuedeck
