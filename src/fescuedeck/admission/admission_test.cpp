#include "fescuedeck/admission/fair_queue.h"
#include "fescuedeck/admission/retry_budget.h"
#include "fescuedeck/admission/stage_limiter.h"
#include "fescuedeck/admission/work_predictor.h"

#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

using namespace std::chrono_literals;

const time_point start{ 100s };
const time_point late{ 1000s };

queued_request request(const std::string &id, const std::string &workspace, double work)
{
    return { id, workspace, work, late, false };
}

} // namespace

TEST_CASE("workspaces are served in proportion to their weights in units of work", "[admission]")
{
    // Guards against a workspace that starves the others because it sends many requests at once or
    // long requests.
    fair_queue queue;
    queue.setWorkspace("flood", 1, 10000);
    queue.setWorkspace("long", 1, 10000);
    queue.setWorkspace("double", 2, 10000);
    for (int i = 0; i < 4000; ++i)
        REQUIRE(queue.push(request(std::to_string(i), "flood", 1), start));
    for (int i = 0; i < 1000; ++i) {
        REQUIRE(queue.push(request(std::to_string(i), "long", 10), start));
        REQUIRE(queue.push(request(std::to_string(i), "double", 5), start));
    }
    std::map<std::string, double> served;
    double total = 0;
    while (total < 8000) {
        const auto next = queue.pop(start);
        REQUIRE(next);
        served[next->workspace] += next->work;
        total += next->work;
    }
    CHECK(served["flood"] == Approx(2000).margin(20));
    CHECK(served["long"] == Approx(2000).margin(20));
    CHECK(served["double"] == Approx(4000).margin(20));
}

TEST_CASE(
        "an idle workspace gets credit for at most four requests and a wrong prediction is charged",
        "[admission]")
{
    fair_queue queue;
    queue.setWorkspace("a", 1, 100);
    queue.setWorkspace("b", 1, 100);
    for (int i = 0; i < 60; ++i)
        REQUIRE(queue.push(request(std::to_string(i), "a", 1), start));
    for (int i = 0; i < 20; ++i)
        queue.pop(start);
    for (int i = 0; i < 40; ++i)
        REQUIRE(queue.push(request(std::to_string(i), "b", 1), start));
    int fromB = 0;
    for (int i = 0; i < 20; ++i)
        fromB += queue.pop(start)->workspace == "b" ? 1 : 0;
    // Workspace b gets half of the 20 requests and its credit of four. Start-time fair queueing is
    // exact to one request.
    CHECK(fromB >= 10);
    CHECK(fromB <= 15);
    queue.adjustCharge("b", 1, 11); // one request of b was 11 times as long as predicted
    for (int i = 0; i < 10; ++i)
        CHECK(queue.pop(start)->workspace == "a");
}

TEST_CASE("the queue is limited per workspace and refuses requests that would miss their deadline",
          "[admission]")
{
    // Guards against requests that wait until their deadline although they cannot be served by
    // then.
    fair_queue queue;
    queue.setWorkspace("a", 1, 50);
    queue.setWorkspace("b", 1, 50);
    queue.setWorkspace("c", 1, 1);
    REQUIRE(queue.push(request("1", "c", 1), start));
    CHECK(queue.push(request("2", "c", 1), start).error().code == errc::Overloaded);
    for (int i = 1; i <= 4; ++i)
        queue.recordServed(100, start + i * 250ms); // 400 work units a second
    for (int i = 0; i < 20; ++i)
        REQUIRE(queue.push(request(std::to_string(i), "a", 100), start));
    queued_request urgent = request("urgent", "a", 100);
    urgent.deadline = start + 1s;
    CHECK(queue.push(urgent, start).error().code == errc::Overloaded);
    urgent.workspace = "b"; // has no backlog of its own
    CHECK(queue.push(urgent, start));
}

TEST_CASE("started streams come first and takeExpired returns expired requests", "[admission]")
{
    fair_queue queue;
    queue.setWorkspace("a", 1, 50);
    queued_request expiring = request("expiring", "a", 1);
    expiring.deadline = start + 1s;
    REQUIRE(queue.push(expiring, start));
    REQUIRE(queue.push(request("new", "a", 1), start));
    queued_request begun = request("begun", "a", 1);
    begun.started = true;
    REQUIRE(queue.push(begun, start));
    CHECK(queue.pop(start + 2s)->id == "begun");
    const auto next = queue.pop(start + 2s);
    CHECK(next->id == "new");
    CHECK(queue.takeExpired().size() == 1);
    queue.putBack(*next);
    CHECK(queue.remove("a", "new"));
    CHECK(queue.isEmpty());
    CHECK_FALSE(queue.pop(start + 2s));
}

TEST_CASE("the retry budget ends retries in a total outage", "[admission]")
{
    // Guards against retries that multiply the load although no request succeeds any more.
    retry_budget budget({ 0.2, 50, 10 });
    for (int i = 0; i < 1000; ++i)
        budget.recordSuccess("waiver");
    int retries = 0;
    for (int i = 0; i < 10000; ++i)
        retries += budget.takeRetry("waiver") ? 1 : 0;
    CHECK(retries == 50);
    CHECK(budget.takeRetry("writer")); // models do not share a budget
    for (int i = 0; i < 10; ++i)
        budget.recordSuccess("waiver");
    CHECK(budget.takeRetry("waiver"));
}

TEST_CASE("the stage limit converges to the lowest level with full throughput", "[admission]")
{
    // A batch of up to 16 items takes 4 ms plus 0.25 ms per item; more items wait for the next
    // batch.
    stage_limiter limiter;
    const auto latency = [](double items) {
        const double batch = std::min(items, 16.0);
        return (0.004 + 0.00025 * batch) * items / batch;
    };
    for (int i = 0; i < 20000; ++i) {
        const double items = 1 + i % static_cast<int>(limiter.limit());
        limiter.record(items, latency(items));
    }
    CHECK(limiter.limit() >= 14);
    CHECK(limiter.limit() <= 24);
}

TEST_CASE("the output length is predicted for each workspace and model", "[admission]")
{
    work_predictor predictor;
    CHECK(predictor.outputTokens("a", "writer", 100) == 100); // bounded by max_tokens
    for (int i = 0; i < 200; ++i) {
        predictor.record("a", "writer", 20);
        predictor.record("b", "writer", 400);
    }
    CHECK(predictor.outputTokens("a", "writer", 1000) == Approx(20).epsilon(0.2));
    CHECK(predictor.outputTokens("b", "writer", 1000) == Approx(400).epsilon(0.1));
    const double unknown = predictor.outputTokens("c", "writer", 1000);
    CHECK(unknown > 100); // between the workspaces of the model
    CHECK(unknown < 400);
}

} // namespace fescuedeck
