#include "fescuedeck/telemetry/bounded_appender.h"

#include <cerrno>

#include <fcntl.h>
#include <unistd.h>

namespace fescuedeck {

bounded_line_writer::bounded_line_writer(int descriptor, std::size_t maxBytes)
    : m_descriptor(descriptor)
    , m_maxBytes(maxBytes)
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void bounded_line_writer::write(std::string_view line)
{
    const std::lock_guard lock(m_mutex);
    if (m_pending.size() + line.size() + 1 > m_maxBytes) {
        ++m_leftOut;
    } else {
        m_pending += line;
        m_pending += '\n';
    }
    flushLocked();
}

void bounded_line_writer::flush()
{
    const std::lock_guard lock(m_mutex);
    flushLocked();
}

std::uint64_t bounded_line_writer::linesLeftOut() const
{
    const std::lock_guard lock(m_mutex);
    return m_leftOut;
}

void bounded_line_writer::flushLocked()
{
    std::size_t written = 0;
    while (written < m_pending.size()) {
        const ssize_t count
                = ::write(m_descriptor, m_pending.data() + written, m_pending.size() - written);
        if (count > 0)
            written += static_cast<std::size_t>(count);
        else if (count < 0 && errno == EINTR)
            continue;
        else
            break;
    }
    m_pending.erase(0, written);
    if (m_pending.empty() && m_reported < m_leftOut)
        reportLeftOutLocked();
}

void bounded_line_writer::reportLeftOutLocked()
{
    m_pending = "{\"event\":\"log_lines_left_out\",\"count\":"
                + std::to_string(m_leftOut - m_reported) + "}\n";
    m_reported = m_leftOut;
}

} // namespace fescuedeck
