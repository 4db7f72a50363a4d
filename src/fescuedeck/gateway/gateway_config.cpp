#include "fescuedeck/gateway/gateway_config.h"

#include <algorithm>
#include <set>

#include <boost/algorithm/string/case_conv.hpp>

#include "fescuedeck/admission/rank_queue.h"

namespace fescuedeck {
namespace {

std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.rfind(':'));
}

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

} // namespace

const accelerator_kind *engine_spec::findKind(const std::string &name) const
{
    const auto found = std::find_if(kinds.begin(), kinds.end(), [&](const accelerator_kind &kind) {
        return kind.name == name;
    });
    return found == kinds.end() ? nullptr : &*found;
}

config_index::config_index(gateway_config config)
    : m_config(std::move(config))
{
    for (const route_rule &route : m_config.routes)
        m_routes[boost::algorithm::to_lower_copy(route.host)].push_back(&route);
    for (auto &entry : m_routes) {
        std::stable_sort(entry.second.begin(), entry.second.end(),
                         [](const route_rule *a, const route_rule *b) {
                             return a->pathPrefix.size() > b->pathPrefix.size();
                         });
    }
    for (const workspace_rule &workspace : m_config.workspaces) {
        for (const std::string &key : workspace.keys)
            m_workspaces[key] = &workspace;
    }
    for (const service_rule &service : m_config.services)
        m_services[service.name] = &service;
    std::set<int> ranks;
    for (const route_rule &route : m_config.routes) {
        for (const workspace_rule &workspace : m_config.workspaces)
            ranks.insert(rankOf(route, &workspace));
        if (route.isPublic || m_config.workspaces.empty())
            ranks.insert(rankOf(route, nullptr));
    }
    m_hasDifferentRanks = ranks.size() > 1;
}

const route_rule *config_index::findRoute(std::string_view host, std::string_view path) const
{
    const auto found
            = m_routes.find(boost::algorithm::to_lower_copy(std::string(withoutPort(host))));
    if (found == m_routes.end())
        return nullptr;
    for (const route_rule *route : found->second) {
        if (startsWith(path, route->pathPrefix))
            return route;
    }
    return nullptr;
}

const workspace_rule *config_index::findWorkspace(const std::string &key) const
{
    const auto found = m_workspaces.find(key);
    return found == m_workspaces.end() ? nullptr : found->second;
}

const service_rule *config_index::findService(const std::string &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

int rankOf(const route_rule &route, const workspace_rule *workspace)
{
    const bool isOverridden = workspace != nullptr && workspace->priority;
    return clampRank(isOverridden ? *workspace->priority : route.priority);
}

const std::string &drawService(const route_rule &route, const random_fn &random)
{
    double total = 0;
    for (const route_share &share : route.shares)
        total += share.weight;
    double drawn = uniformReal(random) * total;
    for (const route_share &share : route.shares) {
        drawn -= share.weight;
        if (drawn < 0)
            return share.service;
    }
    return route.shares.back().service;
}

} // namespace fescuedeck
