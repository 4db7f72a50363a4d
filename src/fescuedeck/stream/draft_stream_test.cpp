#include "fescuedeck/stream/draft_stream.h"

#include <functional>

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

const draft_route twoStages = { { "a", { 0, 4 } }, { "b", { 4, 8 } } };

draft_spec smallDraft()
{
    draft_spec spec;
    spec.request = "r1";
    spec.model = "waiver";
    spec.version = "1";
    spec.layers = 8;
    spec.promptTokens = { 11, 12, 13 };
    spec.maxTokens = 3;
    spec.maxAttempts = 2;
    return spec;
}

template <class Action>
std::optional<Action> find(const draft_actions &actions)
{
    for (const draft_action &action : actions) {
        if (const auto *match = std::get_if<Action>(&action))
            return *match;
    }
    return std::nullopt;
}

hop_answer answerTo(const run_hop &hop, int layers)
{
    hop_answer answer;
    answer.identity = hop.identity;
    answer.endpoint = hop.endpoint;
    answer.incarnation = "i1";
    if (hop.identity.layers.end == layers)
        answer.token = draft_token{ hop.identity.position, "t" };
    else
        answer.activations.assign(hop.inputTokens(), "x");
    return answer;
}

// Answers the hop in actions and the hops after it until count tokens are delivered.
draft_actions produce(draft_stream &draft, draft_actions actions, std::size_t count)
{
    while (draft.deliveredTokens().size() < count)
        actions = draft.hopAnswered({}, answerTo(*find<run_hop>(actions), 8));
    return actions;
}

} // namespace

TEST_CASE("after a failure a draft continues at the next position on a new route", "[stream]")
{
    // Guards against tokens that are repeated or lost when a stage crashes.
    draft_stream draft(smallDraft());
    draft_actions actions = produce(draft, draft.start({}, twoStages), 1);
    const hop_identity lost = find<run_hop>(actions)->identity;
    actions = draft.hopFailed({}, lost, hop_failure::ConnectionClosed, true);
    const auto request = find<request_route>(actions);
    REQUIRE(request);
    CHECK(request->excluded == std::set<std::string>{ "a" });
    CHECK(request->inputTokens == 4);
    CHECK(request->afterCrash);
    CHECK(find<cancel_work>(actions)->attempt == 1);

    actions = draft.routeFound({}, { { "c", { 0, 4 } }, { "b", { 4, 8 } } });
    CHECK(find<run_hop>(actions)->tokens == std::vector<int>{ 11, 12, 13, 3 });
    CHECK(find<run_hop>(actions)->identity.position == 4);
    CHECK(find<run_hop>(actions)->identity.attempt == 2);
    actions = produce(draft, actions, 3);
    CHECK(find<finish_draft>(actions)->reason == finish_reason::Length);
}

TEST_CASE("an answer that does not echo its hop is dropped and counted", "[stream]")
{
    // Guards against delivering a token from a duplicated answer or from the answer to an older hop
    // or to another caller's hop.
    draft_stream draft(smallDraft());
    const run_hop hop = *find<run_hop>(draft.start({}, twoStages));
    const hop_answer good = answerTo(hop, 8);
    const auto mismatchAfter = [&](const std::function<void(hop_answer &)> &change) {
        hop_answer answer = good;
        change(answer);
        const draft_actions actions = draft.hopAnswered({}, answer);
        const auto dropped = find<drop_answer>(actions);
        return dropped && actions.size() == 1 ? dropped->mismatch : answer_mismatch::None;
    };
    CHECK(mismatchAfter([](auto &a) { a.identity.request = "r2"; }) == answer_mismatch::Request);
    CHECK(mismatchAfter([](auto &a) { a.identity.attempt = 2; }) == answer_mismatch::Attempt);
    CHECK(mismatchAfter([](auto &a) { a.identity.position = 4; }) == answer_mismatch::Position);
    CHECK(mismatchAfter([](auto &a) { a.identity.model = "x"; }) == answer_mismatch::Model);
    CHECK(mismatchAfter([](auto &a) { a.identity.version = "2"; }) == answer_mismatch::Version);
    CHECK(mismatchAfter([](auto &a) { a.identity.adapter = "x"; }) == answer_mismatch::Adapter);
    CHECK(mismatchAfter([](auto &a) { a.identity.layers = { 0, 5 }; }) == answer_mismatch::Layers);
    CHECK(mismatchAfter([](auto &a) { a.endpoint = "b"; }) == answer_mismatch::Endpoint);
    CHECK(find<run_hop>(draft.hopAnswered({}, good))->endpoint == "b");
    CHECK(mismatchAfter([](auto &) {}) == answer_mismatch::Duplicate);
    CHECK(draft.droppedAnswers().size() == 9);
}

TEST_CASE("a restarted stage or a malformed answer ends the attempt", "[stream]")
{
    // Guards against tokens from a stage that has lost its KV cache in a restart.
    draft_stream draft(smallDraft());
    draft_actions actions = produce(draft, draft.start({}, twoStages), 1);
    hop_answer restarted = answerTo(*find<run_hop>(actions), 8);
    restarted.incarnation = "i2";
    actions = draft.hopAnswered({}, restarted);
    CHECK(find<drop_answer>(actions)->mismatch == answer_mismatch::Incarnation);
    CHECK(find<request_route>(actions)->excluded == std::set<std::string>{ "a" });

    hop_answer tooShort = answerTo(*find<run_hop>(draft.routeFound({}, twoStages)), 8);
    tooShort.activations.pop_back();
    actions = draft.hopAnswered({}, tooShort);
    CHECK(find<drop_answer>(actions)->mismatch == answer_mismatch::Content);
    CHECK(find<fail_draft>(actions)->outcome == draft_outcome::Unknown);
}

TEST_CASE("the outcome is NotRun only if every hop was rejected before its start", "[stream]")
{
    // Guards against callers that send a request again, because of a wrong "not-run", while it
    // runs.
    const auto outcomeAfter = [](hop_failure first, hop_failure second) {
        draft_stream draft(smallDraft());
        hop_identity hop = find<run_hop>(draft.start({}, twoStages))->identity;
        draft.hopFailed({}, hop, first, false);
        hop = find<run_hop>(draft.routeFound({}, twoStages))->identity;
        return find<fail_draft>(draft.hopFailed({}, hop, second, false))->outcome;
    };
    CHECK(outcomeAfter(hop_failure::Refused, hop_failure::NotSent) == draft_outcome::NotRun);
    CHECK(outcomeAfter(hop_failure::TimedOut, hop_failure::Refused) == draft_outcome::Unknown);
    CHECK(outcomeAfter(hop_failure::Refused, hop_failure::ConnectionClosed)
          == draft_outcome::Unknown);
}

TEST_CASE("excluded endpoints are used again if there is no other route", "[stream]")
{
    // Guards against a draft that fails although the only endpoint for some layers works again.
    draft_stream draft(smallDraft());
    const run_hop hop = *find<run_hop>(draft.start({}, twoStages));
    draft.hopFailed({}, hop.identity, hop_failure::TimedOut, false);
    CHECK(find<request_route>(draft.noRoute({}))->excluded.empty());
    CHECK(make_error_code(errc::NoRoute) == find<fail_draft>(draft.noRoute({}))->error.code);
}

TEST_CASE("a passed deadline or a caller that leaves ends the draft and cancels its work",
          "[stream]")
{
    // Guards against stages that compute tokens for nobody.
    using std::chrono::seconds;
    draft_spec spec = smallDraft();
    spec.firstTokenDeadline = time_point(seconds(1));
    spec.deadline = time_point(seconds(9));
    draft_stream draft(spec);
    const draft_actions actions = draft.start({}, twoStages);
    CHECK(draft.deadlinePassed(time_point(seconds(1)) - duration(1)).empty());
    SECTION("the first token is late")
    {
        CHECK(find<fail_draft>(draft.deadlinePassed(time_point(seconds(1)))));
    }
    SECTION("the first token is in time")
    {
        produce(draft, actions, 1);
        CHECK(draft.deadlinePassed(time_point(seconds(2))).empty());
        CHECK(find<cancel_work>(draft.callerLeft({})));
        CHECK(draft.callerLeft({}).empty());
    }
    SECTION("the draft starts after its deadline")
    {
        draft_stream late(spec);
        CHECK(find<fail_draft>(late.start(time_point(seconds(1)), twoStages))->outcome
              == draft_outcome::NotRun);
    }
}

} // namespace fescuedeck
