// Counters, gauges and latency summaries, exported as Prometheus text.
//
// Use a counter for every event that an operator may want to rate; write a log line only when a
// state changes. References returned by the registry stay valid for its lifetime, so look a metric
// up once and keep the reference on hot paths.
#ifndef FESCUEDECK_TELEMETRY_METRICS_H
#define FESCUEDECK_TELEMETRY_METRICS_H

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fescuedeck/base/ranked_mutex.h"
#include "fescuedeck/base/time.h"

namespace fescuedeck {

using metric_labels = std::vector<std::pair<std::string, std::string>>;

// Thread-safe.
class counter
{
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{ 0 };
};

// Distribution of a quantity in seconds: count, sum and the quantiles 0.5, 0.95 and 0.99. The
// quantiles are P-square estimates, which cannot be merged between instances. Thread-safe.
class summary
{
public:
    summary();
    ~summary();
    summary(const summary &) = delete;
    summary &operator=(const summary &) = delete;

    void observe(duration value);
    std::uint64_t count() const;
    double sumSeconds() const;
    // probability is one of 0.5, 0.95 and 0.99; 0 before the first value.
    double quantileSeconds(double probability) const;

private:
    struct accumulators;
    mutable ranked_mutex m_mutex{ lock_rank::Telemetry };
    std::unique_ptr<accumulators> m_accumulators;
};

// Upper bounds of the buckets of every histogram, in milliseconds; one more bucket takes the rest.
constexpr std::array<int, 12> histogramBoundsMs
        = { 5, 10, 25, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000 };

// Counts of a time by buckets, which add up between processes. Thread-safe.
class histogram
{
public:
    void observe(duration value);
    // Not more than the bound with the given index; with the index past the last one, all.
    std::uint64_t countUpTo(std::size_t bound) const;
    double sumSeconds() const;

private:
    std::array<std::atomic<std::uint64_t>, histogramBoundsMs.size() + 1> m_buckets{};
    std::atomic<std::int64_t> m_sumMicros{ 0 };
};

// Thread-safe.
class metrics
{
public:
    counter &counterOf(const std::string &name, const metric_labels &labels = {});
    summary &summaryOf(const std::string &name, const metric_labels &labels = {});
    histogram &histogramOf(const std::string &name, const metric_labels &labels = {});
    // read is called at each export, without any lock held.
    void setGauge(const std::string &name, const metric_labels &labels,
                  std::function<double()> read);

    std::string prometheusText() const;

private:
    using series_key = std::pair<std::string, std::string>; // name, rendered labels

    mutable ranked_mutex m_mutex{ lock_rank::Telemetry };
    std::map<series_key, std::unique_ptr<counter>> m_counters;
    std::map<series_key, std::unique_ptr<summary>> m_summaries;
    std::map<series_key, std::unique_ptr<histogram>> m_histograms;
    std::map<series_key, std::function<double()>> m_gauges;
};

} // namespace fescuedeck

#endif
