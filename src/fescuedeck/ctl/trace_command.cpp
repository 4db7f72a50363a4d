#include "fescuedeck/ctl/trace_command.h"

#include <algorithm>
#include <cstdio>
#include <set>

namespace fescuedeck {
namespace {

using json = nlohmann::json;

constexpr duration callTimeout = std::chrono::seconds(3);
constexpr int errorStatusCode = 2; // STATUS_CODE_ERROR of OTLP

// OTLP/JSON writes 64-bit integers as strings; numbers are accepted as well.
std::int64_t nanosOf(const json &value)
{
    return value.is_string() ? std::stoll("0" + value.get<std::string>())
                             : value.get<std::int64_t>();
}

std::string attributeText(const json &value)
{
    if (!value.is_object() || value.empty())
        return "";
    const json &content = *value.begin();
    return content.is_string() ? content.get<std::string>() : content.dump();
}

trace_span parseSpan(const json &entry)
{
    trace_span span;
    span.id = entry.at("spanId").get<std::string>();
    span.parent = entry.value("parentSpanId", std::string());
    span.name = entry.at("name").get<std::string>();
    span.startNanos = nanosOf(entry.at("startTimeUnixNano"));
    span.endNanos = nanosOf(entry.at("endTimeUnixNano"));
    span.isError = entry.value("status", json::object()).value("code", 0) == errorStatusCode;
    for (const json &attribute : entry.value("attributes", json::array()))
        span.attributes[attribute.at("key").get<std::string>()]
                = attributeText(attribute.value("value", json::object()));
    return span;
}

std::string millisText(std::int64_t nanos)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f ms", static_cast<double>(nanos) / 1e6);
    return text;
}

// Control characters of a span's text must not reach the terminal.
std::string printable(std::string text)
{
    std::replace_if(
            text.begin(), text.end(),
            [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; }, '?');
    return text;
}

class tree_writer
{
public:
    explicit tree_writer(std::vector<trace_span> spans)
        : m_spans(std::move(spans))
    {
        std::set<std::string> ids;
        for (const trace_span &span : m_spans)
            ids.insert(span.id);
        for (const trace_span &span : m_spans) {
            const bool isRoot = ids.count(span.parent) == 0 || span.parent == span.id;
            m_children[isRoot ? "" : span.parent].push_back(&span);
            m_start = m_start == 0 ? span.startNanos : std::min(m_start, span.startNanos);
        }
        for (auto &[parent, children] : m_children) {
            std::stable_sort(children.begin(), children.end(),
                             [](const trace_span *a, const trace_span *b) {
                                 return a->startNanos < b->startNanos;
                             });
        }
    }

    // Depth-first with an explicit stack: the depth is the sender's choice. Spans whose parents
    // form a cycle are unreachable from the roots and follow at the end.
    std::string write()
    {
        std::string text;
        writeFrom("", text);
        for (const trace_span &span : m_spans) {
            if (m_written.count(&span) == 0)
                writeSubtree(span, text);
        }
        return text;
    }

private:
    using stack = std::vector<std::pair<const trace_span *, int>>;

    void push(stack &open, const std::string &parent, int depth) const
    {
        const auto found = m_children.find(parent);
        if (found == m_children.end())
            return;
        for (auto child = found->second.rbegin(); child != found->second.rend(); ++child)
            open.emplace_back(*child, depth);
    }

    void writeFrom(const std::string &parent, std::string &text)
    {
        stack open;
        push(open, parent, 0);
        drain(open, text);
    }

    void writeSubtree(const trace_span &span, std::string &text)
    {
        stack open = { { &span, 0 } };
        drain(open, text);
    }

    void drain(stack &open, std::string &text)
    {
        while (!open.empty()) {
            const auto [span, depth] = open.back();
            open.pop_back();
            if (!m_written.insert(span).second)
                continue;
            text += line(*span, depth);
            push(open, span->id, depth + 1);
        }
    }

    std::string line(const trace_span &span, int depth) const
    {
        std::string text(static_cast<std::size_t>(2 * depth), ' ');
        text += printable(span.name) + "  +" + millisText(span.startNanos - m_start) + "  "
                + millisText(span.endNanos - span.startNanos);
        if (span.isError)
            text += "  ERROR";
        for (const auto &[key, value] : span.attributes)
            text.append("  ").append(printable(key)).append("=").append(printable(value));
        return text + "\n";
    }

    std::vector<trace_span> m_spans;
    std::map<std::string, std::vector<const trace_span *>> m_children;
    std::set<const trace_span *> m_written;
    std::int64_t m_start = 0;
};

struct collected_trace
{
    std::vector<trace_span> spans;
    std::vector<failure> failures;
};

// Routers without the trace answer 404.
collected_trace collectSpans(const ctl_hooks &hooks, const ctl_options &options,
                             const std::string &traceId)
{
    collected_trace trace;
    std::set<std::string> ids;
    for (const std::string &address : options.routers) {
        const auto answer
                = hooks.call(address, { "GET", "/traces/" + traceId, {}, "" }, callTimeout);
        if (!answer) {
            trace.failures.push_back(
                    makeFailure(errc::ConnectionFailed, address + ": " + answer.error().detail));
            continue;
        }
        if (answer.value().status == 404)
            continue;
        const auto spans = parseSpans(answer.value().body);
        if (answer.value().status != 200 || !spans) {
            trace.failures.push_back(
                    makeFailure(errc::InvalidMessage, address + " did not answer with spans"));
            continue;
        }
        for (const trace_span &span : spans.value()) {
            if (ids.insert(span.id).second)
                trace.spans.push_back(span);
        }
    }
    return trace;
}

json spanJson(const trace_span &span)
{
    return { { "span", span.id },
             { "parent", span.parent },
             { "name", span.name },
             { "start_ns", span.startNanos },
             { "end_ns", span.endNanos },
             { "error", span.isError },
             { "attributes", span.attributes } };
}

} // namespace

result<std::vector<trace_span>> parseSpans(const std::string &document)
{
    const json tree = json::parse(document, nullptr, false);
    try {
        std::vector<trace_span> spans;
        for (const json &resource : tree.at("resourceSpans")) {
            for (const json &scope : resource.at("scopeSpans")) {
                for (const json &entry : scope.at("spans"))
                    spans.push_back(parseSpan(entry));
            }
        }
        return spans;
    } catch (const std::exception &error) { // json::exception or, from stoll, out_of_range
        return makeFailure(errc::InvalidMessage, std::string("not OTLP/JSON: ") + error.what());
    }
}

std::string spanTree(std::vector<trace_span> spans)
{
    return tree_writer(std::move(spans)).write();
}

bool isTraceId(const std::string &text)
{
    return text.size() == 32 && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

command_result showTrace(const ctl_hooks &hooks, const ctl_options &options,
                         const std::string &traceId)
{
    const collected_trace trace = collectSpans(hooks, options, traceId);
    command_result outcome;
    if (trace.spans.empty() && trace.failures.empty())
        outcome = failedResult(makeFailure(errc::NotFound, "no router has spans of " + traceId));
    for (const failure &error : trace.failures) {
        outcome.status = exit_status::Unavailable;
        outcome.text += "error: " + error.message() + "\n";
    }
    outcome.text += spanTree(trace.spans);
    outcome.document["trace"] = traceId;
    outcome.document["spans"] = json::array();
    for (const trace_span &span : trace.spans)
        outcome.document["spans"].push_back(spanJson(span));
    return outcome;
}

} // namespace fescuedeck
