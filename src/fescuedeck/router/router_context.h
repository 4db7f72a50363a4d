// The tables that all workers of one router share.
//
// Each table is guarded by a mutex of the rank stated in ranked_mutex.h; a thread that needs two
// takes them in rising rank. Nothing waits or sends while it holds one.
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

struct control_tables
{
    explicit control_tables(control_options options)
        : state(std::move(options))
    {
    }

    control_state state;
    std::shared_ptr<const bundle_index> index; // of the bundle in force; null before the first
    time_point lastLogContact{};
    bool isCaughtUp = false; // the last read reached the end of the stream
    // Hosts that an operator drained here and whose record has not been read from the log yet.
    std::set<std::string> pendingDrains;
    // The same as the peers state it now.
    std::set<std::string> peerDrains;
};

struct fleet_tables
{
    fleet_state state;
    std::map<std::string, std::shared_ptr<route_table>> routes; // by model
    std::map<std::string, step_history> stepTimes;              // by endpoint
    std::map<std::string, step_history> modelStepTimes;         // of all its endpoints, by model
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
    const std::string incarnation;
    boost::asio::io_context &io;
    http_client client;
    metrics counters;
    trace_store traces;
    guarded<control_tables> control;
    guarded<fleet_tables> fleet;
    guarded<admission_tables> admission;
    suspect_coordinator suspects;
    std::atomic<bool> isShuttingDown{ false };
    // Every endpoint has been polled once and the claims have been read, or the time for it is
    // over.
    std::atomic<bool> isWarmedUp{ false };
    std::atomic<time_point> lastPeerContact{ time_point{} };
    // Live routers in the last host list, without this one; -1 before the first list.
    std::atomic<int> otherLiveRouters{ -1 };

    // Thread-safe; each thread draws from its own generator.
    std::uint64_t random() const;
    random_fn randomFn() const;
    std::shared_ptr<const bundle_index> bundleInForce() const;
    // Address of an endpoint of the bundle in force; empty if it is not in the bundle.
    std::string addressOf(const std::string &endpoint) const;
};

// The bundle's endpoints in the form that the fleet tracks. A replica of a plain service is an
// endpoint of the "model" service:<name> with the single layer 0-1, so that ejection, its cap and
// return work the same for both.
std::vector<wanted_endpoint> wantedEndpoints(const bundle &content);
std::string fleetModelOf(const service_spec &service);

} // namespace fescuedeck

#endif
