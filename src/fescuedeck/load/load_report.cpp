#include "fescuedeck/load/load_report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace fescuedeck {
namespace {

double millis(duration time)
{
    return static_cast<double>(time.count()) / 1000.0;
}

// Smallest sample that at least the given share of the samples does not exceed.
double quantile(const std::vector<duration> &sorted, double share)
{
    const auto rank = static_cast<std::size_t>(std::ceil(share * sorted.size()));
    return millis(sorted[std::max<std::size_t>(rank, 1) - 1]);
}

nlohmann::json quantiles(std::vector<duration> samples)
{
    std::sort(samples.begin(), samples.end());
    return { { "count", samples.size() },
             { "p50", quantile(samples, 0.5) },
             { "p95", quantile(samples, 0.95) },
             { "p99", quantile(samples, 0.99) },
             { "max", millis(samples.back()) } };
}

} // namespace

void load_report::add(const load_record &record)
{
    m_tokens += static_cast<int>(record.tokenTimes.size());
    m_duplicate += record.tokens.duplicate;
    m_missing += record.tokens.missing;
    if (!record.error.empty()) {
        m_failed += 1;
        m_errors[record.error + " " + record.outcome] += 1;
        return;
    }
    m_completed += 1;
    m_completedByWorkspace[record.workspace] += 1;
    m_latencies[loadKindName(record.kind)].push_back(record.whole);
    for (std::size_t i = 0; i < record.tokenTimes.size(); ++i) {
        if (i == 0)
            m_latencies["first_token"].push_back(record.tokenTimes[0]);
        else
            m_latencies["between_tokens"].push_back(record.tokenTimes[i]
                                                    - record.tokenTimes[i - 1]);
    }
}

nlohmann::json load_report::toJson() const
{
    nlohmann::json latencies = nlohmann::json::object();
    for (const auto &[name, samples] : m_latencies)
        latencies[name] = quantiles(samples);
    const double seconds = std::chrono::duration<double>(m_elapsed).count();
    return { { "elapsed_s", seconds },
             { "completed", m_completed },
             { "failed", m_failed },
             { "unsent", m_unsent },
             { "tokens", m_tokens },
             { "duplicate_tokens", m_duplicate },
             { "missing_tokens", m_missing },
             { "requests_per_s", seconds > 0 ? m_completed / seconds : 0 },
             { "tokens_per_s", seconds > 0 ? m_tokens / seconds : 0 },
             { "errors", m_errors },
             { "completed_by_workspace", m_completedByWorkspace },
             { "latency_ms", latencies } };
}

std::string load_report::toText() const
{
    const nlohmann::json report = toJson();
    std::ostringstream text;
    text << std::fixed << std::setprecision(2);
    text << "completed " << m_completed << ", failed " << m_failed << ", not sent " << m_unsent
         << " in " << report["elapsed_s"].get<double>() << " s ("
         << report["requests_per_s"].get<double>() << " requests/s, "
         << report["tokens_per_s"].get<double>() << " tokens/s)\n"
         << "tokens " << m_tokens << ", duplicate " << m_duplicate << ", missing " << m_missing
         << "\n";
    for (const auto &[name, values] : report["latency_ms"].items()) {
        text << std::left << std::setw(16) << name << " ms: p50 " << values["p50"].get<double>()
             << "  p95 " << values["p95"].get<double>() << "  p99 " << values["p99"].get<double>()
             << "  max " << values["max"].get<double>() << "  (" << values["count"] << ")\n";
    }
    for (const auto &[name, count] : m_errors)
        text << "error " << name << ": " << count << "\n";
    return text.str();
}

} // namespace fescuedeck
