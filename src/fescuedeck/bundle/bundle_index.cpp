#include "fescuedeck/bundle/bundle_index.h"

namespace fescuedeck {
namespace {

template <class T>
const T *lookUp(const std::unordered_map<std::string, const T *> &table, const std::string &key)
{
    const auto found = table.find(key);
    return found == table.end() ? nullptr : found->second;
}

} // namespace

bundle_index::bundle_index(std::shared_ptr<const bundle> content)
    : m_content(std::move(content))
{
    for (const model_spec &model : m_content->models)
        m_models.emplace(model.name, &model);
    for (const workspace_spec &workspace : m_content->workspaces) {
        m_workspaces.emplace(workspace.name, &workspace);
        for (const std::string &hash : workspace.tokenHashes)
            m_workspacesByToken.emplace(hash, &workspace);
    }
    for (const endpoint_spec &endpoint : m_content->endpoints) {
        m_endpoints.emplace(endpoint.id, &endpoint);
        m_endpointsByModel[endpoint.model].push_back(&endpoint);
    }
    for (const service_spec &service : m_content->services) {
        m_services.emplace(service.name, &service);
        for (const endpoint_spec &replica : service.replicas)
            m_endpoints.emplace(replica.id, &replica);
    }
}

const model_spec *bundle_index::findModel(const std::string &name) const
{
    return lookUp(m_models, name);
}

const workspace_spec *bundle_index::findWorkspaceByTokenHash(const std::string &hash) const
{
    return lookUp(m_workspacesByToken, hash);
}

const workspace_spec *bundle_index::findWorkspace(const std::string &name) const
{
    return lookUp(m_workspaces, name);
}

const service_spec *bundle_index::findServiceByName(const std::string &name) const
{
    return lookUp(m_services, name);
}

const endpoint_spec *bundle_index::findEndpoint(const std::string &id) const
{
    return lookUp(m_endpoints, id);
}

const std::vector<const endpoint_spec *> &
bundle_index::endpointsOfModel(const std::string &model) const
{
    static const std::vector<const endpoint_spec *> none;
    const auto found = m_endpointsByModel.find(model);
    return found == m_endpointsByModel.end() ? none : found->second;
}

} // namespace fescuedeck
