// Incremental parser of server-sent events. Use it on the body of a streamed completion.
#ifndef FESCUEDECK_LOAD_SSE_PARSER_H
#define FESCUEDECK_LOAD_SSE_PARSER_H

#include <string>
#include <string_view>
#include <vector>

namespace fescuedeck {

// Only "data" fields are kept, as completions use no others. Not thread-safe.
class sse_parser
{
public:
    // Returns the data of each event that the part completes.
    std::vector<std::string> feed(std::string_view part);

private:
    void takeLine(const std::string &line, std::vector<std::string> *events);

    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
};

} // namespace fescuedeck

#endif
