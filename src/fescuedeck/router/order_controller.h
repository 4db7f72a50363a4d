// Brings the engines to the layer ranges that the bundle in force wants, on the router that holds
// the lease of a model.
//
// Each router keeps its side of the lease of every model. While it holds one, it polls the engines'
// reports, plans orders and sends them, one at a time per engine.
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

    // Spawns the loops; they end when the io_context stops. A shutdown releases the leases within
    // its notice time; with a shorter one than a pass of the lease loop they lapse.
    void start();

private:
    struct model_state
    {
        lease_keeper keeper;
        order_planner planner;
        std::int64_t bundleVersion = 0;
        bool isInBundle = true;
        bool isLeaseHeld = false; // as of the last pass of the lease loop
    };
    struct queued_order
    {
        std::string model;
        engine_order order;
        std::string body;
    };
    // The queue of one engine. A newer order replaces one that has not been sent.
    struct engine_queue
    {
        bool isSending = false;
        std::string sendingModel; // of the order on its way; empty if there is none
        std::optional<queued_order> next;
    };
    struct order_tables
    {
        std::map<std::string, model_state> models;
        std::map<std::string, engine_queue> engines; // by endpoint id
        std::set<std::string> polling;               // endpoints with a poll in flight
    };
    struct lease_poll_result
    {
        std::vector<lease_requested> records;
        std::vector<std::string> logLines; // log lines
    };

    void maintainLeases(boost::asio::yield_context yield);
    void setBundle(const std::shared_ptr<const bundle_index> &index);
    static bool isSendingOrderOf(const order_tables &tables, const std::string &model);
    lease_poll_result pollLeases(const std::map<std::string, lease> &leases, bool isCandidate);
    model_state makeModelState(const std::string &model) const;
    std::map<std::string, lease> currentLeases() const;
    void planAndSendOrders(boost::asio::yield_context yield);
    void spawnPoll(const endpoint_spec &endpoint);
    // Queues the orders that are due and returns the idle engines among them.
    std::vector<std::string> planOrders(const bundle &content);
    void sendQueuedOrders(const std::string &endpoint, boost::asio::yield_context yield);
    // Takes the next order that may still be sent; ends the sending if there is none.
    std::optional<queued_order> takeOrder(const std::string &endpoint);
    bool send(const queued_order &queued, boost::asio::yield_context yield);
    void reportAnswer(const queued_order &queued, bool isAccepted);
    void countOrder(const std::string &model, const char *result);

    router_context &m_context;
    control_follower &m_control;
    guarded<order_tables> m_tables;
};

} // namespace fescuedeck

#endif
