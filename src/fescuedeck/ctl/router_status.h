// Status of routers, from GET /status of their operators' addresses.
#ifndef FESCUEDECK_CTL_ROUTER_STATUS_H
#define FESCUEDECK_CTL_ROUTER_STATUS_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/ctl/ctl_hooks.h"

namespace fescuedeck {

struct router_status
{
    std::string address;
    std::string router;
    std::int64_t version = 0; // of the bundle in force there; 0 for none
    std::string hash;
    bool isReady = false;
    nlohmann::json endpoints = nlohmann::json::array();
};

struct router_answer
{
    std::string address;
    result<router_status> status;
};

// Comma-separated addresses; empty parts are left out.
std::vector<std::string> splitAddresses(const std::string &list);

result<router_status> parseRouterStatus(const std::string &address, const std::string &body);
// One answer per address, in order.
std::vector<router_answer> fetchRouterStatus(const ctl_hooks &hooks,
                                             const std::vector<std::string> &addresses,
                                             duration timeout);

std::string routerLine(const router_answer &answer);
nlohmann::json routerJson(const router_answer &answer);

} // namespace fescuedeck

#endif
