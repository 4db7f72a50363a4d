// The state that all worker threads of one router share.
//
// Each group of tables is guarded by a mutex whose rank is listed in ranked_mutex.h. A thread that
// needs two of them locks the one with the lower rank first. No code waits or sends while it holds
// one of these mutexes.
#ifndef FESCUEDECK_ROUTER_ROUTER_CONTEXT_H
#define FESCUEDECK_ROUTER_ROUTER_CONTEXT_H

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "fescuedeck/admission/retry_budget.h"
#include "fescuedeck/admission/work_predictor.h"
#include "fescuedeck/base/guarded.h"
#include "fescuedeck/base/random.h"
#include "fescuedeck/bundle/bundle_index.h"
#include "fescuedeck/control/control_state.h"
#include "fescuedeck/fleet/fleet_state.h"
#include "fescuedeck/net/http_client.h"
#include "fescuedeck/router/step_history.h"
#include "fescuedeck/router/suspect_coordinator.h"
#include "fescuedeck/routing/route_planner.h"
#include "fescuedeck/settings/router_settings.h"
#include "fescuedeck/telemetry/metrics.h"
#include "fescuedeck/telemetry/trace.h"

namespace fescuedeck {

// What this router knows from the control stream of the log and from its peers. The bundle is the
// signed configuration of all routers.
struct control_tables
{
    explicit control_tables(control_options options)
        : state(std::move(options))
    {
    }

    control_state state;
    std::shared_ptr<const bundle_index> index; // bundle in force; null if there is none yet
    time_point lastLogContact{};               // the last successful read of the log
    bool isCaughtUp = false; // the last read reached the end of the control stream
    // Hosts that an operator drained through this router, and whose drain record this router has
    // not read from the log yet.
    std::set<std::string> pendingDrains;
    // Hosts that an operator drained through a peer, according to the peers' latest messages.
    std::set<std::string> peerDrains;
};

struct fleet_tables
{
    fleet_state state;
    std::map<std::string, std::shared_ptr<route_table>> routes; // by model
    std::map<std::string, step_history> stepTimes;              // by endpoint
    std::map<std::string, step_history> modelStepTimes;         // by model, of all its endpoints
};

struct admission_tables
{
    retry_budget retries;
    work_predictor predictor;
};

struct router_context
{
    router_context(router_settings routerSettings, boost::asio::io_context &ioContext);

    const router_settings settings;
    const std::string incarnation; // identifies this run of the router process
    boost::asio::io_context &io;
    http_client client;
    metrics counters;
    trace_store traces;
    guarded<control_tables> control;
    guarded<fleet_tables> fleet;
    guarded<admission_tables> admission;
    suspect_coordinator suspects;
    std::atomic<bool> isShuttingDown{ false };
    // True once every endpoint has been polled and the claims of idempotency keys have been read,
    // or when the time limit for this has passed.
    std::atomic<bool> isWarmedUp{ false };
    // The last time that a peer connected or a message from a peer arrived.
    std::atomic<time_point> lastPeerContact{ time_point{} };
    // Number of other live routers in the last host list; -1 before the first list.
    std::atomic<int> otherLiveRouters{ -1 };

    // Returns a random number. Thread-safe, because each thread has its own generator.
    std::uint64_t random() const;
    // Returns random() as a function that refers to this object.
    random_fn randomFn() const;
    // Returns null if no bundle is in force yet.
    std::shared_ptr<const bundle_index> bundleInForce() const;
    // Returns the address of an endpoint; empty if the bundle in force does not contain it.
    std::string addressOf(const std::string &endpoint) const;
};

// Returns the bundle's endpoints in the form in which fleet_state tracks them. A replica of a plain
// service becomes an endpoint of the model "service:<name>" with the single layer 0-1. The ejection
// of replicas, its limit and their return then work in the same way as for engines.
std::vector<wanted_endpoint> wantedEndpoints(const bundle &content);
// Returns the model "service:<name>" under which fleet_state tracks the replicas of a service.
std::string fleetModelOf(const service_spec &service);

} // namespace fescuedeck

#endif
