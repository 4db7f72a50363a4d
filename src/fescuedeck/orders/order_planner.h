// Plans the orders that bring the engines of one model from the layer ranges that they hold to
// those that the bundle wants. Only the router that holds the model's lease uses it
// (lease_keeper.h).
//
// An engine first loads the wanted range in addition to what it holds. It is told to drop the old
// range only when the engines' reports show that the remaining ranges provide the needed capacity.
// So during a change an engine needs memory for both ranges.
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
    // The removal of a load must leave at least this share of the capacity that its model has when
    // all engines hold what the bundle wants. If the capacity is below that already, the removal
    // must not reduce it.
    double neededShare = 0.8;
    double layersPerSecond = 100; // rate of the weight store
    double burstLayers = 100;     // layers that may be ordered at once after a time without loads
    // Longest time by which the content of a report can be out of date when the report is received.
    duration reportLag = std::chrono::seconds(2);
    // An engine without a report for this long counts as holding nothing.
    duration reportExpiry = std::chrono::seconds(10);
    // An order that has not been accepted is sent again this long after it was sent.
    duration resendAfter = std::chrono::seconds(1);
    // Longest time from sending an order until it takes effect, for engines that do not check the
    // fencing number.
    duration longestDelivery = std::chrono::milliseconds(1500);
    // An accepted order is sent again if the engine's reports do not show its loads within this
    // time. A repeated order may restart a load, so this time must exceed the longest load.
    duration loadTimeout = std::chrono::minutes(10);
};

// Rate and burst for loads from the weight store, see planner_policy.
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
    // Replaces the load rate of the policy, for example when a new bundle divides the weight
    // store's rate differently among the models.
    void setLoadRate(const load_rate &rate)
    {
        m_budget.setRate(rate.layersPerSecond, rate.burstLayers);
    }
    // Call it for the reports of all engines, including those of other models, because an engine
    // that now belongs to another model may still hold layers of this one.
    void recordReport(const std::string &endpoint, const load_report &report, time_point now);
    // Records the engine's answer to the newest order. `accepted` is false if the engine refused
    // the order, for example because of an old fencing number, or if the order failed. The order
    // then counts as unanswered.
    void recordAnswer(const std::string &endpoint, bool accepted, time_point now);

    // Returns the orders to send now, without delay. `authority` is the result of
    // lease_keeper::authority() at the same time.
    std::vector<engine_order> plan(time_point now, const order_authority &authority);

    // Returns true if every engine of the model reports that it holds exactly what the bundle
    // wants.
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
        // The newest order that was sent to this incarnation of the engine under the current
        // authority, which begins when this router becomes the holder of the lease.
        std::optional<sent_order> newestOrder;
        bool isAccepted = false; // the engine has accepted newestOrder
        time_point acceptedAt{};
        // Earlier orders that the engine has not accepted and that may still take effect.
        std::vector<sent_order> unresolvedOrders;
        // The engine has accepted an order under the current authority. If it checks the fencing
        // number, it now refuses the orders of previous holders.
        bool isFenced = false;
        time_point fencedAt{};
    };
    // The state of one call of plan().
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
    // Identifies the authority under which the newest orders in m_engines were sent.
    std::int64_t m_firstFencing = -1;
};

} // namespace fescuedeck

#endif
