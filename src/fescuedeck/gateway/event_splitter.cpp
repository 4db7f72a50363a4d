#include "fescuedeck/gateway/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace fescuedeck {
namespace {

constexpr std::string_view idField = "id:";

// Length of the first event with the empty line that ends it; 0 if the event is not complete yet.
// Lines may end with "\n" or "\r\n", also within one event.
std::size_t firstEventSize(std::string_view text)
{
    std::size_t lineStart = 0;
    std::size_t lineEnd = text.find('\n');
    while (lineEnd != std::string_view::npos) {
        const std::string_view line = text.substr(lineStart, lineEnd - lineStart);
        if (line.empty() || line == "\r")
            return lineEnd + 1;
        lineStart = lineEnd + 1;
        lineEnd = text.find('\n', lineStart);
    }
    return 0;
}

std::optional<std::int64_t> idOf(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t lineEnd = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, lineEnd);
        event.remove_prefix(std::min(lineEnd + 1, event.size()));
        if (line.substr(0, idField.size()) != idField)
            continue;
        line.remove_prefix(idField.size());
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        std::int64_t id = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
        if (parsed.ec != std::errc())
            return std::nullopt;
        return id;
    }
    return std::nullopt;
}

// Whether the block has no field. Endpoints may send comments to keep a connection open.
bool isComment(std::string_view block)
{
    constexpr std::string_view lineEnds = "\r\n";
    bool isLineStart = true;
    for (const char character : block) {
        const bool isLineEnd = lineEnds.find(character) != std::string_view::npos;
        if (isLineStart && !isLineEnd && character != ':')
            return false;
        isLineStart = isLineEnd;
    }
    return true;
}

} // namespace

event_splitter::event_splitter(std::optional<std::int64_t> lastId)
    : m_lastId(lastId)
{
}

void event_splitter::feed(std::string_view part)
{
    m_pending += part;
}

std::string event_splitter::take()
{
    std::string taken;
    std::size_t used = 0;
    while (!m_isInvalid) {
        const std::string_view rest = std::string_view(m_pending).substr(used);
        const std::size_t size = firstEventSize(rest);
        if (size == 0)
            break;
        takeEvent(rest.substr(0, size), taken);
        used += size;
    }
    m_pending.erase(0, used);
    m_isInvalid = m_isInvalid || m_pending.size() > maxEventBytes;
    return taken;
}

void event_splitter::takeEvent(std::string_view event, std::string &taken)
{
    if (isComment(event))
        return;
    const std::optional<std::int64_t> id = idOf(event);
    if (!id) {
        m_isInvalid = true;
        return;
    }
    ++m_completeEvents;
    if (m_lastId && *id <= *m_lastId)
        return;
    // Events are missing before this one. To relay it would hide the loss from the caller.
    if (m_lastId && *id != *m_lastId + 1) {
        m_isInvalid = true;
        return;
    }
    m_lastId = id;
    taken += event;
}

} // namespace fescuedeck
