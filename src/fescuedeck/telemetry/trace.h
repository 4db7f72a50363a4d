// Trace spans: one for each hop and each outside call of a request.
//
// Trace context travels in the W3C traceparent header. Spans are kept in a bounded store, shown at
// the operators' address, and exported as OTLP/JSON lines through a hook.
#ifndef FESCUEDECK_TELEMETRY_TRACE_H
#define FESCUEDECK_TELEMETRY_TRACE_H

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fescuedeck/base/random.h"
#include "fescuedeck/base/ranked_mutex.h"

namespace fescuedeck {

struct trace_context
{
    std::string traceId; // 32 hex digits
    std::string spanId;  // 16 hex digits
};

// Accepts version 00 of the traceparent header; empty if the text is malformed.
std::optional<trace_context> parseTraceparent(std::string_view header);
std::string formatTraceparent(const trace_context &context);

using span_attributes = std::vector<std::pair<std::string, std::string>>;

struct span
{
    trace_context context;
    std::string parentSpanId; // empty for a root span
    std::string name;
    std::int64_t startNanos = 0; // since the Unix epoch
    std::int64_t endNanos = 0;
    bool failed = false;
    span_attributes attributes;
};

// One OTLP/JSON line (an ExportTraceServiceRequest with one span).
std::string otlpLine(const span &finished, const std::string &serviceName);

// Bounded by the number of traces; the oldest trace is dropped first. Thread-safe.
class trace_store
{
public:
    using export_fn = std::function<void(const std::string &otlpLine)>;

    trace_store(std::string serviceName, std::size_t maxTraces, export_fn exportLine = {});

    void record(span finished);
    // The spans of a trace in the order of their start; empty if the trace is not stored.
    std::vector<span> find(const std::string &traceId) const;
    // The same as an OTLP/JSON document.
    std::string findOtlp(const std::string &traceId) const;

private:
    const std::string m_serviceName;
    const std::size_t m_maxTraces;
    const export_fn m_export;
    mutable ranked_mutex m_mutex{ lock_rank::Telemetry };
    std::unordered_map<std::string, std::vector<span>> m_traces;
    std::deque<std::string> m_order;
};

std::int64_t nowUnixNanos();
trace_context newTrace(const random_fn &random);
// A new span id in the parent's trace.
trace_context childOf(const trace_context &parent, const random_fn &random);

} // namespace fescuedeck

#endif
