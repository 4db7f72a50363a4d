// Splits a stream of server-sent events into whole events and reads their ids.
//
// A stream may break off inside an event. Only whole events may reach the caller, so that another
// endpoint can go on after the last of them.
#ifndef FESCUEDECK_GATEWAY_EVENT_SPLITTER_H
#define FESCUEDECK_GATEWAY_EVENT_SPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuedeck {

// Not thread-safe.
class event_splitter
{
public:
    // Events with ids up to lastId are left out of what take() returns.
    explicit event_splitter(std::optional<std::int64_t> lastId = std::nullopt);

    void feed(std::string_view part);
    // The bytes of all events that are whole by now, as received.
    std::string take();
    // Id of the last event that take() returned, or the one given at the start.
    std::optional<std::int64_t> lastId() const { return m_lastId; }
    // Whether bytes of an unfinished event are left.
    bool hasPartialEvent() const { return !m_pending.empty(); }
    // Whether an event had no id, an id that cannot be read, or one that leaves a gap.
    bool hasInvalidId() const { return m_hasInvalidId; }

private:
    void takeEvent(std::string_view event, std::string &taken);

    std::string m_pending;
    std::optional<std::int64_t> m_lastId;
    bool m_hasInvalidId = false;
};

} // namespace fescuedeck

#endif
