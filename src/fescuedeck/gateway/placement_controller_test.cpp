#include "fescuedeck/gateway/placement_controller.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

constexpr auto ms = [](int count) { return std::chrono::milliseconds(count); };

engine_spec smallSpec()
{
    engine_spec spec;
    spec.layers = 8;
    spec.layerMb = 1000;
    spec.loadSecondsAllLayers = 8;
    spec.kinds = { { "card", 4500, 1, 1 } };
    return spec;
}

endpoint_ptr engineWith(const std::string &id, std::optional<layer_range> layers = std::nullopt)
{
    auto endpoint = std::make_shared<endpoint_record>();
    endpoint->entry = { id,     "model", id + ":80", "a", 8, endpoint_phase_announced::Ready,
                        "card", layers,  1 };
    return endpoint;
}

const time_point start{ std::chrono::hours(1) };

} // namespace

TEST_CASE("an order that was begun is not sent again while the engine loads", "[gateway]")
{
    placement_controller controller;
    const std::vector<endpoint_ptr> fleet = { engineWith("x"), engineWith("y") };
    const auto orders = controller.plan(smallSpec(), fleet, start);
    REQUIRE(orders.size() == 2);
    for (const placement_order &order : orders)
        controller.recordOutcome(order, order_outcome::Begun, start);
    CHECK(controller.plan(smallSpec(), fleet, start + ms(1000)).empty());
    CHECK(controller.timeToCloseGaps(start) == std::chrono::seconds(4));
    // The engines are asked for a report only after the expected end of the load.
    CHECK(controller.reportsDue(start + ms(3900)).empty());
    CHECK(controller.reportsDue(start + ms(4100)).size() == 2);
}

TEST_CASE("an order whose outcome is unknown is sent again unchanged", "[gateway]")
{
    placement_controller controller;
    const std::vector<endpoint_ptr> fleet = { engineWith("x"), engineWith("y") };
    const auto first = controller.plan(smallSpec(), fleet, start);
    for (const placement_order &order : first)
        controller.recordOutcome(order, order_outcome::Unknown, start);
    CHECK(controller.plan(smallSpec(), fleet, start + ms(100)).empty());
    const auto second = controller.plan(smallSpec(), fleet, start + ms(800));
    REQUIRE(second.size() == first.size());
    // Both copies expect the same number of accepted orders, so at most one of them is executed,
    // even if one arrives late.
    for (std::size_t i = 0; i < first.size(); ++i) {
        CHECK(second[i].endpoint == first[i].endpoint);
        CHECK(second[i].range == first[i].range);
        CHECK(second[i].expectedOrders == first[i].expectedOrders);
    }
}

TEST_CASE("after a mismatch the next order expects the order count that the engine reports",
          "[gateway]")
{
    placement_controller controller;
    const endpoint_ptr engine = engineWith("x");
    const std::vector<endpoint_ptr> fleet = { engine, engineWith("y", layer_range{ 4, 8 }) };
    const auto orders = controller.plan(smallSpec(), fleet, start);
    REQUIRE(orders.size() == 1);
    controller.recordOutcome(orders[0], order_outcome::Mismatched, start);
    REQUIRE(controller.reportsDue(start) == std::vector<std::string>{ "x" });
    engine->orders = 3;
    controller.recordReport("x", { std::nullopt, 3, false, {} }, start + ms(10));
    const auto again = controller.plan(smallSpec(), fleet, start + ms(20));
    REQUIRE(again.size() == 1);
    CHECK(again[0].expectedOrders == 3);
}

TEST_CASE("an engine that restarts under the same id gets a new order", "[gateway]")
{
    placement_controller controller;
    std::vector<endpoint_ptr> fleet = { engineWith("x"), engineWith("y", layer_range{ 4, 8 }) };
    const auto orders = controller.plan(smallSpec(), fleet, start);
    REQUIRE(orders.size() == 1);
    controller.recordOutcome(orders[0], order_outcome::Begun, start);
    fleet[0] = engineWith("x");
    fleet[0]->entry.startedAt = 2;
    CHECK(controller.plan(smallSpec(), fleet, start + ms(100)).size() == 1);
}

TEST_CASE("an order whose load has been announced or reported is no longer pending", "[gateway]")
{
    placement_controller controller;
    const endpoint_ptr engine = engineWith("x");
    const std::vector<endpoint_ptr> fleet = { engine, engineWith("y", layer_range{ 4, 8 }) };
    const auto orders = controller.plan(smallSpec(), fleet, start);
    controller.recordOutcome(orders.at(0), order_outcome::Begun, start);
    controller.recordReport("x", { std::nullopt, 1, true, {} }, start + ms(100));
    CHECK(controller.pending() == 1);
    engine->entry.layers = orders[0].range;
    controller.recordReport("x", { orders[0].range, 1, false, {} }, start + ms(4100));
    CHECK(controller.pending() == 0);
    CHECK(controller.plan(smallSpec(), fleet, start + ms(4200)).empty());
}

} // namespace fescuedeck
