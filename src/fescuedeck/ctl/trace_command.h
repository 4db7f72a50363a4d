// The command `trace show`: the spans of one trace from all routers, as a tree.
#ifndef FESCUEDECK_CTL_TRACE_COMMAND_H
#define FESCUEDECK_CTL_TRACE_COMMAND_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fescuedeck/base/error.h"
#include "fescuedeck/ctl/bundle_commands.h"
#include "fescuedeck/ctl/command_result.h"
#include "fescuedeck/ctl/ctl_hooks.h"

namespace fescuedeck {

struct trace_span
{
    std::string id;
    std::string parent; // empty for a root
    std::string name;
    std::int64_t startNanos = 0;
    std::int64_t endNanos = 0;
    bool isError = false;
    std::map<std::string, std::string> attributes;
};

// Spans of an OTLP/JSON document. The error is InvalidMessage.
result<std::vector<trace_span>> parseSpans(const std::string &document);
// One line per span, children below their parent in the order of their start. A span whose parent
// is missing is a root.
std::string spanTree(std::vector<trace_span> spans);

// True for 32 lower-case hexadecimal digits.
bool isTraceId(const std::string &text);
command_result showTrace(const ctl_hooks &hooks, const ctl_options &options,
                         const std::string &traceId);

} // namespace fescuedeck

#endif
