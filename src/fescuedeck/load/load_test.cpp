#include <catch2/catch.hpp>

#include "fescuedeck/load/load_plan.h"
#include "fescuedeck/load/load_report.h"
#include "fescuedeck/load/token_check.h"

namespace fescuedeck {
namespace {

load_options mixedOptions()
{
    load_options options;
    options.routers = { "127.0.0.1:1", "127.0.0.1:2" };
    options.workspaces = { { "large", "t1", 9 }, { "small", "t2", 1 } };
    options.model = "waiver";
    options.draftShare = 0.5;
    options.writeShare = 0.5;
    options.count = 2000;
    options.requestsPerSecond = 100;
    return options;
}

} // namespace

TEST_CASE("a plan is fixed by its seed and follows rate and shares", "[load]")
{
    // Guards against runs that cannot be repeated or that send another load than they report.
    const auto plan = planLoad(mixedOptions());
    const auto again = planLoad(mixedOptions());
    REQUIRE(plan.size() == 2000);
    int drafts = 0;
    int large = 0;
    for (std::size_t i = 0; i < plan.size(); ++i) {
        CHECK(plan[i].at == again[i].at);
        CHECK(plan[i].prompt == again[i].prompt);
        CHECK(plan[i].kind != load_kind::Read);
        drafts += plan[i].kind == load_kind::Draft ? 1 : 0;
        large += plan[i].workspace == 0 ? 1 : 0;
    }
    CHECK(drafts == Approx(1000).margin(100));
    CHECK(large == Approx(1800).margin(80));
    CHECK(std::chrono::duration<double>(plan.back().at).count() == Approx(20).margin(2));
}

TEST_CASE("no request is planned after the time limit", "[load]")
{
    load_options options = mixedOptions();
    options.time = std::chrono::seconds(1);
    const auto plan = planLoad(options);
    REQUIRE_FALSE(plan.empty());
    CHECK(plan.back().at <= options.time);
}

TEST_CASE("duplicate and missing tokens are counted", "[load]")
{
    token_references references;
    const std::vector<std::string> tokens = { " a", " b", " c", " d" };
    CHECK(references.check("p", tokens).missing == 0);
    CHECK(references.check("p", { " a", " b", " b", " c", " d" }).duplicate == 1);
    CHECK(references.check("p", { " a", " c", " d" }).missing == 1);
    CHECK(references.check("p", { " a b", " c d" }).missing == 0);
}

TEST_CASE("the report separates latencies and errors", "[load]")
{
    load_report report;
    load_record draft;
    draft.workspace = "small";
    draft.whole = duration(5000);
    draft.tokenTimes = { duration(1000), duration(3000), duration(5000) };
    report.add(draft);
    load_record refused;
    refused.kind = load_kind::Write;
    refused.error = "log_unavailable";
    refused.outcome = "not-run";
    report.add(refused);
    const auto json = report.toJson();
    CHECK(json["latency_ms"]["first_token"]["p95"] == 1.0);
    CHECK(json["latency_ms"]["between_tokens"]["count"] == 2);
    CHECK(json["errors"]["log_unavailable not-run"] == 1);
    CHECK_FALSE(json["latency_ms"].contains("write"));
}

TEST_CASE("workspaces are parsed with their weights", "[load]")
{
    const auto workspaces = parseWorkspaces("large:t1:9,small:t2");
    REQUIRE(workspaces);
    CHECK(workspaces.value()[0].weight == 9);
    CHECK(workspaces.value()[1].token == "t2");
    CHECK_FALSE(parseWorkspaces("nameless"));
}

} // namespace fescuedeck
