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

// Answers the hop in actions and those that follow until count tokens are delivered.
draft_actions produce(draft_stream &draft, draft_actions actions, std::size_t count)
{
    while (draft.deliveredTokens().size() < count)
        actions = draft.hopAnswered({}, answerTo(*find<run_hop>(actions), 8));
    return actions;
}

} // namespace

TEST_CASE("a draft resumes at the next position on a new route", "[stream]")
{
    // Guards against tokens that are repeated or lost when a stage dies.
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
    // Guards against another caller's, an old or a duplicated answer reaching this caller.
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
    // Guards against tokens from a stage whose KV cache is gone.
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

TEST_CASE("not-run is reported only if every sent hop was rejected before the start", "[stream]")
{
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

TEST_CASE("excluded endpoints are used again where no other route exists", "[stream]")
{
    // Guards against a draft that fails although its only endpoint for some layers is back.
    draft_stream draft(smallDraft());
    const run_hop hop = *find<run_hop>(draft.start({}, twoStages));
    draft.hopFailed({}, hop.identity, hop_failure::TimedOut, false);
    CHECK(find<request_route>(draft.noRoute({}))->excluded.empty());
    CHECK(make_error_code(errc::NoRoute) == find<fail_draft>(draft.noRoute({}))->error.code);
}

TEST_CASE("deadlines and a departed caller end the draft and cancel its work", "[stream]")
{
    using std::chrono::seconds;
    draft_spec spec = smallDraft();
    spec.firstTokenDeadline = time_point(seconds(1));
    spec.deadline = time_point(seconds(9));
    draft_stream draft(spec);
    const draft_actions actions = draft.start({}, twoStages);
    CHECK(draft.deadlinePassed(time_point(seconds(1)) - duration(1)).empty());
    SECTION("first token late")
    {
        CHECK(find<fail_draft>(draft.deadlinePassed(time_point(seconds(1)))));
    }
    SECTION("first token in time")
    {
        produce(draft, actions, 1);
        CHECK(draft.deadlinePassed(time_point(seconds(2))).empty());
        CHECK(find<cancel_work>(draft.callerLeft({})));
        CHECK(draft.callerLeft({}).empty());
    }
    SECTION("started too late")
    {
        draft_stream late(spec);
        CHECK(find<fail_draft>(late.start(time_point(seconds(1)), twoStages))->outcome
              == draft_outcome::NotRun);
    }
}

} // namespace fescuedeck
