#include "fescuedeck/load/sse_parser.h"

namespace fescuedeck {
namespace {

constexpr std::string_view dataField = "data:";

} // namespace

std::vector<std::string> sse_parser::feed(std::string_view part)
{
    std::vector<std::string> events;
    for (const char byte : part) {
        if (byte != '\n') {
            m_line.push_back(byte);
            continue;
        }
        if (!m_line.empty() && m_line.back() == '\r')
            m_line.pop_back();
        takeLine(m_line, &events);
        m_line.clear();
    }
    return events;
}

void sse_parser::takeLine(const std::string &line, std::vector<std::string> *events)
{
    if (line.empty()) {
        if (m_hasData)
            events->push_back(m_data);
        m_data.clear();
        m_hasData = false;
        return;
    }
    if (line.compare(0, dataField.size(), dataField) != 0)
        return;
    std::string value = line.substr(dataField.size());
    if (!value.empty() && value.front() == ' ')
        value.erase(0, 1);
    if (m_hasData)
        m_data += "\n";
    m_data += value;
    m_hasData = true;
}

} // namespace fescuedeck
