// What the logs of several gateways tell about one request, in order, and why it ended as it did.
#ifndef FESCUEDECK_CTL_REQUEST_HISTORY_H
#define FESCUEDECK_CTL_REQUEST_HISTORY_H

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace fescuedeck {

// One line of a gateway's log.
struct logged_event
{
    std::int64_t timeMs = 0; // Unix, by the gateway's clock
    std::string gateway;     // word before the line's JSON, or the name of the log
    std::string name;
    nlohmann::json fields;
};

// Events of one log; lines that are no events are left out.
std::vector<logged_event> parseLog(const std::string &text, const std::string &logName);

struct request_history
{
    std::vector<logged_event> own; // lines that name the request
    // What gateways found shortly before about the endpoints that the request used, the tables of
    // the store and the placement of layers.
    std::vector<logged_event> context;
    std::string cause;
};

// Both lists are sorted by time.
request_history historyOf(const std::string &requestId, std::vector<logged_event> events);
// One line for each event, with the seconds since the request's first one, and the cause.
std::string historyText(const request_history &history);

} // namespace fescuedeck

#endif
