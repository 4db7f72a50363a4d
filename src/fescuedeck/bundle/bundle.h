// The bundle: the signed configuration that operators roll to every router.
//
// These are plain aggregates. Fill them with parseBundle (bundle_yaml.h) or parseCanonicalBundle
// (canonical_bundle.h) and pass them to checkBundle (check_bundle.h) before use: the lookups below
// and all other modules rely on what checkBundle guarantees.
#ifndef FESCUEDECK_BUNDLE_BUNDLE_H
#define FESCUEDECK_BUNDLE_BUNDLE_H

#include <cstdint>
#include <string>
#include <vector>

#include "fescuedeck/base/layer_range.h"
#include "fescuedeck/base/time.h"

namespace fescuedeck {

// A model engine, or a replica of a plain service. The fields from model on are empty for a
// replica.
struct endpoint_spec
{
    std::string id; // unique among endpoints and replicas
    std::string host;
    std::string failureDomain;
    std::string address; // ip:port, IPv6 in brackets
    std::string accelerator;
    std::string model;
    std::string version;
    layer_range layers;
    double tokensPerSecond = 0;
    bool checksFencing = false; // whether the engine rejects orders with an old fencing number
};

struct model_spec
{
    std::string name;
    std::string version;
    int layers = 0;
    std::vector<std::string> adapters;
    int maxTokens = 0; // upper bound of max_tokens of one request
    duration firstTokenDeadline{};
    duration stepDeadline{};
};

struct operation_spec
{
    std::string method;
    std::string path; // matches itself and everything below it
    bool idempotent = false;
};

struct service_spec
{
    std::string name;
    std::string prefix; // path prefix in callers' requests, without a trailing slash
    std::vector<operation_spec> operations;
    std::vector<endpoint_spec> replicas;
    duration deadline{};
    duration maxStaleness{}; // greatest age of a read's answer; zero means that any age is accepted
};

struct workspace_spec
{
    std::string name;
    std::vector<std::string> tokenHashes; // sha256 of each bearer token, lower-case hex
    std::vector<std::string> models;
    std::vector<std::string> services;
    double weight = 1;
    int queueLimit = 0;
};

struct approver_spec
{
    std::string keyId;
    std::string publicKey; // Ed25519, lower-case hex
};

struct bundle
{
    std::int64_t version = 0;
    std::int64_t parent = 0; // version that this bundle replaces; 0 for the first
    std::vector<model_spec> models;
    std::vector<endpoint_spec> endpoints;
    std::vector<service_spec> services;
    std::vector<workspace_spec> workspaces;
    std::vector<approver_spec> approvers;
};

// The lookups return null if there is no match; the result points into the argument.
const model_spec *findModel(const bundle &content, const std::string &name);
// Service whose prefix covers the path of the target (path and query).
const service_spec *findService(const bundle &content, const std::string &target);
// The operation with the longest matching path. A target with empty or dot segments matches none,
// because the replica may resolve it to another operation.
const operation_spec *findOperation(const service_spec &service, const std::string &method,
                                    const std::string &target);
// False for an operation that the service does not list.
bool isIdempotent(const service_spec &service, const std::string &method,
                  const std::string &target);
bool mayUseModel(const workspace_spec &workspace, const std::string &model);
bool mayUseService(const workspace_spec &workspace, const std::string &service);

namespace detail {

// True if path equals prefix or continues it at a segment boundary.
bool isPathPrefix(const std::string &prefix, const std::string &path);

} // namespace detail
} // namespace fescuedeck

#endif
