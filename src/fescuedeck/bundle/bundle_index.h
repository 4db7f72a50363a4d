// Lookup tables over one bundle. Build one when a bundle comes into force and keep it with the
// requests that started on it; it keeps the bundle alive.
#ifndef FESCUEDECK_BUNDLE_BUNDLE_INDEX_H
#define FESCUEDECK_BUNDLE_BUNDLE_INDEX_H

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "fescuedeck/bundle/bundle.h"

namespace fescuedeck {

// Immutable, so it may be shared by threads. Lookups return null if there is no match.
class bundle_index
{
public:
    // content must have passed checkBundle.
    explicit bundle_index(std::shared_ptr<const bundle> content);

    const bundle &content() const { return *m_content; }
    const std::shared_ptr<const bundle> &shared() const { return m_content; }

    const model_spec *findModel(const std::string &name) const;
    // The hash is sha256Hex of the caller's bearer token.
    const workspace_spec *findWorkspaceByTokenHash(const std::string &hash) const;
    const workspace_spec *findWorkspace(const std::string &name) const;
    const service_spec *findServiceByName(const std::string &name) const;
    // An engine or a service's replica.
    const endpoint_spec *findEndpoint(const std::string &id) const;
    // Engines of the model, of any version, in the bundle's order.
    const std::vector<const endpoint_spec *> &endpointsOfModel(const std::string &model) const;

private:
    template <class T>
    using table = std::unordered_map<std::string, const T *>;

    std::shared_ptr<const bundle> m_content;
    table<model_spec> m_models;
    table<workspace_spec> m_workspacesByToken;
    table<workspace_spec> m_workspaces;
    table<service_spec> m_services;
    table<endpoint_spec> m_endpoints;
    std::unordered_map<std::string, std::vector<const endpoint_spec *>> m_endpointsByModel;
};

} // namespace fescuedeck

#endif
