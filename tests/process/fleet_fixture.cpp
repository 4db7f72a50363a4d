#include "fleet_fixture.h"

#include <stdexcept>

#include "fescuedeck/base/hash.h"
#include "fescuedeck/bundle/canonical_bundle.h"
#include "fescuedeck/bundle/check_bundle.h"
#include "fescuedeck/control/control_record.h"
#include "standins/toy_model.h"

namespace fescuedeck::process_tests {
namespace {

constexpr char keyId[] = "ops-1";
constexpr char peersSecret[] = "0f1e2d3c4b5a69788796a5b4c3d2e1f00f1e2d3c4b5a69788796a5b4c3d2e1f0";
const std::vector<std::string> failureDomains = { "Merzouga", "Erfoud", "Rissani" };

const std::string &domainOf(std::size_t index)
{
    return failureDomains[index % failureDomains.size()];
}

std::string joined(const std::vector<std::string> &parts, const std::string &separator)
{
    std::string text;
    for (const std::string &part : parts)
        text += (text.empty() ? "" : separator) + part;
    return text;
}

endpoint_spec endpointSpec(const std::string &id, const fleet_member &member)
{
    endpoint_spec spec;
    spec.id = id;
    spec.host = "host-" + id;
    spec.address = member.address;
    return spec;
}

service_spec deskSpec(const std::vector<fleet_member> &replicas)
{
    service_spec desk;
    desk.name = "desk";
    desk.prefix = "/desk";
    desk.operations = { { "POST", "/desk/signatures", false },
                        { "POST", "/desk/reservations", false },
                        { "GET", "/desk/signatures", true },
                        { "GET", "/desk/reservations", true },
                        { "GET", "/desk/stock", true } };
    for (std::size_t i = 0; i < replicas.size(); ++i) {
        desk.replicas.push_back(endpointSpec("desk-" + std::to_string(i), replicas[i]));
        desk.replicas.back().failureDomain = domainOf(i);
    }
    desk.deadline = std::chrono::seconds(5);
    desk.maxStaleness = std::chrono::seconds(2);
    return desk;
}

workspace_spec workspaceSpec(const std::string &name, const std::string &model, bool hasDesk)
{
    workspace_spec workspace;
    workspace.name = name;
    workspace.tokenHashes = { sha256Hex(fleet_fixture::tokenOf(name)) };
    workspace.models = { model };
    if (hasDesk)
        workspace.services = { "desk" };
    workspace.queueLimit = 256;
    return workspace;
}

} // namespace

std::vector<stage_setup> defaultStages()
{
    return {
        { { 0, 8 }, "a40", "Merzouga", {} },  { { 8, 16 }, "l4", "Erfoud", {} },
        { { 16, 24 }, "a40", "Rissani", {} }, { { 0, 10 }, "t4", "Erfoud", {} },
        { { 8, 18 }, "a40", "Rissani", {} },  { { 16, 24 }, "l4", "Merzouga", {} },
    };
}

fleet_fixture::fleet_fixture(fleet_options options)
    : m_options(std::move(options))
{
    const auto key = generateKeyPair();
    if (!key)
        throw std::runtime_error(key.error().message());
    m_key = key.value();
    m_folder.write("peers.secret", peersSecret);
    startPlatform();
    engines.resize(m_options.stages.size());
    for (std::size_t i = 0; i < engines.size(); ++i) {
        startEngine(i, "127.0.0.1:0");
        setHostState(i, "live");
    }
    startServices();
    publish(firstBundle());
    routers.resize(static_cast<std::size_t>(m_options.routers));
    for (router_member &router : routers)
        router.peers = "127.0.0.1:" + std::to_string(freePort());
    for (std::size_t i = 0; i < routers.size(); ++i)
        startRouter(i);
}

void fleet_fixture::startPlatform()
{
    platform.process = std::make_unique<child_process>("standin_platform", m_options.platformFlags,
                                                       m_folder.path(), "platform");
    platform.address = platform.process->waitForAddress("listening");
}

void fleet_fixture::startEngine(std::size_t index, const std::string &address)
{
    const stage_setup &stage = m_options.stages[index];
    std::string load = m_options.model + "/" + m_options.version + "/"
                       + std::to_string(m_options.layers) + "/" + toString(stage.layers);
    if (!m_options.adapters.empty())
        load += "/" + joined(m_options.adapters, "+");
    std::vector<std::string> flags
            = { "--address=" + address, "--loads=" + load, "--platform=" + platform.address };
    if (!stage.checksFencing)
        flags.emplace_back("--nochecks_fencing");
    flags.insert(flags.end(), stage.flags.begin(), stage.flags.end());
    engines[index].process = std::make_unique<child_process>("standin_engine", flags,
                                                             m_folder.path(), engineId(index));
    engines[index].address = engines[index].process->waitForAddress("listening");
}

void fleet_fixture::startServices()
{
    services.resize(static_cast<std::size_t>(m_options.services));
    for (std::size_t i = 0; i < services.size(); ++i) {
        services[i].process
                = std::make_unique<child_process>("standin_service", m_options.serviceFlags,
                                                  m_folder.path(), "desk-" + std::to_string(i));
        services[i].address = services[i].process->waitForAddress("listening");
    }
}

std::string fleet_fixture::routerYaml(std::size_t index) const
{
    std::vector<std::string> others;
    for (std::size_t i = 0; i < routers.size(); ++i) {
        if (i != index)
            others.push_back("\"" + routers[i].peers + "\"");
    }
    return "router_id: router-" + std::to_string(index + 1) + "\n" + "deployment: atlas-sable\n"
           + "failure_domain: " + domainOf(index) + "\n" + "callers: { address: \"127.0.0.1:0\" }\n"
           + "operators: { address: \"127.0.0.1:0\" }\n" + "peers: { address: \""
           + routers[index].peers + "\", addresses: [" + joined(others, ", ")
           + "], secret_file: peers.secret }\n" + "platform: { address: \"" + platform.address
           + "\" }\n" + "approvers: [ { key_id: " + keyId + ", public_key: \"" + m_key.publicKey
           + "\" } ]\n" + m_options.routerSettings;
}

void fleet_fixture::startRouter(std::size_t index)
{
    const std::string name = "router-" + std::to_string(index + 1);
    const std::string settings = m_folder.write(name + ".yaml", routerYaml(index));
    router_member &router = routers[index];
    router.process = std::make_unique<child_process>(
            "fescuedeck_router", std::vector<std::string>{ "--settings", settings },
            m_folder.path(), name);
    router.callers = router.process->waitForAddress("callers");
    router.operators = router.process->waitForAddress("operators");
}

void fleet_fixture::restartEngine(std::size_t index)
{
    engines[index].process.reset();
    startEngine(index, engines[index].address);
}

void fleet_fixture::restartRouter(std::size_t index)
{
    routers[index].process.reset();
    startRouter(index);
}

void fleet_fixture::setHostState(std::size_t engine, const std::string &state)
{
    const nlohmann::json host = { { "host", "host-" + engineId(engine) },
                                  { "address", engines[engine].address },
                                  { "role", "endpoint" },
                                  { "state", state } };
    client.post(platform.address, "/standin/hosts",
                { { "hosts", nlohmann::json::array({ host }) } });
}

bundle fleet_fixture::firstBundle() const
{
    bundle content;
    content.version = 1;
    model_spec model;
    model.name = m_options.model;
    model.version = m_options.version;
    model.layers = m_options.layers;
    model.adapters = m_options.adapters;
    model.maxTokens = standins::maxDraftTokens;
    model.firstTokenDeadline = std::chrono::seconds(10);
    model.stepDeadline = std::chrono::seconds(2);
    content.models = { model };
    for (std::size_t i = 0; i < engines.size(); ++i) {
        endpoint_spec spec = endpointSpec(engineId(i), engines[i]);
        spec.failureDomain = m_options.stages[i].failureDomain;
        spec.accelerator = m_options.stages[i].accelerator;
        spec.model = model.name;
        spec.version = model.version;
        spec.layers = m_options.stages[i].layers;
        spec.tokensPerSecond = 1000;
        spec.checksFencing = m_options.stages[i].checksFencing;
        content.endpoints.push_back(spec);
    }
    if (!services.empty())
        content.services = { deskSpec(services) };
    for (const std::string &name : m_options.workspaces)
        content.workspaces.push_back(workspaceSpec(name, model.name, !services.empty()));
    content.approvers = { { keyId, m_key.publicKey } };
    return content;
}

void fleet_fixture::publish(const bundle &content)
{
    const auto problems = checkBundle(content);
    if (!problems.empty())
        throw std::runtime_error("bundle: " + problems.front().message());
    const std::string canonical = canonicalBundle(content);
    const std::string hash = bundleHash(canonical);
    const auto signature = signHash(hash, m_key.privateKey);
    if (!signature)
        throw std::runtime_error(signature.error().message());
    appendControl(recordBody(bundle_proposed{ content.version, content.parent, hash, canonical }));
    appendControl(recordBody(bundle_signed{ content.version, hash, keyId, signature.value() }));
    m_bundle = content;
}

void fleet_fixture::appendControl(const std::string &body)
{
    const nlohmann::json record = { { "id", "fixture-" + std::to_string(++m_appends) },
                                    { "body", nlohmann::json::parse(body) } };
    const auto answer = client.post(platform.address, "/log/control/append",
                                    { { "records", nlohmann::json::array({ record }) } });
    if (!answer.is_object() || !answer.contains("offsets"))
        throw std::runtime_error("the platform did not store a control record");
}

bool fleet_fixture::waitForRouters(const std::function<bool(const router_member &)> &condition)
{
    return eventually([&] {
        for (const router_member &router : routers) {
            if (router.process->isRunning() && !condition(router))
                return false;
        }
        return true;
    });
}

bool fleet_fixture::waitUntilReady()
{
    return waitForRouters([this](const router_member &router) {
        return client.call("GET", router.operators, "/readyz").status == 200;
    });
}

bool fleet_fixture::waitUntilServing()
{
    const std::size_t expected = engines.size() + services.size();
    return waitUntilReady() && waitForRouters([&](const router_member &router) {
               const auto status = client.get(router.operators, "/status");
               if (!status.is_object() || !status.contains("endpoints"))
                   return false;
               std::size_t serving = 0;
               for (const auto &endpoint : status["endpoints"])
                   serving += endpoint["state"] == "serving" ? 1 : 0;
               return serving == expected;
           });
}

bool fleet_fixture::waitUntilInForce(std::int64_t version)
{
    return waitForRouters([&](const router_member &router) {
        const auto status = client.get(router.operators, "/status");
        return status.is_object() && status["bundle"].is_object()
               && status["bundle"].value("version", std::int64_t{ 0 }) >= version;
    });
}

http_request fleet_fixture::draftRequest(const std::string &prompt, int maxTokens, bool stream,
                                         const std::string &workspace) const
{
    const nlohmann::json body = { { "model", m_options.model },
                                  { "prompt", prompt },
                                  { "max_tokens", maxTokens },
                                  { "stream", stream } };
    return { "POST",
             "/v1/completions",
             { { "Authorization", "Bearer " + tokenOf(workspace) },
               { "Content-Type", "application/json" } },
             body.dump() };
}

http_request fleet_fixture::signatureRequest(const std::string &id, const std::string &key,
                                             const std::string &workspace) const
{
    std::vector<http_header> headers = { { "Authorization", "Bearer " + tokenOf(workspace) },
                                         { "Content-Type", "application/json" } };
    if (!key.empty())
        headers.push_back({ "Idempotency-Key", key });
    const nlohmann::json body = { { "id", id }, { "rider", "Aziz" } };
    return { "POST", "/desk/signatures", headers, body.dump() };
}

std::string fleet_fixture::expectedText(const std::string &prompt, int maxTokens) const
{
    return standins::expectedText({ m_options.model, m_options.version, "", m_options.layers },
                                  prompt, maxTokens);
}

int fleet_fixture::executionsOf(const std::string &id)
{
    int total = 0;
    for (const fleet_member &service : services) {
        const auto counts = client.get(service.address, "/standin/counts");
        if (counts.is_object() && counts["by_id"].contains(id))
            total += counts["by_id"][id].get<int>();
    }
    return total;
}

} // namespace fescuedeck::process_tests
