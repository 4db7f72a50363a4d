#include "fescuedeck/telemetry/trace.h"

#include <algorithm>
#include <chrono>
#include <mutex>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/ids.h"

namespace fescuedeck {
namespace {

using nlohmann::json;

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;
// "00-" trace id "-" span id "-" flags
constexpr std::size_t traceparentSize = 3 + traceIdDigits + 1 + spanIdDigits + 1 + 2;
constexpr int otlpSpanKindClient = 3;
constexpr int otlpStatusError = 2;
// A trace of a long draft has one span a hop; beyond this many the rest is only exported.
constexpr std::size_t maxSpansPerTrace = 4096;

bool isLowerHex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool isAllZero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

json spanJson(const span &finished)
{
    json attributes = json::array();
    for (const auto &[name, value] : finished.attributes)
        attributes.push_back({ { "key", name }, { "value", { { "stringValue", value } } } });
    json value = { { "traceId", finished.context.traceId },
                   { "spanId", finished.context.spanId },
                   { "name", finished.name },
                   { "kind", otlpSpanKindClient },
                   { "startTimeUnixNano", std::to_string(finished.startNanos) },
                   { "endTimeUnixNano", std::to_string(finished.endNanos) },
                   { "attributes", attributes } };
    if (!finished.parentSpanId.empty())
        value["parentSpanId"] = finished.parentSpanId;
    if (finished.failed)
        value["status"] = { { "code", otlpStatusError } };
    return value;
}

json otlpDocument(const json &spans, const std::string &serviceName)
{
    const json service
            = { { "key", "service.name" }, { "value", { { "stringValue", serviceName } } } };
    const json scope = { { "scope", { { "name", "fescuedeck" } } }, { "spans", spans } };
    const json resource = { { "resource", { { "attributes", json::array({ service }) } } },
                            { "scopeSpans", json::array({ scope }) } };
    return { { "resourceSpans", json::array({ resource }) } };
}

} // namespace

std::optional<trace_context> parseTraceparent(std::string_view header)
{
    if (header.size() != traceparentSize || header.substr(0, 3) != "00-")
        return std::nullopt;
    const std::string_view traceId = header.substr(3, traceIdDigits);
    const std::string_view spanId = header.substr(3 + traceIdDigits + 1, spanIdDigits);
    const bool hyphens = header[3 + traceIdDigits] == '-'
                         && header[3 + traceIdDigits + 1 + spanIdDigits] == '-';
    if (!hyphens || !isLowerHex(traceId) || !isLowerHex(spanId) || isAllZero(traceId)
        || isAllZero(spanId))
        return std::nullopt;
    return trace_context{ std::string(traceId), std::string(spanId) };
}

std::string formatTraceparent(const trace_context &context)
{
    return "00-" + context.traceId + "-" + context.spanId + "-01";
}

std::string otlpLine(const span &finished, const std::string &serviceName)
{
    return otlpDocument(json::array({ spanJson(finished) }), serviceName).dump();
}

trace_store::trace_store(std::string serviceName, std::size_t maxTraces, export_fn exportLine)
    : m_serviceName(std::move(serviceName))
    , m_maxTraces(maxTraces)
    , m_export(std::move(exportLine))
{
}

void trace_store::record(span finished)
{
    if (m_export)
        m_export(otlpLine(finished, m_serviceName));
    const std::lock_guard lock(m_mutex);
    const std::string traceId = finished.context.traceId;
    auto [entry, isNew] = m_traces.try_emplace(traceId);
    if (entry->second.size() < maxSpansPerTrace)
        entry->second.push_back(std::move(finished));
    if (!isNew)
        return;
    m_order.push_back(traceId);
    if (m_order.size() > m_maxTraces) {
        m_traces.erase(m_order.front());
        m_order.pop_front();
    }
}

std::vector<span> trace_store::find(const std::string &traceId) const
{
    std::vector<span> spans;
    {
        const std::lock_guard lock(m_mutex);
        const auto entry = m_traces.find(traceId);
        if (entry == m_traces.end())
            return {};
        spans = entry->second;
    }
    std::sort(spans.begin(), spans.end(),
              [](const span &a, const span &b) { return a.startNanos < b.startNanos; });
    return spans;
}

std::string trace_store::findOtlp(const std::string &traceId) const
{
    json spans = json::array();
    for (const span &finished : find(traceId))
        spans.push_back(spanJson(finished));
    return otlpDocument(spans, m_serviceName).dump();
}

std::int64_t nowUnixNanos()
{
    using std::chrono::system_clock;
    return std::chrono::nanoseconds(system_clock::now().time_since_epoch()).count();
}

trace_context newTrace(const random_fn &random)
{
    return { randomHex(traceIdDigits / 2, random), randomHex(spanIdDigits / 2, random) };
}

trace_context childOf(const trace_context &parent, const random_fn &random)
{
    return { parent.traceId, randomHex(spanIdDigits / 2, random) };
}

} // namespace fescuedeck
