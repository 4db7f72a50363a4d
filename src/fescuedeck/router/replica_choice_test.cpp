#include "fescuedeck/router/replica_choice.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

endpoint_spec replica(const std::string &id)
{
    endpoint_spec spec;
    spec.id = id;
    return spec;
}

endpoint_view viewOf(const std::string &id, endpoint_phase phase, bool usable)
{
    endpoint_view view;
    view.id = id;
    view.phase = phase;
    view.usable = usable;
    return view;
}

service_spec threeReplicas()
{
    service_spec service;
    service.replicas = { replica("a"), replica("b"), replica("c") };
    return service;
}

fleet_view allServing()
{
    fleet_view view;
    for (const char *id : { "a", "b", "c" })
        view.endpoints.push_back(viewOf(id, endpoint_phase::Serving, true));
    return view;
}

} // namespace

TEST_CASE("a workspace keeps its replica while another one fails", "[router]")
{
    // If the failure of one replica moved the workspaces of the others, a read would go to another
    // replica than the write before it.
    const service_spec service = threeReplicas();
    const auto first = replicaOrder(service, "erg-camp", allServing());
    REQUIRE(first.size() == 3);
    fleet_view degraded = allServing();
    for (endpoint_view &endpoint : degraded.endpoints) {
        if (endpoint.id == first[1]->id)
            endpoint = viewOf(endpoint.id, endpoint_phase::Ejected, false);
    }
    const auto second = replicaOrder(service, "erg-camp", degraded);
    REQUIRE(second.size() == 2);
    CHECK(second[0]->id == first[0]->id);
}

TEST_CASE("a leaving replica is never chosen, and an ejected one only if no replica is usable",
          "[router]")
{
    // A leaving replica rejects new calls, while an ejected one may have recovered and is better
    // than no replica at all.
    const service_spec service = threeReplicas();
    fleet_view view;
    view.endpoints = { viewOf("a", endpoint_phase::Leaving, false),
                       viewOf("b", endpoint_phase::Ejected, false),
                       viewOf("c", endpoint_phase::Leaving, false) };
    const auto order = replicaOrder(service, "erg-camp", view);
    REQUIRE(order.size() == 1);
    CHECK(order[0]->id == "b");
}

} // namespace fescuedeck
