// Sends orders to the engines until they hold the layer ranges that the bundle in force assigns to
// them.
//
// Only the router that holds the lease of a model sends orders for it. Every router tracks all
// leases and tries to acquire those that are free. While a router holds at least one lease, it
// polls the load reports of the engines, plans orders and sends them, one at a time per engine.
#ifndef FESCUEDECK_ROUTER_ORDER_CONTROLLER_H
#define FESCUEDECK_ROUTER_ORDER_CONTROLLER_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fescuedeck/base/guarded.h"
#include "fescuedeck/orders/lease_keeper.h"
#include "fescuedeck/orders/order_planner.h"
#include "fescuedeck/router/control_follower.h"
#include "fescuedeck/router/router_context.h"

namespace fescuedeck {

class order_controller
{
public:
    order_controller(router_context &context, control_follower &control);

    // Spawns the loops. They end when the io_context stops. On shutdown, the leases are released
    // during the shutdown notice time. If that time is shorter than one pass of the lease loop, the
    // leases expire instead.
    void start();

private:
    // The lease and the planned orders of one model.
    struct model_state
    {
        lease_keeper keeper;
        order_planner planner;
        std::int64_t bundleVersion = 0;
        bool isInBundle = true;
        bool isLeaseHeld = false; // result of the last pass of the lease loop
    };
    struct queued_order
    {
        std::string model;
        engine_order order;
        std::string body; // of the HTTP request
    };
    // The queue of one engine. It holds at most one order that waits to be sent; a newer order
    // replaces it.
    struct engine_queue
    {
        bool isSending = false;   // a sendQueuedOrders coroutine is running or about to be spawned
        std::string sendingModel; // model of the order in flight; empty if there is none
        std::optional<queued_order> next;
    };
    struct order_tables
    {
        std::map<std::string, model_state> models;   // by model name
        std::map<std::string, engine_queue> engines; // by endpoint id
        std::set<std::string> polling;               // ids of endpoints with a poll in flight
    };
    struct lease_poll_result
    {
        std::vector<lease_requested> records; // to append to the control stream
        std::vector<std::string> logLines; // one for each lease that was acquired, lost or released
    };

    void maintainLeases(boost::asio::yield_context yield);
    // Updates the planners for the bundle and adds state for its new models.
    void setBundle(const std::shared_ptr<const bundle_index> &index);
    // Returns whether an order of the model is in flight to any engine.
    static bool isSendingOrderOf(const order_tables &tables, const std::string &model);
    // isCandidate states whether this router may hold leases, which requires that it is ready.
    lease_poll_result pollLeases(const std::map<std::string, lease> &leases, bool isCandidate);
    model_state makeModelState(const std::string &model) const;
    std::map<std::string, lease> currentLeases() const;
    void planAndSendOrders(boost::asio::yield_context yield);
    // Fetches the endpoint's load report on its own coroutine unless a poll is already in flight.
    void spawnPoll(const endpoint_spec &endpoint);
    // Queues the orders that are due. Returns the ids of the engines that had no sending coroutine;
    // the caller must start sendQueuedOrders for each of them.
    std::vector<std::string> planOrders(const bundle &content);
    void sendQueuedOrders(const std::string &endpoint, boost::asio::yield_context yield);
    // Removes the engine's next order from its queue and returns it if it may still be sent.
    // Otherwise marks the engine as idle and returns nullopt.
    std::optional<queued_order> takeOrder(const std::string &endpoint);
    // Sends the order and returns whether the engine accepted it.
    bool send(const queued_order &queued, boost::asio::yield_context yield);
    // Passes the engine's answer to the planner.
    void reportAnswer(const queued_order &queued, bool isAccepted);
    // Increments the order counter of the model and the result.
    void countOrder(const std::string &model, const char *result);

    router_context &m_context;
    control_follower &m_control;
    guarded<order_tables> m_tables;
};

} // namespace fescuedeck

#endif
