#include "fescuedeck/rerouting/chain_repair.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

chain_stage stage(const std::string &id, int begin, int end, const std::string &domain = "a")
{
    return { id, id + ":80", { begin, end }, 1, domain, 0 };
}

running_part part(const std::string &id, int begin, int end)
{
    return { { id, id + ":80", { begin, end } }, "a" };
}

// A chain of four engines over 80 layers.
repair_request requestAvoiding(std::set<std::string> avoided, std::vector<chain_stage> stages)
{
    return { { part("first", 0, 20), part("second", 20, 40), part("third", 40, 60),
               part("last", 60, 80) },
             std::move(avoided),
             std::move(stages),
             { 0.2, [](const auto &, const auto &) { return 1000.0; }, 32 },
             800 };
}

std::string describe(const chain_repair &repair)
{
    if (repair.action != repair_action::ChangePath)
        return repair.action == repair_action::NewRun ? "new run" : "nothing";
    std::string text;
    for (const chain_part &each : repair.chain)
        text += each.endpoint + "=" + toString(each.layers) + " ";
    return text;
}

} // namespace

// Guards against moving a stream that is not concerned by the loss.
TEST_CASE("a chain without the lost engine is left alone", "[rerouting]")
{
    CHECK(describe(planRepair(requestAvoiding({ "other" }, { stage("b", 0, 80) }))) == "nothing");
}

// Guards against reading the whole prompt again when one engine of a long chain is lost.
TEST_CASE("the loss of one engine changes only its part", "[rerouting]")
{
    const auto repair = planRepair(requestAvoiding({ "second" }, { stage("b", 0, 80) }));
    CHECK(describe(repair) == "first=0-20 b=20-40 third=40-60 last=60-80 ");
    CHECK(repair.tokensReadAgain == 200); // a quarter of 800 tokens
}

// Guards against an engine that runs two parts after two engines are lost at once.
TEST_CASE("the loss of two engines never uses one engine twice", "[rerouting]")
{
    const auto spread = planRepair(
            requestAvoiding({ "second", "last" }, { stage("b", 0, 80), stage("c", 0, 80) }));
    CHECK(describe(spread) == "first=0-20 b=20-40 third=40-60 c=60-80 ");
    const auto whole = planRepair(requestAvoiding({ "second", "last" }, { stage("b", 0, 80) }));
    CHECK(describe(whole) == "first=0-20 b=20-80 ");
    CHECK(whole.tokensReadAgain == 600);
    const auto next = planRepair(requestAvoiding({ "third", "last" }, { stage("b", 30, 80) }));
    CHECK(describe(next) == "first=0-20 second=20-40 b=40-80 ");
}

// Guards against an order that the first engine must refuse, and against one without a full path.
TEST_CASE("a lost first engine or missing layers lead to a new run", "[rerouting]")
{
    CHECK(describe(planRepair(requestAvoiding({ "first" }, { stage("b", 0, 80) }))) == "new run");
    CHECK(describe(planRepair(requestAvoiding({ "last" }, { stage("b", 0, 79) }))) == "new run");
    CHECK(describe(planRepair(requestAvoiding({ "last" }, { stage("last", 0, 80) }))) == "new run");
}

// Guards against a change that adds traffic between failure domains.
TEST_CASE("an engine of the chain's failure domain is preferred", "[rerouting]")
{
    const auto repair = planRepair(requestAvoiding(
            { "second" }, { stage("far", 0, 80, "b"), stage("n1", 0, 30), stage("n2", 30, 80) }));
    CHECK(describe(repair) == "first=0-20 n1=20-30 n2=30-40 third=40-60 last=60-80 ");
}

} // namespace fescuedeck
