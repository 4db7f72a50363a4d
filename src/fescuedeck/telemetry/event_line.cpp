#include "fescuedeck/telemetry/event_line.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <sstream>

#include "fescuedeck/telemetry/log_setup.h"

namespace fescuedeck {
namespace {

constexpr unsigned firstPrintable = 0x20;
constexpr unsigned firstNonAscii = 0x7f;

// Bytes outside ASCII may not be UTF-8, as they come from callers, and are written as escapes.
void appendEscaped(std::string &target, std::string_view text)
{
    for (const char c : text) {
        const auto code = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            target += '\\';
            target += c;
        } else if (code < firstPrintable || code >= firstNonAscii) {
            std::array<char, 8> escape{};
            std::snprintf(escape.data(), escape.size(), "\\u%04x", code);
            target += escape.data();
        } else {
            target += c;
        }
    }
}

} // namespace

event_line::event_line(std::string_view event, event_level level)
    : m_level(level)
    , m_text("{\"time_ms\":" + std::to_string(wallNow().count()))
{
    field("event", event);
}

event_line::~event_line()
{
    m_text += '}';
    if (m_level == event_level::Error)
        logError("event", m_text);
    else if (m_level == event_level::Warning)
        logWarning("event", m_text);
    else
        logInfo("event", m_text);
}

void event_line::addName(std::string_view name)
{
    m_text += ",\"";
    m_text += name;
    m_text += "\":";
}

event_line &event_line::field(std::string_view name, std::string_view text)
{
    addName(name);
    m_text += '"';
    appendEscaped(m_text, text);
    m_text += '"';
    return *this;
}

event_line &event_line::field(std::string_view name, std::int64_t number)
{
    addName(name);
    m_text += std::to_string(number);
    return *this;
}

event_line &event_line::field(std::string_view name, double number)
{
    constexpr double precision = 1000;
    addName(name);
    std::ostringstream text;
    text << (std::isfinite(number) ? std::round(number * precision) / precision : 0);
    m_text += text.str();
    return *this;
}

event_line &event_line::field(std::string_view name, bool flag)
{
    addName(name);
    m_text += flag ? "true" : "false";
    return *this;
}

event_line &event_line::field(std::string_view name, duration time)
{
    return field(name, std::int64_t(std::chrono::duration_cast<unix_millis>(time).count()));
}

} // namespace fescuedeck
