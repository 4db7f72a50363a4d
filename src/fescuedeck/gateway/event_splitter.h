// Splits a stream of server-sent events into whole events and reads their ids.
//
// A stream may end inside an event. Only whole events may reach the caller, so that another
// endpoint can resume the stream after the last of them.
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
    // The caller already has the events with ids up to lastId, so take() omits them.
    explicit event_splitter(std::optional<std::int64_t> lastId = std::nullopt);

    void feed(std::string_view part);
    // Returns the bytes of all complete events that were not taken before, as received. Stops at
    // the first event with an invalid id, which is dropped.
    std::string take();
    // Id of the last event that take() returned, or the id given to the constructor.
    std::optional<std::int64_t> lastId() const { return m_lastId; }
    // Whether bytes of an incomplete event are left.
    bool hasPartialEvent() const { return !m_pending.empty(); }
    // Whether an event had no id, an id that cannot be parsed, or an id that does not follow the
    // one before it.
    bool hasInvalidId() const { return m_hasInvalidId; }

private:
    // Appends the event to taken unless the caller has it or its id is invalid.
    void takeEvent(std::string_view event, std::string &taken);

    std::string m_pending;
    std::optional<std::int64_t> m_lastId;
    bool m_hasInvalidId = false;
};

} // namespace fescuedeck

#endif
