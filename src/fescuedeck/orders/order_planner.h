// Plans the orders that bring the engines of one model from what they hold to what the bundle
// wants. Use it on the router that holds the model's lease (lease_keeper.h).
//
// An engine first gets the wanted range beside what it holds and loses the old range only when the
// engines' reports show that the rest can serve the needed capacity. So an engine must have room
// for both during a change.
#ifndef FESCUEDECK_ORDERS_ORDER_PLANNER_H
#define FESCUEDECK_ORDERS_ORDER_PLANNER_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fescuedeck/base/time.h"
#include "fescuedeck/bundle/bundle.h"
#include "fescuedeck/orders/engine_order.h"
#include "fescuedeck/orders/lease_keeper.h"
#include "fescuedeck/orders/load_budget.h"
#include "fescuedeck/orders/serving_capacity.h"

namespace fescuedeck {

struct planner_policy
{
    // Share of the bundle's capacity for the model that removals must leave.
    double neededShare = 0.8;
    double layersPerSecond = 100; // rate of the weight store
    double burstLayers = 100;
    // Longest age of a report's content when it is received.
    duration reportLag = std::chrono::seconds(2);
    // An engine without a report for this long counts as holding nothing.
    duration reportExpiry = std::chrono::seconds(10);
    duration resendAfter = std::chrono::seconds(1); // without an answer, or after a refusal
    // Longest time from sending an order to its effect, for engines that do not check fencing.
    duration longestDelivery = std::chrono::milliseconds(1500);
    // An accepted order is repeated if the report does not show its loads by then. A repeated order
    // may start a load anew, so this exceeds the longest load.
    duration loadTimeout = std::chrono::minutes(10);
};

struct load_rate
{
    double layersPerSecond = 0;
    double burstLayers = 0;
};

// Not thread-safe.
class order_planner
{
public:
    order_planner(planner_policy policy, std::string model);

    void setBundle(std::shared_ptr<const bundle> content);
    // Replaces the policy's rate, for example when a new bundle divides the weight store's rate
    // differently.
    void setLoadRate(const load_rate &rate)
    {
        m_budget.setRate(rate.layersPerSecond, rate.burstLayers);
    }
    // Reports of all engines, also of other models: an engine may still hold this model's layers.
    void recordReport(const std::string &endpoint, const load_report &report, time_point now);
    // The engine's answer to the newest order; accepted is false for an old fencing number.
    void recordAnswer(const std::string &endpoint, bool accepted, time_point now);

    // Orders to send now, each at once. authority is lease_keeper's at this time.
    std::vector<engine_order> plan(time_point now, const order_authority &authority);

    // True if every engine of the model reports exactly what the bundle wants.
    bool hasConverged(time_point now) const;

private:
    struct sent_order
    {
        std::int64_t fencing = 0;
        std::vector<engine_load> loads;
        time_point sentAt{};
    };
    struct engine
    {
        std::optional<load_report> report;
        time_point reportedAt{};
        // Newest order of the current authority to this incarnation.
        std::optional<sent_order> newestOrder;
        bool isAccepted = false;
        time_point acceptedAt{};
        // Earlier orders without an answer, which may still take effect.
        std::vector<sent_order> unresolvedOrders;
        bool isFenced = false; // accepted an order of the current authority
        time_point fencedAt{};
    };
    // One call of plan.
    struct plan_context
    {
        time_point now;
        order_authority authority;
        detail::serving_capacity capacity;
        bool mayRemove = false;
    };

    bool isFresh(const engine &state, time_point now) const;
    std::set<std::string> modelsInUse(time_point now) const;
    detail::engine_holdings currentHoldings(time_point now) const;
    std::vector<const endpoint_spec *>
    endpointsByFewestHolders(const detail::serving_capacity &capacity) const;
    std::optional<engine_order> planEngine(const endpoint_spec &endpoint, plan_context &current);
    std::vector<engine_load> targetOf(const endpoint_spec &endpoint, plan_context &current);
    bool mayLoad(const endpoint_spec &endpoint, const engine_load &wanted, time_point now);
    bool isModelSettled(time_point now, const order_authority &authority) const;
    bool isSettled(const endpoint_spec &endpoint, time_point now,
                   const order_authority &authority) const;
    bool needsOrder(const endpoint_spec &endpoint, const std::vector<engine_load> &target,
                    const plan_context &current) const;
    static bool willKeepLoad(const engine &state, const engine_load &load);
    static void resetOrderState(engine &state);
    static void keepUnresolvedOrder(engine &state);
    void dropResolvedOrders();

    planner_policy m_policy;
    std::string m_model;
    std::shared_ptr<const bundle> m_bundle;
    detail::load_budget m_budget;
    std::vector<const endpoint_spec *> m_endpoints; // of the model, in m_bundle
    std::map<std::string, engine> m_engines;        // by endpoint id
    std::int64_t m_firstFencing = -1; // authority that the orders in m_engines belong to
};

} // namespace fescuedeck

#endif
