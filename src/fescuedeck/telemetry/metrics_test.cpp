#include "fescuedeck/telemetry/metrics.h"

#include <catch2/catch.hpp>

namespace fescuedeck {

TEST_CASE("metrics are exported as Prometheus text", "[telemetry]")
{
    metrics registry;
    registry.counterOf("requests_total", { { "workspace", "er\"g" } }).add(3);
    registry.setGauge("version", {}, [] { return 7.0; });
    registry.summaryOf("step_seconds").observe(std::chrono::milliseconds(20));
    const std::string text = registry.prometheusText();
    CHECK(text.find("# TYPE requests_total counter\nrequests_total{workspace=\"er\\\"g\"} 3\n")
          != std::string::npos);
    CHECK(text.find("version 7\n") != std::string::npos);
    CHECK(text.find("step_seconds_count 1\n") != std::string::npos);
}

TEST_CASE("a histogram's buckets count all smaller values", "[telemetry]")
{
    metrics registry;
    histogram &waits = registry.histogramOf("wait_seconds", { { "kind", "safe" } });
    waits.observe(std::chrono::milliseconds(5));
    waits.observe(std::chrono::milliseconds(6));
    waits.observe(std::chrono::minutes(1));
    const std::string text = registry.prometheusText();
    const auto holds = [&](const char *line) { return text.find(line) != std::string::npos; };
    CHECK(holds("# TYPE wait_seconds histogram\n"));
    CHECK(holds("wait_seconds_bucket{kind=\"safe\",le=\"0.005\"} 1\n"));
    CHECK(holds("wait_seconds_bucket{kind=\"safe\",le=\"0.01\"} 2\n"));
    CHECK(holds("wait_seconds_bucket{kind=\"safe\",le=\"20\"} 2\n"));
    CHECK(holds("wait_seconds_bucket{kind=\"safe\",le=\"+Inf\"} 3\n"));
    CHECK(holds("wait_seconds_sum{kind=\"safe\"} 60.011\n"));
    CHECK(holds("wait_seconds_count{kind=\"safe\"} 3\n"));
}

TEST_CASE("a gauge may lock its own table while it is read", "[telemetry]")
{
    // Guards against an export that holds the registry's lock, which has the highest rank, while a
    // gauge takes a lock of a lower rank.
    ranked_mutex fleet(lock_rank::Fleet);
    metrics registry;
    registry.setGauge("endpoints", {}, [&fleet] {
        const std::lock_guard lock(fleet);
        return 2.0;
    });
    CHECK(registry.prometheusText().find("endpoints 2") != std::string::npos);
}

} // namespace fescuedeck
