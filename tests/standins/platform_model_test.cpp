#include "standins/platform_model.h"

#include <catch2/catch.hpp>

namespace fescuedeck::standins {
namespace {

nlohmann::json recordsOf(const std::string &id)
{
    return nlohmann::json::array({ { { "id", id }, { "body", "{}" } } });
}

} // namespace

TEST_CASE("offsets keep counting when old records expire", "[standins]")
{
    platform_options options;
    options.retention = unix_millis(100);
    platform_model platform(options);
    platform.append("control", recordsOf("a"), time_point{}, unix_millis(0));
    platform.append("control", recordsOf("b"), time_point{}, unix_millis(90));
    const auto page = platform.read("control", 0, 10, unix_millis(101));
    CHECK(page["first"] == 1);
    CHECK(page["next"] == 2);
    CHECK(page["records"][0]["id"] == "b");
    CHECK(platform.append("control", recordsOf("c"), time_point{}, unix_millis(101))->front() == 2);
}

TEST_CASE("the append rate is limited", "[standins]")
{
    platform_options options;
    options.appendsPerSecond = 2;
    platform_model platform(options);
    const time_point start(std::chrono::seconds(10));
    CHECK(platform.append("s", recordsOf("a"), start, unix_millis(0)));
    CHECK(platform.append("s", recordsOf("b"), start, unix_millis(0)));
    CHECK_FALSE(platform.append("s", recordsOf("c"), start, unix_millis(0)));
    CHECK(platform.append("s", recordsOf("c"), start + std::chrono::seconds(1), unix_millis(0)));
}

TEST_CASE("the host list shows a change only after the lag", "[standins]")
{
    platform_model platform({});
    platform.setHost({ "oven-1", "127.0.0.1:1", "endpoint", "live", "i1" }, time_point{});
    platform.setHostListLag(duration(50));
    platform.setHost({ "oven-1", "127.0.0.1:1", "endpoint", "leaving", "i1" }, time_point{});
    CHECK(platform.hosts(time_point(duration(49)))["hosts"][0]["state"] == "live");
    CHECK(platform.hosts(time_point(duration(50)))["hosts"][0]["state"] == "leaving");
}

} // namespace fescuedeck::standins
