#include "fescuedeck/ctl/request_history.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>
#include <sstream>

namespace fescuedeck {
namespace {

using json = nlohmann::json;

// Causes lie at most this long before the request's first line: an engine that is found lost, or
// the begin of an outage.
constexpr std::int64_t contextBeforeMs = 3000;

// By the reason of a refusal.
const std::map<std::string, std::string> &reasonTexts()
{
    static const std::map<std::string, std::string> texts = {
        { "no_config", "the gateway had no configuration yet; the store was away since its start" },
        { "stopping", "the gateway was being stopped, and others served" },
        { "no_route", "no route has the host and path in the configuration in force" },
        { "no_key",
          "the key is missing, or belongs to no workspace in the configuration in force" },
        { "no_endpoint", "no endpoint, or no whole chain of engines, could serve it" },
        { "busy", "all endpoints or chains were full; it has not run" },
        { "timed_out", "its time was over after a sending that may have run" },
        { "failed", "an endpoint failed in a sending that may have run, and no attempt was left" },
        { "quarantined", "it has ended the connections of several endpoints that ran it" },
    };
    return texts;
}

std::string textOf(const json &fields, const char *name)
{
    const auto found = fields.find(name);
    if (found == fields.end())
        return {};
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string reasonText(const logged_event &event)
{
    const std::string reason = textOf(event.fields, "reason");
    const auto found = reasonTexts().find(reason);
    return "refused (" + reason + "): " + (found == reasonTexts().end() ? "" : found->second);
}

// Why it was not sent again.
std::string gaveUpText(const logged_event &event)
{
    static const std::map<std::string, std::string> texts = {
        { "no_endpoint", "no endpoint could be used" },
        { "no_attempt", "it must not run again, or its attempts or its time were used up" },
        { "no_retry", "the retry budget was spent" },
    };
    const auto found = texts.find(textOf(event.fields, "gave_up"));
    return found == texts.end() ? "" : "; not sent again: " + found->second;
}

const logged_event *lastNamed(const std::vector<logged_event> &events, const std::string &name)
{
    const auto found = std::find_if(events.rbegin(), events.rend(),
                                    [&](const logged_event &event) { return event.name == name; });
    return found == events.rend() ? nullptr : &*found;
}

// Why the last sending that went wrong did so; empty if all went well.
std::string sendingText(const std::vector<logged_event> &own)
{
    for (auto event = own.rbegin(); event != own.rend(); ++event) {
        const std::string endpoint = textOf(event->fields, "endpoint");
        if (event->name == "sending_failed")
            return "; sending " + textOf(event->fields, "sending") + " to " + endpoint
                   + " failed: " + textOf(event->fields, "cause");
        if (event->name == "endpoint_failed_request")
            return "; endpoint " + endpoint + " answered with its own failure "
                   + textOf(event->fields, "status");
        if (event->name == "sending_refused")
            return "; endpoint " + endpoint
                   + " refused, at fault: " + textOf(event->fields, "at_fault");
        if (event->name == "silent_stream_left")
            return "; " + endpoint + " had fallen silent; another chain: "
                   + textOf(event->fields, "has_alternative")
                   + ", retry left: " + textOf(event->fields, "has_retry");
        if (event->name == "sending_silent")
            return "; sending " + textOf(event->fields, "sending") + " to " + endpoint
                   + " had fallen silent";
        if (event->name == "answer_unusable")
            return "; the answer of " + endpoint + " was not usable";
    }
    return {};
}

std::string causeOf(const std::vector<logged_event> &own)
{
    if (own.empty())
        return "no log names the request";
    if (const logged_event *rejected = lastNamed(own, "request_rejected"))
        return reasonText(*rejected);
    if (const logged_event *refused = lastNamed(own, "request_refused"))
        return reasonText(*refused) + sendingText(own) + gaveUpText(*refused);
    if (const logged_event *broken = lastNamed(own, "stream_broken_off"))
        return "the stream broke off after event " + textOf(broken->fields, "last_event")
               + sendingText(own) + gaveUpText(*broken);
    const logged_event *ended = lastNamed(own, "request_ended");
    if (ended == nullptr)
        return "the gateway ended, or lost its last lines, while it had the request"
               + sendingText(own);
    const std::string outcome = textOf(ended->fields, "outcome");
    if (outcome == "caller_left")
        return "the caller left after " + textOf(ended->fields, "took_ms") + " ms, "
               + textOf(ended->fields, "silent_ms") + " ms after event "
               + textOf(ended->fields, "last_event") + sendingText(own);
    return outcome + " with status " + textOf(ended->fields, "status") + sendingText(own);
}

bool isContextKind(const std::string &name)
{
    static const std::set<std::string> kinds = { "table_lost",
                                                 "table_regained",
                                                 "engine_lost",
                                                 "order_answered",
                                                 "stood_still",
                                                 "stopping",
                                                 "started",
                                                 "config_in_force",
                                                 "endpoints_unreachable",
                                                 "endpoints_reachable" };
    return kinds.count(name) != 0;
}

bool byTime(const logged_event &a, const logged_event &b)
{
    return a.timeMs < b.timeMs;
}

// Control characters of a field must not reach the terminal.
std::string printable(std::string text)
{
    std::replace_if(
            text.begin(), text.end(),
            [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; }, '?');
    return text;
}

std::string lineOf(const logged_event &event, std::int64_t startMs)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%+9.3f s  ",
                  static_cast<double>(event.timeMs - startMs) / 1000);
    std::string line = time + printable(event.gateway) + "  " + printable(event.name);
    for (const auto &[name, value] : event.fields.items()) {
        if (name != "time_ms" && name != "event" && name != "request")
            line += "  " + printable(name) + "=" + printable(textOf(event.fields, name.c_str()));
    }
    return line + "\n";
}

} // namespace

std::vector<logged_event> parseLog(const std::string &text, const std::string &logName)
{
    std::vector<logged_event> events;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        const std::size_t begin = line.find('{');
        if (begin == std::string::npos)
            continue;
        const json fields = json::parse(line.substr(begin), nullptr, false);
        const bool isEvent = fields.is_object() && fields.contains("event")
                             && fields["event"].is_string() && fields.contains("time_ms")
                             && fields["time_ms"].is_number_integer();
        if (!isEvent)
            continue;
        std::istringstream prefix(line.substr(0, begin));
        std::string gateway = logName;
        for (std::string word; prefix >> word;)
            gateway = word;
        events.push_back({ fields["time_ms"].get<std::int64_t>(), gateway,
                           fields["event"].get<std::string>(), fields });
    }
    return events;
}

request_history historyOf(const std::string &requestId, std::vector<logged_event> events)
{
    request_history history;
    std::set<std::string> endpoints;
    for (const logged_event &event : events) {
        if (textOf(event.fields, "request") != requestId)
            continue;
        history.own.push_back(event);
        endpoints.insert(textOf(event.fields, "endpoint"));
    }
    std::stable_sort(history.own.begin(), history.own.end(), byTime);
    history.cause = causeOf(history.own);
    if (history.own.empty())
        return history;
    const std::int64_t from = history.own.front().timeMs - contextBeforeMs;
    const std::int64_t to = history.own.back().timeMs;
    for (const logged_event &event : events) {
        const std::string endpoint = textOf(event.fields, "endpoint");
        const bool concerns = endpoint.empty() || endpoints.count(endpoint) != 0
                              || event.name == "engine_lost" || event.name == "order_answered";
        if (isContextKind(event.name) && concerns && event.timeMs >= from && event.timeMs <= to)
            history.context.push_back(event);
    }
    std::stable_sort(history.context.begin(), history.context.end(), byTime);
    return history;
}

std::string historyText(const request_history &history)
{
    std::string text;
    const std::int64_t start = history.own.empty() ? 0 : history.own.front().timeMs;
    for (const logged_event &event : history.own)
        text += lineOf(event, start);
    if (!history.context.empty())
        text += "meanwhile, and shortly before:\n";
    for (const logged_event &event : history.context)
        text += lineOf(event, start);
    return text + "cause: " + printable(history.cause) + "\n";
}

} // namespace fescuedeck
