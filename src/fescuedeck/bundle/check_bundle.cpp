#include "fescuedeck/bundle/check_bundle.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <string_view>

#include <boost/asio/ip/address.hpp>

#include "fescuedeck/bundle/signature.h"

namespace fescuedeck {
namespace {

constexpr std::array<std::string_view, 7> methods
        = { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS" };
// Paths that routers answer themselves.
constexpr const char *reservedPrefix = "/v1";

std::string indexed(const std::string &list, std::size_t i)
{
    return list + "[" + std::to_string(i) + "]";
}

bool isLowerHex(const std::string &text, std::size_t size)
{
    return text.size() == size && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool isMethod(const std::string &text)
{
    return std::find(methods.begin(), methods.end(), text) != methods.end();
}

bool isPlainPath(const std::string &path)
{
    return path.front() == '/' && path.find_first_of("?#%\\ ") == std::string::npos
           && path.find("//") == std::string::npos && (path + "/").find("/./") == std::string::npos
           && (path + "/").find("/../") == std::string::npos;
}

class checker
{
public:
    explicit checker(const bundle &content)
        : m_bundle(content)
    {
    }

    std::vector<failure> run()
    {
        checkVersion();
        checkApprovers();
        checkModels();
        checkEndpoints();
        checkCoverage();
        checkServices();
        checkWorkspaces();
        return std::move(m_failures);
    }

private:
    void fail(const std::string &path, const std::string &problem)
    {
        m_failures.push_back(makeFailure(errc::InvalidBundle, path + ": " + problem));
    }

    // Refuses a value that was used before within a scope such as "endpoint id".
    void requireUnique(const std::string &scope, const std::string &value, const std::string &path)
    {
        const auto [entry, inserted] = m_firstUse[scope].emplace(value, path);
        if (!inserted)
            fail(path,
                 scope + " " + value + " is already used by " + entry->second + "; change one");
    }

    void checkVersion()
    {
        if (m_bundle.parent < 0)
            fail("parent", "must not be negative; set it to the version in force, or 0");
        if (m_bundle.version <= m_bundle.parent)
            fail("version", std::to_string(m_bundle.version) + " is not above its parent "
                                    + std::to_string(m_bundle.parent) + "; raise it");
    }

    void checkApprovers()
    {
        if (m_bundle.approvers.empty())
            fail("approvers", "is empty, so that no later bundle could be signed; add one");
        for (std::size_t i = 0; i < m_bundle.approvers.size(); ++i) {
            const approver_spec &approver = m_bundle.approvers[i];
            const std::string path = indexed("approvers", i);
            requireUnique("key id", approver.keyId, path + ".key_id");
            if (!isPublicKey(approver.publicKey))
                fail(path + ".public_key",
                     "is not an Ed25519 public key in 64 lower-case hexadecimal digits; copy it "
                     "from the output of `fescuedeckctl key generate`");
        }
    }

    void checkModels()
    {
        for (std::size_t i = 0; i < m_bundle.models.size(); ++i) {
            const model_spec &model = m_bundle.models[i];
            const std::string path = indexed("models", i);
            requireUnique("model name", model.name, path + ".name");
            for (std::size_t j = 0; j < model.adapters.size(); ++j)
                requireUnique("adapter of model " + model.name, model.adapters[j],
                              indexed(path + ".adapters", j));
            if (model.layers <= 0)
                fail(path + ".layers", "must be above 0; set the model's number of layers");
            if (model.firstTokenDeadline <= duration::zero())
                fail(path + ".first_token_deadline", "must be above 0; set one such as 730ms");
            if (model.stepDeadline <= duration::zero())
                fail(path + ".step_deadline", "must be above 0; set one such as 38ms");
        }
    }

    void checkReplica(const endpoint_spec &replica, const std::string &path)
    {
        requireUnique("endpoint id", replica.id, path + ".id");
        requireUnique("address", replica.address, path + ".address");
        if (!detail::isAddress(replica.address))
            fail(path + ".address",
                 "\"" + replica.address
                         + "\" is not an IP address and port; write it as 10.0.0.7:9000");
    }

    void checkEndpoints()
    {
        for (std::size_t i = 0; i < m_bundle.endpoints.size(); ++i) {
            const endpoint_spec &endpoint = m_bundle.endpoints[i];
            const std::string path = indexed("endpoints", i);
            checkReplica(endpoint, path);
            if (!(endpoint.tokensPerSecond > 0) || !std::isfinite(endpoint.tokensPerSecond))
                fail(path + ".tokens_per_second", "must be above 0; set the measured rate");
            const model_spec *model = findModel(m_bundle, endpoint.model);
            if (model == nullptr) {
                fail(path + ".model",
                     "model " + endpoint.model
                             + " is not in models; add the model or correct the name");
                continue;
            }
            if (!layer_range{ 0, model->layers }.contains(endpoint.layers)
                || endpoint.layers.size() <= 0)
                fail(path + ".layers", toString(endpoint.layers) + " is not within 0-"
                                               + std::to_string(model->layers) + " of model "
                                               + model->name + "; correct the range");
        }
    }

    // Boundaries that a chain of ranges from layer 0 reaches.
    std::set<int> reachableBoundaries(const model_spec &model) const
    {
        std::multimap<int, int> endsByBegin;
        for (const endpoint_spec &endpoint : m_bundle.endpoints) {
            if (endpoint.model == model.name && endpoint.version == model.version)
                endsByBegin.emplace(endpoint.layers.begin, endpoint.layers.end);
        }
        std::set<int> reachable = { 0 };
        for (const auto &[begin, end] : endsByBegin) {
            if (reachable.count(begin) != 0 && begin < end)
                reachable.insert(end);
        }
        return reachable;
    }

    void checkCoverage()
    {
        for (std::size_t i = 0; i < m_bundle.models.size(); ++i) {
            const model_spec &model = m_bundle.models[i];
            const std::set<int> reachable = reachableBoundaries(model);
            if (reachable.count(model.layers) != 0)
                continue;
            fail(indexed("models", i),
                 "no chain of endpoints of model " + model.name + " version " + model.version
                         + " covers layers " + std::to_string(*reachable.rbegin()) + "-"
                         + std::to_string(model.layers)
                         + "; add endpoints whose ranges continue each other there");
        }
    }

    void checkOperation(const service_spec &service, const operation_spec &operation,
                        const std::string &path)
    {
        requireUnique("operation of service " + service.name,
                      operation.method + " " + operation.path, path);
        if (!isMethod(operation.method))
            fail(path + ".method",
                 "\"" + operation.method
                         + "\" is not a method; use an upper-case method such as GET");
        if (!isPlainPath(operation.path) || !detail::isPathPrefix(service.prefix, operation.path))
            fail(path + ".path", "\"" + operation.path + "\" is not a plain path under "
                                         + service.prefix + "; start it with the service's prefix");
    }

    void checkPrefix(std::size_t i)
    {
        const std::string &prefix = m_bundle.services[i].prefix;
        const std::string path = indexed("services", i) + ".prefix";
        if (!isPlainPath(prefix) || prefix.back() == '/') {
            fail(path, "\"" + prefix + "\" is not a plain path without a trailing slash; write it "
                               + "as /desk");
            return;
        }
        if (detail::isPathPrefix(reservedPrefix, prefix))
            fail(path, prefix + " is reserved for the routers' own paths; choose another");
        for (std::size_t j = 0; j < i; ++j) {
            const std::string &other = m_bundle.services[j].prefix;
            if (detail::isPathPrefix(other, prefix) || detail::isPathPrefix(prefix, other))
                fail(path,
                     prefix + " and " + other + " of " + indexed("services", j)
                             + " are ambiguous; choose prefixes of which none covers the other");
        }
    }

    void checkServices()
    {
        for (std::size_t i = 0; i < m_bundle.services.size(); ++i) {
            const service_spec &service = m_bundle.services[i];
            const std::string path = indexed("services", i);
            requireUnique("service name", service.name, path + ".name");
            checkPrefix(i);
            for (std::size_t j = 0; j < service.operations.size(); ++j)
                checkOperation(service, service.operations[j], indexed(path + ".operations", j));
            for (std::size_t j = 0; j < service.replicas.size(); ++j)
                checkReplica(service.replicas[j], indexed(path + ".replicas", j));
            if (service.replicas.empty())
                fail(path + ".replicas", "is empty; add a replica or remove the service");
            if (service.deadline <= duration::zero())
                fail(path + ".deadline", "must be above 0; set one such as 2s");
        }
    }

    void checkReferences(const std::string &path, const std::string &kind,
                         const std::vector<std::string> &names, const std::set<std::string> &known)
    {
        for (std::size_t i = 0; i < names.size(); ++i) {
            requireUnique(kind + " of " + path, names[i], indexed(path, i));
            if (known.count(names[i]) == 0)
                fail(indexed(path, i), kind + " " + names[i] + " is not in the bundle; add the "
                                               + kind + " or correct the name");
        }
    }

    void checkTokens(const workspace_spec &workspace, const std::string &path)
    {
        if (workspace.tokenHashes.empty())
            fail(path, "is empty; add the SHA-256 of a bearer token or remove the workspace");
        for (std::size_t i = 0; i < workspace.tokenHashes.size(); ++i) {
            requireUnique("token hash", workspace.tokenHashes[i], indexed(path, i));
            if (!isLowerHex(workspace.tokenHashes[i], 64))
                fail(indexed(path, i),
                     "is not a SHA-256 in 64 lower-case hexadecimal digits; hash the token with "
                     "sha256sum");
        }
    }

    void checkWorkspaces()
    {
        std::set<std::string> models;
        for (const model_spec &model : m_bundle.models)
            models.insert(model.name);
        std::set<std::string> services;
        for (const service_spec &service : m_bundle.services)
            services.insert(service.name);
        for (std::size_t i = 0; i < m_bundle.workspaces.size(); ++i) {
            const workspace_spec &workspace = m_bundle.workspaces[i];
            const std::string path = indexed("workspaces", i);
            requireUnique("workspace name", workspace.name, path + ".name");
            checkTokens(workspace, path + ".token_hashes");
            checkReferences(path + ".models", "model", workspace.models, models);
            checkReferences(path + ".services", "service", workspace.services, services);
            if (!(workspace.weight > 0) || !std::isfinite(workspace.weight))
                fail(path + ".weight", "must be above 0; set 1 for an ordinary workspace");
            if (workspace.queueLimit <= 0)
                fail(path + ".queue_limit", "must be above 0; set the length of its queue");
        }
    }

    const bundle &m_bundle;
    std::vector<failure> m_failures;
    std::map<std::string, std::map<std::string, std::string>> m_firstUse; // scope, value, path
};

} // namespace

std::vector<failure> checkBundle(const bundle &content)
{
    return checker(content).run();
}

namespace detail {

bool isAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    std::string host = text.substr(0, colon);
    const std::string port = text.substr(colon + 1);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    if (error || address.is_v6() != bracketed || address.is_unspecified())
        return false;
    if (port.empty() || port.size() > 5 || port.front() == '0'
        || port.find_first_not_of("0123456789") != std::string::npos)
        return false;
    return std::stoi(port) <= 65535;
}

} // namespace detail
} // namespace fescuedeck
