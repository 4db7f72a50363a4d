// Decides which orders to send so that the engines of one model load the planned layers, and tracks
// the orders that have not taken effect yet.
//
// Every order contains the number of orders that its engine has accepted so far. An engine refuses
// an order whose number does not match, so an order that arrives late, after another one, has no
// effect.
#ifndef FESCUEDECK_GATEWAY_PLACEMENT_CONTROLLER_H
#define FESCUEDECK_GATEWAY_PLACEMENT_CONTROLLER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fescuedeck/base/layer_range.h"
#include "fescuedeck/base/name_table.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/gateway/endpoint_registry.h"
#include "fescuedeck/gateway/gateway_config.h"
#include "fescuedeck/gateway/layer_placement.h"

namespace fescuedeck {

struct placement_order
{
    std::string endpoint; // id
    std::string address;
    std::int64_t startedAt = 0; // of the incarnation that the order is for
    layer_range range;
    std::int64_t expectedOrders = 0; // accepted by the engine before this one
    bool closesGap = false;
};

enum class order_outcome {
    Begun,      // the engine is loading
    Done,       // the engine holds the range already
    Mismatched, // the engine's state is not the expected one
    Fenced,     // the engine has seen a higher fencing token
    NotSent,    // the engine cannot have received it
    Unknown,    // no usable answer: it may be executed, now or later
};

constexpr name_table<order_outcome, 6> orderOutcomeNames = { {
        { order_outcome::Begun, "begun" },
        { order_outcome::Done, "done" },
        { order_outcome::Mismatched, "mismatched" },
        { order_outcome::Fenced, "fenced" },
        { order_outcome::NotSent, "not_sent" },
        { order_outcome::Unknown, "unknown" },
} };

// An engine's answer to a report request.
struct engine_report
{
    std::optional<layer_range> layers;
    std::int64_t orders = 0;            // accepted
    bool isBusy = false;                // the engine is executing an order
    std::vector<std::string> stalledOn; // addresses of engines that its requests wait for
    double slowdown = 1;   // factor by which the engine is slower than usual; at least 1
    double cacheShare = 0; // share of its KV cache that is in use, 0 to 1
};

struct placement_timing
{
    duration resendAfter = std::chrono::milliseconds(700); // after an order without an answer
    duration reportInterval = std::chrono::milliseconds(300);
    // How long after the expected end of the load the engine is asked whether it has loaded.
    duration loadMargin = std::chrono::milliseconds(50);
    // An order that has not taken effect this long after it was sent is dropped, and the engine is
    // planned again.
    duration giveUpAfter = std::chrono::seconds(15);
};

// Not thread-safe.
class placement_controller
{
public:
    explicit placement_controller(placement_policy policy = {}, placement_timing timing = {});

    // Returns the orders to send now. endpoints are all known endpoints of the service.
    std::vector<placement_order> plan(const engine_spec &spec,
                                      const std::vector<endpoint_ptr> &endpoints, time_point now);
    void recordOutcome(const placement_order &order, order_outcome outcome, time_point now);
    // Returns the ids of the engines that must be asked for a report now, and schedules their next
    // report.
    std::vector<std::string> reportsDue(time_point now);
    void recordReport(const std::string &endpoint, const engine_report &report, time_point now);
    // Time until the last of the pending orders that close a gap is expected to have loaded; zero
    // if no pending order closes a gap.
    duration timeToCloseGaps(time_point now) const;
    // Drops all pending orders, for example because another gateway holds the placement lease now.
    void clear() { m_pending.clear(); }
    std::size_t pending() const { return m_pending.size(); }

private:
    struct pending_order
    {
        placement_order order;
        bool isBegun = false;
        bool isOutcomeUnknown = false;
        time_point sentAt{};
        time_point readyAt{}; // expected end of the load
        time_point nextReportAt{};
    };

    void dropFinishedOrders(const std::vector<endpoint_ptr> &endpoints, time_point now);
    std::vector<placement_engine> enginesOf(const std::vector<endpoint_ptr> &endpoints,
                                            time_point now) const;

    const placement_policy m_policy;
    const placement_timing m_timing;
    std::map<std::string, pending_order> m_pending; // by endpoint id
    engine_spec m_spec;
};

} // namespace fescuedeck

#endif
