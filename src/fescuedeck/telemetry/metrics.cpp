#include "fescuedeck/telemetry/metrics.h"

#include <array>
#include <mutex>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace fescuedeck {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> probabilities = { 0.5, 0.95, 0.99 };

std::string escaped(const std::string &value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\\' || c == '"')
            text.push_back('\\');
        if (c == '\n')
            text += "\\n";
        else
            text.push_back(c);
    }
    return text;
}

std::string rendered(const metric_labels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        if (!text.empty())
            text += ",";
        text += name + "=\"" + escaped(value) + "\"";
    }
    return text;
}

std::string withLabels(const std::string &name, const std::string &labels)
{
    return labels.empty() ? name : name + "{" + labels + "}";
}

// Writes the TYPE line once for each metric name.
class type_lines
{
public:
    explicit type_lines(std::ostringstream &out)
        : m_out(out)
    {
    }
    void write(const std::string &name, const char *type)
    {
        if (name == m_last)
            return;
        m_out << "# TYPE " << name << ' ' << type << '\n';
        m_last = name;
    }

private:
    std::ostringstream &m_out;
    std::string m_last;
};

void writeHistogram(std::ostringstream &out, const std::string &name, const std::string &labels,
                    const histogram &value)
{
    constexpr double millisPerSecond = 1000;
    const std::string separator = labels.empty() ? "" : ",";
    for (std::size_t index = 0; index < histogramBoundsMs.size(); ++index) {
        out << name << "_bucket{" << labels << separator << "le=\""
            << histogramBoundsMs[index] / millisPerSecond << "\"} " << value.countUpTo(index)
            << '\n';
    }
    const std::uint64_t count = value.countUpTo(histogramBoundsMs.size());
    out << name << "_bucket{" << labels << separator << "le=\"+Inf\"} " << count << '\n';
    out << withLabels(name + "_sum", labels) << ' ' << value.sumSeconds() << '\n';
    out << withLabels(name + "_count", labels) << ' ' << count << '\n';
}

} // namespace

struct summary::accumulators
{
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square_quantile>>
            values{ acc::extended_p_square_probabilities = probabilities };
};

summary::summary()
    : m_accumulators(std::make_unique<accumulators>())
{
}

summary::~summary() = default;

void summary::observe(duration value)
{
    const std::lock_guard lock(m_mutex);
    m_accumulators->values(std::chrono::duration<double>(value).count());
}

std::uint64_t summary::count() const
{
    const std::lock_guard lock(m_mutex);
    return acc::count(m_accumulators->values);
}

double summary::sumSeconds() const
{
    const std::lock_guard lock(m_mutex);
    return acc::sum(m_accumulators->values);
}

double summary::quantileSeconds(double probability) const
{
    const std::lock_guard lock(m_mutex);
    if (acc::count(m_accumulators->values) == 0)
        return 0;
    return acc::quantile(m_accumulators->values, acc::quantile_probability = probability);
}

void histogram::observe(duration value)
{
    std::size_t index = 0;
    while (index < histogramBoundsMs.size()
           && value > std::chrono::milliseconds(histogramBoundsMs[index]))
        ++index;
    m_buckets[index].fetch_add(1, std::memory_order_relaxed);
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    m_sumMicros.fetch_add(micros, std::memory_order_relaxed);
}

std::uint64_t histogram::countUpTo(std::size_t bound) const
{
    std::uint64_t count = 0;
    for (std::size_t index = 0; index <= bound && index < m_buckets.size(); ++index)
        count += m_buckets[index].load(std::memory_order_relaxed);
    return count;
}

double histogram::sumSeconds() const
{
    constexpr double microsPerSecond = 1e6;
    return static_cast<double>(m_sumMicros.load(std::memory_order_relaxed)) / microsPerSecond;
}

counter &metrics::counterOf(const std::string &name, const metric_labels &labels)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_counters[{ name, rendered(labels) }];
    if (!entry)
        entry = std::make_unique<counter>();
    return *entry;
}

summary &metrics::summaryOf(const std::string &name, const metric_labels &labels)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_summaries[{ name, rendered(labels) }];
    if (!entry)
        entry = std::make_unique<summary>();
    return *entry;
}

histogram &metrics::histogramOf(const std::string &name, const metric_labels &labels)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_histograms[{ name, rendered(labels) }];
    if (!entry)
        entry = std::make_unique<histogram>();
    return *entry;
}

void metrics::setGauge(const std::string &name, const metric_labels &labels,
                       std::function<double()> read)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[{ name, rendered(labels) }] = std::move(read);
}

std::string metrics::prometheusText() const
{
    // Copies of the keys and pointers: entries are never removed, and reading a gauge or a summary
    // takes locks of its own.
    std::vector<std::pair<series_key, const counter *>> counters;
    std::vector<std::pair<series_key, const summary *>> summaries;
    std::vector<std::pair<series_key, const histogram *>> histograms;
    std::map<series_key, std::function<double()>> gauges;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[key, value] : m_counters)
            counters.emplace_back(key, value.get());
        for (const auto &[key, value] : m_summaries)
            summaries.emplace_back(key, value.get());
        for (const auto &[key, value] : m_histograms)
            histograms.emplace_back(key, value.get());
        gauges = m_gauges;
    }
    std::ostringstream out;
    type_lines types(out);
    for (const auto &[key, value] : counters) {
        types.write(key.first, "counter");
        out << withLabels(key.first, key.second) << ' ' << value->value() << '\n';
    }
    for (const auto &[key, read] : gauges) {
        types.write(key.first, "gauge");
        out << withLabels(key.first, key.second) << ' ' << read() << '\n';
    }
    for (const auto &[key, value] : summaries) {
        types.write(key.first, "summary");
        const std::string separator = key.second.empty() ? "" : ",";
        for (const double probability : probabilities) {
            out << key.first << '{' << key.second << separator << "quantile=\"" << probability
                << "\"} " << value->quantileSeconds(probability) << '\n';
        }
        out << withLabels(key.first + "_sum", key.second) << ' ' << value->sumSeconds() << '\n';
        out << withLabels(key.first + "_count", key.second) << ' ' << value->count() << '\n';
    }
    for (const auto &[key, value] : histograms) {
        types.write(key.first, "histogram");
        writeHistogram(out, key.first, key.second, *value);
    }
    return out.str();
}

} // namespace fescuedeck
