#include "fescuedeck/rerouting/running_streams.h"

#include <utility>

namespace fescuedeck {

running_stream *running_streams::find(int number)
{
    const auto found = m_streams.find(number);
    return found == m_streams.end() ? nullptr : &found->second;
}

running_stream_entry::running_stream_entry(running_streams &streams, running_stream stream)
    : m_streams(streams)
    , m_number(++streams.m_lastNumber)
{
    for (const endpoint_ptr &stage : stream.path.stages)
        stream.incarnations.push_back(incarnationName(stage->entry));
    m_streams.m_streams.emplace(m_number, std::move(stream));
}

running_stream_entry::~running_stream_entry()
{
    m_streams.m_streams.erase(m_number);
}

} // namespace fescuedeck
