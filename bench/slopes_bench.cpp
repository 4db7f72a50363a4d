// CPU time and memory of the decision modules as the fleet grows, to derive the sizes of
// docs/CAPACITY.md. Divide a time by the size in the benchmark's name to get the slope.
//
// Memory is the growth of allocated bytes (mallinfo2) over the number of items, printed before the
// benchmarks as "memory.<item> <bytes>".
#include <malloc.h>

#include <cstdio>
#include <memory>
#include <string>

#include <benchmark/benchmark.h>

#include "fescuedeck/admission/fair_queue.h"
#include "fescuedeck/admission/work_predictor.h"
#include "fescuedeck/routing/maximum_flow.h"
#include "fescuedeck/routing/route_planner.h"

namespace fescuedeck::bench {
namespace {

constexpr int layers = 48;
const time_point start{ std::chrono::seconds(1) };

// Replicas in 3 failure domains whose ranges of 8 to 24 layers begin at multiples of 4.
std::vector<wanted_endpoint> replicas(int count)
{
    std::vector<wanted_endpoint> wanted;
    const int sizes[] = { 24, 16, 12, 12, 8 };
    for (int i = 0; i < count; ++i) {
        const int size = sizes[i % 5];
        const int begin = size * (i / 5 % (layers / size));
        wanted.push_back({ "endpoint-" + std::to_string(i),
                           "host-" + std::to_string(i),
                           "domain-" + std::to_string(i % 3),
                           "kind-" + std::to_string(i % 5),
                           "draft",
                           "v1",
                           { begin, begin + size },
                           1000.0 + i % 7 });
    }
    return wanted;
}

void serve(fleet_state &fleet, int count)
{
    fleet.setWanted(replicas(count), start);
    for (int i = 0; i < count; ++i)
        fleet.applyReport("endpoint-" + std::to_string(i), { "1", false, i % 9, 0, {} }, start);
}

layer_graph graphOf(const fleet_state &fleet)
{
    return buildLayerGraph(fleet.view(), { "draft", "v1", layers, {} });
}

void chooseRouteOf(benchmark::State &state)
{
    fleet_state fleet;
    serve(fleet, static_cast<int>(state.range(0)));
    const layer_graph graph = graphOf(fleet);
    random_fn random = seededRandom(1);
    for (auto _ : state)
        benchmark::DoNotOptimize(chooseRoute(graph, fleet.view(), {}, random));
    state.SetComplexityN(state.range(0));
}
BENCHMARK(chooseRouteOf)->Arg(50)->Arg(200)->Arg(500)->Arg(1000)->Arg(2000)->Complexity();

void maximumFlowOf(benchmark::State &state)
{
    fleet_state fleet;
    serve(fleet, static_cast<int>(state.range(0)));
    const layer_graph graph = graphOf(fleet);
    for (auto _ : state)
        benchmark::DoNotOptimize(maximumFlow(graph));
    state.SetComplexityN(state.range(0));
}
BENCHMARK(maximumFlowOf)->Arg(50)->Arg(200)->Arg(500)->Arg(1000)->Arg(2000)->Complexity();

void buildGraphOf(benchmark::State &state)
{
    fleet_state fleet;
    serve(fleet, static_cast<int>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(graphOf(fleet));
    state.SetComplexityN(state.range(0));
}
BENCHMARK(buildGraphOf)->Arg(50)->Arg(200)->Arg(500)->Arg(1000)->Arg(2000)->Complexity();

// One hop: its result is recorded.
void recordHop(benchmark::State &state)
{
    const int count = static_cast<int>(state.range(0));
    fleet_state fleet;
    serve(fleet, count);
    const std::vector<wanted_endpoint> wanted = replicas(count);
    std::size_t i = 0;
    for (auto _ : state) {
        const wanted_endpoint &one = wanted[i++ % wanted.size()];
        fleet.callSucceeded(one.id, "1", { one.layers, 1, std::chrono::milliseconds(7) }, start);
    }
}
BENCHMARK(recordHop)->Arg(50)->Arg(500)->Arg(2000);

// One stream: assigned to a stage and released again.
void assignAndRelease(benchmark::State &state)
{
    const int count = static_cast<int>(state.range(0));
    fleet_state fleet;
    serve(fleet, count);
    const std::vector<wanted_endpoint> wanted = replicas(count);
    std::size_t i = 0;
    for (auto _ : state) {
        const wanted_endpoint &one = wanted[i++ % wanted.size()];
        fleet.assign(one.id, one.layers, start);
        fleet.release(one.id, one.layers, start);
    }
}
BENCHMARK(assignAndRelease)->Arg(50)->Arg(500)->Arg(2000);

// One digest of a peer that names every endpoint.
void applyDigest(benchmark::State &state)
{
    const int count = static_cast<int>(state.range(0));
    fleet_state fleet;
    serve(fleet, count);
    std::map<std::string, double> loads;
    for (const wanted_endpoint &one : replicas(count))
        loads[one.id] = 3;
    for (auto _ : state)
        fleet.setPeerInFlight("router-2", loads, start);
    state.SetComplexityN(count);
}
BENCHMARK(applyDigest)->Arg(50)->Arg(500)->Arg(2000)->Complexity();

void refreshFleet(benchmark::State &state)
{
    fleet_state fleet;
    serve(fleet, static_cast<int>(state.range(0)));
    for (auto _ : state)
        fleet.refresh(start);
    state.SetComplexityN(state.range(0));
}
BENCHMARK(refreshFleet)->Arg(50)->Arg(500)->Arg(2000)->Complexity();

// One request: pushed and popped while each workspace has one waiting.
void pushAndPop(benchmark::State &state)
{
    const int workspaces = static_cast<int>(state.range(0));
    fair_queue queue;
    const time_point late = start + std::chrono::hours(1);
    for (int w = 0; w < workspaces; ++w) {
        const std::string name = "workspace-" + std::to_string(w);
        queue.setWorkspace(name, 1 + w % 4, 100);
        (void)queue.push({ "r", name, 100, late, false }, start);
    }
    for (auto _ : state) {
        auto next = queue.pop(start);
        (void)queue.push(std::move(*next), start);
    }
}
BENCHMARK(pushAndPop)->Arg(10)->Arg(100)->Arg(1000)->Arg(4300);

std::size_t allocated()
{
    return mallinfo2().uordblks;
}

// Bytes that build() keeps allocated for each of count items.
template <class Build>
void printMemory(const char *name, int count, Build build)
{
    const std::size_t before = allocated();
    const auto kept = build();
    const std::size_t after = allocated();
    std::printf("memory.%s %.0f bytes\n", name, static_cast<double>(after - before) / count);
    benchmark::DoNotOptimize(kept);
}

void printMemories()
{
    constexpr int count = 2000;
    const auto makeFleet = [] {
        auto fleet = std::make_unique<fleet_state>();
        serve(*fleet, count);
        return fleet;
    };
    printMemory("fleet_endpoint", count, makeFleet);
    const auto fleet = makeFleet();
    printMemory("graph_endpoint", count,
                [&] { return std::make_unique<layer_graph>(graphOf(*fleet)); });
    printMemory("peer_load", count, [&] {
        std::map<std::string, double> loads;
        for (const wanted_endpoint &one : replicas(count))
            loads[one.id] = 3;
        fleet->setPeerInFlight("router-2", loads, start);
        return 0;
    });
    constexpr int queued = 10000;
    printMemory("queued_request", queued, [] {
        auto queue = std::make_unique<fair_queue>();
        queue->setWorkspace("workspace", 1, queued);
        for (int i = 0; i < queued; ++i)
            (void)queue->push({ "0193a1b2-c3d4-7000-8123-456789abcdef", "workspace", 100,
                                start + std::chrono::hours(1), false },
                              start);
        return queue;
    });
    printMemory("predicted_pair", queued, [] {
        auto predictor = std::make_unique<work_predictor>();
        for (int i = 0; i < queued; ++i)
            predictor->record("workspace-" + std::to_string(i), "draft", 100);
        return predictor;
    });
}

} // namespace
} // namespace fescuedeck::bench

int main(int argc, char **argv)
{
    benchmark::Initialize(&argc, argv);
    fescuedeck::bench::printMemories();
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
