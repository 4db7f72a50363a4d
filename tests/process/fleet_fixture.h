// A whole fleet as processes: platform, engines, plain service replicas and routers, with a signed
// bundle. Use it for tests of behaviour that needs real routers.
//
// Members are started in the constructor, which throws std::runtime_error if one does not come up.
// Everything ends with the fixture. Not thread-safe.
#ifndef FESCUEDECK_PROCESS_FLEET_FIXTURE_H
#define FESCUEDECK_PROCESS_FLEET_FIXTURE_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fescuedeck/base/layer_range.h"
#include "fescuedeck/bundle/bundle.h"
#include "fescuedeck/bundle/signature.h"
#include "harness.h"

namespace fescuedeck::process_tests {

struct stage_setup
{
    layer_range layers;
    std::string accelerator;
    std::string failureDomain;
    std::vector<std::string> flags; // further flags of standin_engine; they override the fixture's
    bool checksFencing = true;      // as the bundle states it; the engine follows it
};

// Two replicas of a 24-layer model in three stages each. The second one's ranges overlap each other
// and are cut at other layers than the first one's.
std::vector<stage_setup> defaultStages();

struct fleet_options
{
    std::string model = "waiver";
    std::string version = "1";
    int layers = 24;
    std::vector<std::string> adapters;
    std::vector<stage_setup> stages = defaultStages();
    int services = 2; // replicas of the service "desk" with the prefix /desk
    int routers = 4;
    std::vector<std::string> platformFlags;
    std::vector<std::string> serviceFlags;
    std::string routerSettings; // YAML lines added to each router's settings
    std::vector<std::string> workspaces = { "convoy", "tent" };
};

struct fleet_member
{
    std::unique_ptr<child_process> process;
    std::string address; // of callers for a router
};

struct router_member
{
    std::unique_ptr<child_process> process;
    std::string callers;
    std::string operators;
    std::string peers; // chosen before the start, as the other routers' settings name it
};

class fleet_fixture
{
public:
    explicit fleet_fixture(fleet_options options = {});

    blocking_client client;

    fleet_member platform;
    std::vector<fleet_member> engines; // in the order of the options' stages
    std::vector<fleet_member> services;
    std::vector<router_member> routers;

    // The bundle that was published last. Change a copy and publish it to roll a new one.
    const bundle &currentBundle() const { return m_bundle; }
    // Signs it and appends proposal and signature to the control stream.
    void publish(const bundle &content);
    // Whether all running routers become ready and list each endpoint of the bundle as serving.
    bool waitUntilServing();
    // Whether all running routers become ready.
    bool waitUntilReady();
    // Whether all running routers put this bundle version, or a later one, in force.
    bool waitUntilInForce(std::int64_t version);

    // Starts a member again on its old address, after it has ended.
    void restartEngine(std::size_t index);
    void restartRouter(std::size_t index);
    // Reports a state of an engine's host ("live", "leaving", "gone") to the platform's host list.
    void setHostState(std::size_t engine, const std::string &state);

    // Bearer token of a workspace.
    static std::string tokenOf(const std::string &workspace) { return "token-" + workspace; }
    http_request draftRequest(const std::string &prompt, int maxTokens, bool stream,
                              const std::string &workspace = "convoy") const;
    http_request signatureRequest(const std::string &id, const std::string &key,
                                  const std::string &workspace = "convoy") const;
    std::string expectedText(const std::string &prompt, int maxTokens) const;
    // Executions of a write at all service replicas, by body id.
    int executionsOf(const std::string &id);

private:
    std::string engineId(std::size_t index) const { return "engine-" + std::to_string(index); }
    void startPlatform();
    void startEngine(std::size_t index, const std::string &address);
    void startServices();
    void startRouter(std::size_t index);
    std::string routerYaml(std::size_t index) const;
    bundle firstBundle() const;
    bool waitForRouters(const std::function<bool(const router_member &)> &condition);
    void appendControl(const std::string &body);

    fleet_options m_options;
    temporary_folder m_folder;
    key_pair m_key;
    bundle m_bundle;
    int m_appends = 0;
};

} // namespace fescuedeck::process_tests

#endif
