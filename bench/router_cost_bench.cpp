// Cost of the router as a program: added time against a direct connection to the same engines in
// the same run, processor time and memory of its process, and sizes of its messages.
//
// Prints lines "name value bound unit"; there is no stated bound for them, so the bound is "-".
// Times depend on the machine and on what else runs there; compare the ratios.
#include <chrono>
#include <cstdio>
#include <fstream>
#include <future>
#include <sstream>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <unistd.h>

#include "fescuedeck/base/ids.h"
#include "fescuedeck/bundle/canonical_bundle.h"
#include "fescuedeck/claims/claim_record.h"
#include "fescuedeck/peer/peer_message.h"
#include "fescuedeck/router/stage_transport.h"
#include "process/fleet_fixture.h"

namespace fescuedeck {
namespace {

using process_tests::fleet_fixture;
using process_tests::fleet_options;
using std::chrono::steady_clock;

constexpr int drafts = 40;
constexpr int tokensPerDraft = 20;
constexpr int writes = 200;
constexpr std::chrono::seconds idleTime(8); // processor time is counted in steps of 10 ms
constexpr int idleStages = 40;
const std::string prompt = "A rider summary for twelve riders from the Erg camp to the well.";

void print(const std::string &name, double value, const char *unit)
{
    std::printf("%s %.4g - %s\n", name.c_str(), value, unit);
}

// Seconds of user and system time of a process so far.
double cpuSeconds(pid_t pid)
{
    constexpr int fieldsBeforeUserTime = 11; // after the command name in parentheses
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int i = 0; i < fieldsBeforeUserTime; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMebibytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

double secondsOf(const std::function<void()> &work)
{
    const auto start = steady_clock::now();
    work();
    return std::chrono::duration<double>(steady_clock::now() - start).count();
}

// Runs one draft over the first three engines, hop by hop, without a router.
void runDirectDraft(http_client &client, const fleet_fixture &fleet, int number,
                    boost::asio::yield_context yield)
{
    const auto stages = process_tests::defaultStages();
    std::vector<int> tokens(prompt.begin(), prompt.end());
    int position = static_cast<int>(tokens.size());
    for (int i = 0; i < tokensPerDraft; ++i) {
        run_hop hop;
        hop.tokens = tokens;
        for (std::size_t stage = 0; stage < 3; ++stage) {
            hop.identity = { "direct-" + std::to_string(number),
                             1,
                             position,
                             "waiver",
                             "1",
                             "",
                             stages[stage].layers };
            hop_context context;
            context.address = fleet.engines[stage].address;
            context.timeout = std::chrono::seconds(5);
            const hop_result answer = runHop(client, hop, context, yield);
            const auto &value = std::get<hop_answer>(answer.value);
            hop.tokens.clear();
            hop.activations = value.activations;
            if (value.token)
                tokens = { value.token->id };
        }
        ++position;
    }
}

double directSeconds(const fleet_fixture &fleet)
{
    boost::asio::io_context io;
    http_client client(io);
    return secondsOf([&] {
        boost::asio::spawn(io, [&](boost::asio::yield_context yield) {
            for (int i = 0; i < drafts; ++i)
                runDirectDraft(client, fleet, i, yield);
        });
        io.run();
    });
}

void measureDrafts(fleet_fixture &fleet)
{
    const auto &router = fleet.routers.front();
    const auto runDrafts = [&] {
        for (int i = 0; i < drafts; ++i)
            fleet.client.send(router.callers, fleet.draftRequest(prompt, tokensPerDraft, false));
    };
    runDrafts(); // warms connections and step times
    const double direct = directSeconds(fleet);
    const double cpuBefore = cpuSeconds(router.process->pid());
    const double routed = secondsOf(runDrafts);
    const double cpu = cpuSeconds(router.process->pid()) - cpuBefore;
    const double hops = drafts * tokensPerDraft * 3.0;
    print("router.direct_per_hop", direct / hops * 1e6, "us");
    print("router.added_per_hop", (routed - direct) / hops * 1e6, "us");
    print("router.added_per_draft", (routed - direct) / drafts * 1e6, "us");
    print("router.routed_over_direct", routed / direct, "ratio");
    print("router.cpu_per_hop", cpu / hops * 1e6, "us");
}

void measureWrites(fleet_fixture &fleet)
{
    const random_fn random = seededRandom(1);
    const auto &router = fleet.routers.front();
    const double cpuBefore = cpuSeconds(router.process->pid());
    const double routed = secondsOf([&] {
        for (int i = 0; i < writes; ++i) {
            const std::string id = "bench-" + std::to_string(i);
            fleet.client.send(router.callers,
                              fleet.signatureRequest(id, makeUuidV7(wallNow(), random)));
        }
    });
    const double cpu = cpuSeconds(router.process->pid()) - cpuBefore;
    print("router.keyed_write", routed / writes * 1e6, "us");
    print("router.cpu_per_keyed_write", cpu / writes * 1e6, "us");
}

// Share of a core that a router uses without any request.
double idleShare(const fleet_fixture &fleet)
{
    const pid_t pid = fleet.routers.front().process->pid();
    const double before = cpuSeconds(pid);
    std::this_thread::sleep_for(idleTime);
    return (cpuSeconds(pid) - before) / static_cast<double>(idleTime.count());
}

double endpointsOf(const fleet_fixture &fleet)
{
    return static_cast<double>(fleet.engines.size() + fleet.services.size());
}

// The slope by endpoints, from a small and a large fleet with the same number of routers.
void measureIdle(const fleet_fixture &small)
{
    fleet_options options;
    const auto stages = options.stages;
    while (options.stages.size() < idleStages)
        options.stages.push_back(stages[options.stages.size() % stages.size()]);
    fleet_fixture large(options);
    if (!large.waitUntilServing())
        return;
    const double smallShare = idleShare(small);
    const double largeShare = idleShare(large);
    const double slope = (largeShare - smallShare) / (endpointsOf(large) - endpointsOf(small));
    print("router.idle_cpu." + std::to_string(static_cast<int>(endpointsOf(small))) + "_endpoints",
          smallShare * 100, "%_of_a_core");
    print("router.idle_cpu." + std::to_string(static_cast<int>(endpointsOf(large))) + "_endpoints",
          largeShare * 100, "%_of_a_core");
    print("router.idle_cpu_per_endpoint", slope * 100, "%_of_a_core");
    print("router.resident", residentMebibytes(small.routers.front().process->pid()), "MiB");
    print("router.resident_large", residentMebibytes(large.routers.front().process->pid()), "MiB");
}

peer_digest digestOf(int endpoints)
{
    peer_digest digest;
    digest.version = 1234;
    digest.hash = std::string(64, 'a');
    digest.offset = 123456;
    for (int i = 0; i < endpoints; ++i)
        digest.inFlight["endpoint-" + std::to_string(1000 + i)] = 1.37 + i;
    return digest;
}

void measureMessages(const fleet_fixture &fleet)
{
    constexpr int many = 400;
    const double small = static_cast<double>(toCbor(digestOf(0)).size());
    const double large = static_cast<double>(toCbor(digestOf(many)).size());
    print("bytes.digest", small, "bytes");
    print("bytes.digest_per_endpoint", (large - small) / many, "bytes");
    run_hop hop;
    hop.identity = { std::string(36, 'r'), 1, 100, "waiver", "1", "", { 0, 8 } };
    hop.tokens = { 300 };
    hop_context context;
    context.workspace = "convoy";
    print("bytes.hop_request_body", static_cast<double>(detail::encodeHop(hop, context).size()),
          "bytes");
    const claim_made claim{ scopedKey("convoy", std::string(36, 'k')), std::string(36, 'a'),
                            "router-1/0123456789abcdef", std::string(64, 'f'), unix_millis(1) };
    print("bytes.claim", static_cast<double>(toJson(claim).size()), "bytes");
    const std::string canonical = canonicalBundle(fleet.currentBundle());
    print("bytes.bundle", static_cast<double>(canonical.size()), "bytes");
    bundle larger = fleet.currentBundle();
    const endpoint_spec endpoint = larger.endpoints.front();
    larger.endpoints.insert(larger.endpoints.end(), many, endpoint);
    print("bytes.bundle_per_endpoint",
          static_cast<double>(canonicalBundle(larger).size() - canonical.size()) / many, "bytes");
    bundle wider = fleet.currentBundle();
    const workspace_spec workspace = wider.workspaces.front();
    wider.workspaces.insert(wider.workspaces.end(), many, workspace);
    print("bytes.bundle_per_workspace",
          static_cast<double>(canonicalBundle(wider).size() - canonical.size()) / many, "bytes");
}

int run()
{
    fleet_options options;
    options.routers = 4;
    fleet_fixture fleet(options);
    if (!fleet.waitUntilServing()) {
        std::fputs("the fleet did not come up\n", stderr);
        return 1;
    }
    measureIdle(fleet);
    measureDrafts(fleet);
    measureWrites(fleet);
    measureMessages(fleet);
    return 0;
}

} // namespace
} // namespace fescuedeck

int main()
{
    return fescuedeck::run();
}
