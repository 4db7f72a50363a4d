#include "standins/service_model.h"

#include <catch2/catch.hpp>

namespace fescuedeck::standins {

TEST_CASE("the desk counts every execution by key and by id", "[standins]")
{
    // Guards against a stand-in that hides a repeated write by deduplicating it.
    service_model desk;
    const nlohmann::json body = { { "id", "w-17" }, { "lot", "9" }, { "quantity", 2 } };
    CHECK(desk.record("reservations", body, "key-1", unix_millis(5)).status == 201);
    CHECK(desk.record("reservations", body, "key-1", unix_millis(6)).status == 201);
    CHECK(desk.counts()["by_key"]["key-1"] == 2);
    CHECK(desk.counts()["by_id"]["w-17"] == 2);
    CHECK(desk.stock("9", unix_millis(7)).body["in_stock"] == service_model::initialStock - 4);
    CHECK(desk.lookUp("reservations", "w-17").body["number"] == 2);
    CHECK(desk.lookUp("signatures", "w-17").status == 404);
}

TEST_CASE("a write without an id has no effect", "[standins]")
{
    service_model desk;
    CHECK(desk.record("signatures", { { "rider", "Aziz" } }, "k", unix_millis(1)).status == 400);
    CHECK(desk.counts()["total"] == 0);
}

} // namespace fescuedeck::standins
