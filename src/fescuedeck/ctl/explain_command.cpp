#include "fescuedeck/ctl/explain_command.h"

#include <iostream>
#include <iterator>

#include "fescuedeck/ctl/bundle_files.h"
#include "fescuedeck/ctl/request_history.h"

namespace fescuedeck {
namespace {

std::string baseName(const std::string &path)
{
    return path.substr(path.find_last_of('/') + 1);
}

result<std::vector<logged_event>> readLogs(const std::vector<std::string> &files)
{
    std::vector<logged_event> events;
    if (files.empty()) {
        const std::string text{ std::istreambuf_iterator<char>(std::cin), {} };
        return parseLog(text, "-");
    }
    for (const std::string &path : files) {
        const auto text = readFile(path);
        if (!text)
            return text.error();
        for (logged_event &event : parseLog(text.value(), baseName(path)))
            events.push_back(std::move(event));
    }
    return events;
}

nlohmann::json documentOf(const std::vector<logged_event> &events)
{
    nlohmann::json list = nlohmann::json::array();
    for (const logged_event &event : events) {
        nlohmann::json entry = event.fields;
        entry["gateway"] = event.gateway;
        list.push_back(std::move(entry));
    }
    return list;
}

} // namespace

command_result explainRequest(const std::string &requestId, const std::vector<std::string> &files)
{
    auto events = readLogs(files);
    if (!events)
        return failedResult(events.error());
    const request_history history = historyOf(requestId, std::move(events.value()));
    if (history.own.empty())
        return failedResult(makeFailure(errc::NotFound, "no log names the request " + requestId));
    command_result outcome;
    outcome.text = historyText(history);
    outcome.document["request"] = requestId;
    outcome.document["cause"] = history.cause;
    outcome.document["events"] = documentOf(history.own);
    outcome.document["context"] = documentOf(history.context);
    return outcome;
}

} // namespace fescuedeck
