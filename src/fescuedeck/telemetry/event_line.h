// One structured log line: a JSON object with the name of an event and its fields.
//
// Use one line for each decision that touches a request or changes what the process believes. The
// names of all events and their fields are listed in docs/OPERATIONS.md.
#ifndef FESCUEDECK_TELEMETRY_EVENT_LINE_H
#define FESCUEDECK_TELEMETRY_EVENT_LINE_H

#include <cstdint>
#include <string>
#include <string_view>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

enum class event_level {
    Info,
    Warning, // something was lost or refused
    Error,   // needs an operator
};

// The line is written when the object is destroyed. Lines of one object's thread keep their order.
class event_line
{
public:
    explicit event_line(std::string_view event, event_level level = event_level::Info);
    ~event_line();
    event_line(const event_line &) = delete;
    event_line &operator=(const event_line &) = delete;

    event_line &field(std::string_view name, std::string_view text);
    event_line &field(std::string_view name, const char *text)
    {
        return field(name, std::string_view(text));
    }
    event_line &field(std::string_view name, std::int64_t number);
    event_line &field(std::string_view name, int number)
    {
        return field(name, static_cast<std::int64_t>(number));
    }
    // With up to three decimals. A number that is not finite is written as 0, as JSON has none.
    event_line &field(std::string_view name, double number);
    event_line &field(std::string_view name, bool flag);
    // In milliseconds; the field's name ends in "_ms".
    event_line &field(std::string_view name, duration time);

private:
    void addName(std::string_view name);

    const event_level m_level;
    std::string m_text;
};

} // namespace fescuedeck

#endif
