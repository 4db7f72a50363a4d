#include "standins/engine_model.h"

#include <catch2/catch.hpp>

namespace fescuedeck::standins {
namespace {

const model_identity waiver{ "waiver", "3", "", 12 };

engine_options optionsFor(layer_range range)
{
    engine_options options;
    options.incarnation = "i" + toString(range);
    options.loads = { { "waiver", "3", 12, range, {} } };
    return options;
}

stage_call callFor(layer_range layers, int attempt, int position)
{
    stage_call call;
    call.request = "r1";
    call.attempt = attempt;
    call.position = position;
    call.model = "waiver";
    call.version = "3";
    call.layers = layers;
    return call;
}

stage_answer runNow(engine_model &engine, const stage_call &call)
{
    stage_answer got;
    engine.submit(call, time_point{}, [&](const stage_answer &answer) { got = answer; });
    engine.advance(time_point{});
    return got;
}

// Drives one position through the stages; the ranges say which layers each stage runs.
next_token runPosition(std::vector<engine_model *> stages, std::vector<layer_range> ranges,
                       std::vector<int> tokens, int attempt, int position)
{
    stage_answer answer;
    for (std::size_t i = 0; i < stages.size(); ++i) {
        stage_call call = callFor(ranges[i], attempt, position);
        call.tokens = tokens;
        call.activations = answer.activations;
        answer = runNow(*stages[i], call);
    }
    return answer.token.value_or(next_token{});
}

std::string draft(std::vector<engine_model *> stages, std::vector<layer_range> ranges,
                  const std::string &prompt, int attempt)
{
    std::string text;
    std::vector<int> input = tokenizeBytes(prompt);
    int position = static_cast<int>(input.size());
    for (int count = 0; count < maxDraftTokens; ++count, ++position) {
        const next_token token = runPosition(stages, ranges, input, attempt, position);
        text += token.text;
        if (token.finished)
            break;
        input = { token.id };
    }
    return text;
}

} // namespace

TEST_CASE("the text depends on the layers' order, not on how they are cut", "[standins]")
{
    engine_model first(optionsFor({ 0, 8 }));
    engine_model second(optionsFor({ 4, 12 }));
    const std::string expected = expectedText(waiver, "rider Aziz", maxDraftTokens);
    const std::vector<engine_model *> stages = { &first, &second };
    CHECK(draft(stages, { { 0, 4 }, { 4, 12 } }, "rider Aziz", 1) == expected);
    CHECK(draft(stages, { { 0, 8 }, { 8, 12 } }, "rider Aziz", 2) == expected);
    // Guards against a stand-in that hides a router's violation of invariant 1.
    CHECK(draft(stages, { { 0, 7 }, { 8, 12 } }, "rider Aziz", 3) != expected);
    CHECK(draft(stages, { { 0, 8 }, { 7, 12 } }, "rider Aziz", 4) != expected);
    CHECK(expectedText({ "waiver", "4", "", 12 }, "rider Aziz", maxDraftTokens) != expected);
}

TEST_CASE("a prefill of prompt and delivered tokens resumes the same draft", "[standins]")
{
    engine_model whole(optionsFor({ 0, 12 }));
    const auto expected = expectedDraft(waiver, "lot 9", maxDraftTokens);
    std::vector<int> context = tokenizeBytes("lot 9");
    for (int i = 0; i < 10; ++i)
        context.push_back(expected[i].id);
    const next_token token = runPosition({ &whole }, { { 0, 12 } }, context, 2, 15);
    CHECK(token.id == expected[10].id);
    CHECK(token.finished == expected[10].finished);
}

TEST_CASE("an engine refuses what it cannot run before the start", "[standins]")
{
    engine_model engine(optionsFor({ 0, 8 }));
    stage_call step = callFor({ 0, 8 }, 1, 3);
    step.tokens = { 260 };
    CHECK(runNow(engine, step).refused == refusal::NoKv);
    stage_call wide = callFor({ 0, 9 }, 1, 2);
    wide.tokens = { 1, 2 };
    CHECK(runNow(engine, wide).refused == refusal::WrongLayers);
}

TEST_CASE("a leaving engine finishes requests in flight and refuses new ones", "[standins]")
{
    engine_model engine(optionsFor({ 0, 12 }));
    stage_call prefill = callFor({ 0, 12 }, 1, 10);
    prefill.tokens = tokenizeBytes("two camels");
    CHECK(runNow(engine, prefill).refused == refusal::None);
    engine.leave();
    stage_call step = callFor({ 0, 12 }, 1, 11);
    step.tokens = { 260 };
    CHECK(runNow(engine, step).refused == refusal::None);
    prefill.attempt = 2;
    CHECK(runNow(engine, prefill).refused == refusal::Leaving);
    CHECK(engine.cancel("r1", 1));
    CHECK(runNow(engine, step).refused == refusal::Leaving);
}

TEST_CASE("a batch takes its curve's time and runs high priorities first", "[standins]")
{
    engine_options options = optionsFor({ 0, 12 });
    options.curve = { duration(1000), duration(10), duration(100) };
    options.maxBatch = 1;
    engine_model engine(options);
    std::vector<int> order;
    for (int attempt = 1; attempt <= 3; ++attempt) {
        stage_call call = callFor({ 0, 12 }, attempt, 2);
        call.tokens = { 7, 8 };
        call.priority = attempt;
        engine.submit(call, time_point{},
                      [&order, attempt](const stage_answer &) { order.push_back(attempt); });
    }
    const duration batch(1000 + 2 * 10 + 100);
    CHECK(engine.advance(time_point{}) == time_point(batch));
    engine.advance(time_point(3 * batch));
    CHECK(order == std::vector<int>{ 3, 2, 1 });
}

TEST_CASE("an old fencing number is refused only by engines that check it", "[standins]")
{
    for (const bool checks : { true, false }) {
        engine_options options = optionsFor({ 0, 8 });
        options.checksFencing = checks;
        engine_model engine(options);
        const model_load wanted{ "waiver", "3", 12, { 4, 12 }, {} };
        CHECK(engine.order({ 9, { wanted }, "" }).accepted);
        CHECK(engine.order({ 8, { wanted }, "" }).accepted == !checks);
        CHECK(engine.report(time_point{}, unix_millis{})["state"] == "loading");
        engine.finishLoad(wanted);
        CHECK(engine.pendingLoads().empty());
    }
}

TEST_CASE("exported KV lets another engine continue the attempt", "[standins]")
{
    engine_model source(optionsFor({ 0, 12 }));
    engine_model target(optionsFor({ 0, 12 }));
    const auto expected = expectedDraft(waiver, "seal", 3);
    runPosition({ &source }, { { 0, 12 } }, tokenizeBytes("seal"), 1, 4);
    REQUIRE(target.importKv(source.exportKv("r1", 1), time_point{}));
    const next_token token = runPosition({ &target }, { { 0, 12 } }, { expected[0].id }, 1, 5);
    CHECK(token.id == expected[1].id);
    CHECK(source.exportKv("r2", 1).is_null());
}

TEST_CASE("cache events are late and skip numbers, and reports lag", "[standins]")
{
    engine_options options = optionsFor({ 0, 12 });
    options.prefixCache = { 2, duration(500), 2 };
    options.reportLag = duration(100);
    engine_model engine(options);
    CHECK(engine.report(time_point{}, unix_millis(1))["sequences"] == 0);
    stage_call prefill = callFor({ 0, 12 }, 1, 48);
    prefill.tokens = tokenizeBytes(std::string(48, 'x')); // three blocks, capacity two
    runNow(engine, prefill);
    CHECK(engine.cacheEvents(0, time_point{})["events"].empty());
    const auto events = engine.cacheEvents(0, time_point(duration(500)))["events"];
    REQUIRE(events.size() == 2);
    CHECK(events[0]["seq"] == 0);
    CHECK(events[1]["seq"] == 2);
    CHECK(engine.report(time_point(duration(99)), unix_millis(2))["sequences"] == 0);
    CHECK(engine.report(time_point(duration(100)), unix_millis(3))["sequences"] == 1);
}

} // namespace fescuedeck::standins
