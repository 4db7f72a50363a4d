#include "fescuedeck/ctl/router_status.h"

#include <sstream>

namespace fescuedeck {
namespace {

using json = nlohmann::json;

result<router_status> fetchOne(const ctl_hooks &hooks, const std::string &address, duration timeout)
{
    const auto answer = hooks.call(address, { "GET", "/status", {}, "" }, timeout);
    if (!answer)
        return answer.error();
    if (answer.value().status != 200)
        return makeFailure(errc::InvalidMessage,
                           address + " answered status " + std::to_string(answer.value().status));
    return parseRouterStatus(address, answer.value().body);
}

} // namespace

std::vector<std::string> splitAddresses(const std::string &list)
{
    std::vector<std::string> addresses;
    std::istringstream stream(list);
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty())
            addresses.push_back(part);
    }
    return addresses;
}

result<router_status> parseRouterStatus(const std::string &address, const std::string &body)
{
    const json document = json::parse(body, nullptr, false);
    try {
        router_status status;
        status.address = address;
        status.router = document.at("router").get<std::string>();
        status.isReady = document.at("ready").get<bool>();
        const json &bundle = document.at("bundle");
        if (bundle.is_object()) {
            status.version = bundle.at("version").get<std::int64_t>();
            status.hash = bundle.at("hash").get<std::string>();
        }
        status.endpoints = document.value("endpoints", json::array());
        return status;
    } catch (const json::exception &) {
        return makeFailure(errc::InvalidMessage,
                           address + " did not answer with a router's status");
    }
}

std::vector<router_answer> fetchRouterStatus(const ctl_hooks &hooks,
                                             const std::vector<std::string> &addresses,
                                             duration timeout)
{
    std::vector<router_answer> answers;
    for (const std::string &address : addresses)
        answers.push_back({ address, fetchOne(hooks, address, timeout) });
    return answers;
}

std::string routerLine(const router_answer &answer)
{
    if (!answer.status)
        return answer.address + ": error: " + answer.status.error().message() + "\n";
    const router_status &status = answer.status.value();
    return answer.address + ": router " + status.router + ", version "
           + std::to_string(status.version) + (status.isReady ? ", ready" : ", not ready") + "\n";
}

json routerJson(const router_answer &answer)
{
    if (!answer.status)
        return { { "address", answer.address }, { "error", answer.status.error().message() } };
    const router_status &status = answer.status.value();
    return { { "address", answer.address },
             { "router", status.router },
             { "version", status.version },
             { "hash", status.hash },
             { "ready", status.isReady } };
}

} // namespace fescuedeck
