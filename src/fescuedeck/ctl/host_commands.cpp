#include "fescuedeck/ctl/host_commands.h"

#include <map>

#include "fescuedeck/ctl/control_reader.h"
#include "fescuedeck/ctl/router_status.h"

namespace fescuedeck {
namespace {

using json = nlohmann::json;

constexpr duration routerTimeout = std::chrono::seconds(3);
// A drain is urgent: the routers are told directly if the log takes longer.
constexpr duration longestLogWait = std::chrono::seconds(5);

struct host_view
{
    std::string failureDomain;
    std::vector<std::string> endpoints;
    bool isDrained = false;
};

result<void> drainOnRouter(const ctl_hooks &hooks, const std::string &address,
                           const std::string &host)
{
    const http_request request{ "POST",
                                "/drain",
                                { { "Content-Type", "application/json" } },
                                json({ { "host", host } }).dump() };
    const auto answer = hooks.call(address, request, routerTimeout);
    if (!answer)
        return answer.error();
    if (answer.value().status / 100 != 2)
        return makeFailure(errc::EndpointRefused,
                           address + " answered status " + std::to_string(answer.value().status));
    return boost::outcome_v2::success();
}

command_result drainOnRouters(const ctl_hooks &hooks, const ctl_options &options,
                              const std::string &host, const failure &logError)
{
    command_result outcome = failedResult(exit_status::Unavailable, logError);
    outcome.document["routers"] = json::array();
    bool isTaken = !options.routers.empty();
    for (const std::string &address : options.routers) {
        const auto told = drainOnRouter(hooks, address, host);
        isTaken = isTaken && told;
        outcome.text += address + ": "
                        + (told ? "drains " + host : "error: " + told.error().message()) + "\n";
        outcome.document["routers"].push_back({ { "address", address }, { "drained", !!told } });
    }
    if (!isTaken) {
        outcome.text += "error: " + host + " is not drained everywhere; repeat the command"
                        + (options.routers.empty() ? " with --router" : "") + "\n";
        return outcome;
    }
    outcome.status = exit_status::Ok;
    outcome.text += host
                    + " is drained on these routers only; repeat the command once the log "
                      "answers, so that routers that start later drain it too\n";
    outcome.document["recorded"] = false;
    return outcome;
}

void addEndpoint(std::map<std::string, host_view> &hosts, const endpoint_spec &endpoint)
{
    host_view &view = hosts[endpoint.host];
    view.failureDomain = endpoint.failureDomain;
    view.endpoints.push_back(endpoint.id);
}

std::map<std::string, host_view> hostsOf(const control_state &state)
{
    std::map<std::string, host_view> hosts;
    if (const auto content = state.acceptedBundle()) {
        for (const endpoint_spec &endpoint : content->endpoints)
            addEndpoint(hosts, endpoint);
        for (const service_spec &service : content->services) {
            for (const endpoint_spec &replica : service.replicas)
                addEndpoint(hosts, replica);
        }
    }
    for (const std::string &host : state.drainedHosts())
        hosts[host].isDrained = true;
    return hosts;
}

std::string hostLine(const std::string &host, const host_view &view)
{
    std::string line = host + ": " + (view.isDrained ? "drained" : "in use");
    if (!view.failureDomain.empty())
        line += ", " + view.failureDomain;
    for (const std::string &endpoint : view.endpoints)
        line += (endpoint == view.endpoints.front() ? ", endpoints " : " ") + endpoint;
    return line + "\n";
}

json hostJson(const std::string &host, const host_view &view)
{
    return { { "host", host },
             { "failure_domain", view.failureDomain },
             { "drained", view.isDrained },
             { "endpoints", view.endpoints } };
}

// Endpoints in a router's status are objects; their scalar fields are shown as they are.
std::string endpointLines(const json &endpoints)
{
    std::string lines;
    for (const json &endpoint : endpoints) {
        if (!endpoint.is_object())
            continue;
        lines += "  ";
        for (const auto &field : endpoint.items()) {
            if (field.value().is_primitive())
                lines += " " + field.key() + "=" + field.value().dump();
        }
        lines += "\n";
    }
    return lines;
}

} // namespace

command_result drainHost(const ctl_hooks &hooks, const ctl_options &options,
                         const std::string &host)
{
    const time_point deadline = hooks.now() + std::min(options.timeout, longestLogWait);
    const auto offsets = appendRecords(hooks, { host_drained{ host } }, deadline);
    if (!offsets && offsets.error().code == errc::LogUnavailable)
        return drainOnRouters(hooks, options, host, offsets.error());
    if (!offsets)
        return failedResult(offsets.error());
    return { exit_status::Ok,
             host + " is drained\n",
             { { "host", host }, { "recorded", true }, { "offset", offsets.value().front() } } };
}

command_result undrainHost(const ctl_hooks &hooks, const ctl_options &options,
                           const std::string &host)
{
    const auto offsets
            = appendRecords(hooks, { host_undrained{ host } }, hooks.now() + options.timeout);
    if (!offsets)
        return failedResult(offsets.error());
    return { exit_status::Ok,
             host + " is no longer drained\n",
             { { "host", host }, { "recorded", true }, { "offset", offsets.value().front() } } };
}

command_result showHostStatus(const ctl_hooks &hooks, const ctl_options &options)
{
    control_state state({ options.approvers, "" });
    const auto read = readToEnd(hooks, state, hooks.now() + options.timeout);
    command_result outcome;
    if (!read)
        outcome = failedResult(read.error());
    outcome.document["hosts"] = json::array();
    for (const auto &[host, view] : hostsOf(state)) {
        outcome.text += hostLine(host, view);
        outcome.document["hosts"].push_back(hostJson(host, view));
    }
    outcome.document["routers"] = json::array();
    for (const router_answer &answer : fetchRouterStatus(hooks, options.routers, routerTimeout)) {
        json entry = routerJson(answer);
        outcome.text += routerLine(answer);
        if (answer.status) {
            entry["endpoints"] = answer.status.value().endpoints;
            outcome.text += endpointLines(answer.status.value().endpoints);
        } else {
            outcome.status = exit_status::Unavailable;
        }
        outcome.document["routers"].push_back(entry);
    }
    return outcome;
}

} // namespace fescuedeck
