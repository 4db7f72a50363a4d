// Writes log lines to a file descriptor without ever waiting for its reader.
//
// Lines that the descriptor does not take at once are kept up to a limit of bytes; beyond it they
// are left out and counted, and the count is written as a line of its own as soon as there is room.
#ifndef FESCUEDECK_TELEMETRY_BOUNDED_APPENDER_H
#define FESCUEDECK_TELEMETRY_BOUNDED_APPENDER_H

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace fescuedeck {

// Thread-safe.
class bounded_line_writer
{
public:
    // The descriptor is switched to non-blocking mode and stays open after this object.
    bounded_line_writer(int descriptor, std::size_t maxBytes);

    // Takes a line without its end.
    void write(std::string_view line);
    // Hands to the descriptor what it takes now.
    void flush();
    std::uint64_t linesLeftOut() const;

private:
    void flushLocked();
    void reportLeftOutLocked();

    const int m_descriptor;
    const std::size_t m_maxBytes;
    mutable std::mutex m_mutex; // leaf lock
    std::string m_pending;
    std::uint64_t m_leftOut = 0;
    std::uint64_t m_reported = 0; // of m_leftOut
};

} // namespace fescuedeck

#endif
