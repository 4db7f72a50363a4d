#include "fescuedeck/bundle/canonical_bundle.h"

#include <nlohmann/json.hpp>

#include "fescuedeck/base/hash.h"
#include "fescuedeck/bundle/bundle_reader.h"

namespace fescuedeck {
namespace {

using json = nlohmann::json;

template <class T>
json listOf(const std::vector<T> &values, json (*convert)(const T &))
{
    json list = json::array();
    for (const T &value : values)
        list.push_back(convert(value));
    return list;
}

std::string microsText(duration value)
{
    return std::to_string(value.count()) + "us";
}

json modelJson(const model_spec &model)
{
    return { { "name", model.name },
             { "version", model.version },
             { "layers", model.layers },
             { "adapters", model.adapters },
             { "max_tokens", model.maxTokens },
             { "first_token_deadline", microsText(model.firstTokenDeadline) },
             { "step_deadline", microsText(model.stepDeadline) } };
}

json replicaJson(const endpoint_spec &replica)
{
    return { { "id", replica.id },
             { "host", replica.host },
             { "failure_domain", replica.failureDomain },
             { "address", replica.address } };
}

json endpointJson(const endpoint_spec &endpoint)
{
    json fields = replicaJson(endpoint);
    fields["accelerator"] = endpoint.accelerator;
    fields["model"] = endpoint.model;
    fields["version"] = endpoint.version;
    fields["layers"] = toString(endpoint.layers);
    fields["tokens_per_second"] = endpoint.tokensPerSecond;
    fields["checks_fencing"] = endpoint.checksFencing;
    return fields;
}

json operationJson(const operation_spec &operation)
{
    return { { "method", operation.method },
             { "path", operation.path },
             { "idempotent", operation.idempotent } };
}

json serviceJson(const service_spec &service)
{
    return { { "name", service.name },
             { "prefix", service.prefix },
             { "operations", listOf(service.operations, operationJson) },
             { "replicas", listOf(service.replicas, replicaJson) },
             { "deadline", microsText(service.deadline) },
             { "max_staleness", microsText(service.maxStaleness) } };
}

json workspaceJson(const workspace_spec &workspace)
{
    return { { "name", workspace.name },     { "token_hashes", workspace.tokenHashes },
             { "models", workspace.models }, { "services", workspace.services },
             { "weight", workspace.weight }, { "queue_limit", workspace.queueLimit } };
}

json approverJson(const approver_spec &approver)
{
    return { { "key_id", approver.keyId }, { "public_key", approver.publicKey } };
}

} // namespace

std::string canonicalBundle(const bundle &content)
{
    // nlohmann::json keeps object keys sorted and writes the shortest text of a double that reads
    // back to the same value.
    const json tree = { { "version", content.version },
                        { "parent", content.parent },
                        { "models", listOf(content.models, modelJson) },
                        { "endpoints", listOf(content.endpoints, endpointJson) },
                        { "services", listOf(content.services, serviceJson) },
                        { "workspaces", listOf(content.workspaces, workspaceJson) },
                        { "approvers", listOf(content.approvers, approverJson) } };
    return tree.dump(-1, ' ', true, json::error_handler_t::replace);
}

result<bundle> parseCanonicalBundle(const std::string &text)
{
    const json tree = json::parse(text, nullptr, false);
    if (tree.is_discarded())
        return makeFailure(errc::InvalidBundle, "the bundle's content is not JSON");
    result<bundle> content = detail::readBundle(tree, {});
    if (content && canonicalBundle(content.value()) != text)
        return makeFailure(errc::InvalidBundle, "the bundle's content is not in canonical form");
    return content;
}

std::string bundleHash(const std::string &canonical)
{
    return sha256Hex(canonical);
}

} // namespace fescuedeck
