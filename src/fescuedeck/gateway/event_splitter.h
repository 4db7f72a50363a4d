// Splits a stream of server-sent events into whole events and reads their ids.
//
// A stream may end inside an event. Only whole events may reach the caller, so that another
// endpoint can resume the stream after the last of them.
#ifndef FESCUEDECK_GATEWAY_EVENT_SPLITTER_H
#define FESCUEDECK_GATEWAY_EVENT_SPLITTER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuedeck {

// Largest event that is relayed. An endpoint in trouble may send bytes without end that complete no
// event, and the gateway holds an incomplete event in memory.
constexpr std::size_t maxEventBytes = 256 * 1024;

// Not thread-safe.
class event_splitter
{
public:
    // The caller already has the events with ids up to lastId, so take() omits them.
    explicit event_splitter(std::optional<std::int64_t> lastId = std::nullopt);

    void feed(std::string_view part);
    // Returns the bytes of all complete events that were not taken before, as received. Blocks that
    // consist of comments are dropped. Stops at the first event with an invalid id, which is
    // dropped too.
    std::string take();
    // Id of the last event that take() returned, or the id given to the constructor.
    std::optional<std::int64_t> lastId() const { return m_lastId; }
    // Number of complete events so far, with those that the caller already had. Comments do not
    // count, so it grows only if the stream makes progress.
    std::size_t completeEvents() const { return m_completeEvents; }
    // Whether bytes of an incomplete event are left.
    bool hasPartialEvent() const { return !m_pending.empty(); }
    // Whether the stream cannot be relayed any further: an event had no id, an id that cannot be
    // parsed, or an id that does not follow the one before it; or an event exceeds maxEventBytes.
    bool isInvalid() const { return m_isInvalid; }

private:
    // Appends the event to taken unless the caller has it or its id is invalid.
    void takeEvent(std::string_view event, std::string &taken);

    std::string m_pending;
    std::optional<std::int64_t> m_lastId;
    std::size_t m_completeEvents = 0;
    bool m_isInvalid = false;
};

} // namespace fescuedeck

#endif
