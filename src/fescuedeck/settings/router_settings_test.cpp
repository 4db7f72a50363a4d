#include "fescuedeck/settings/router_settings.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

const std::string approvers
        = "approvers:\n  - { key_id: ops-1, public_key: \"" + std::string(64, 'a') + "\" }\n";
const std::string valid = "router_id: router-1\n"
                          "deployment: atlas-sable\n"
                          "failure_domain: Merzouga\n"
                          "callers: { address: \"127.0.0.1:0\" }\n"
                          "operators: { address: \"[::1]:0\" }\n"
                          "platform: { address: \"127.0.0.1:7000\", retention: 2h }\n"
                          + approvers;

std::string detailOf(const std::string &yaml)
{
    const auto settings = parseRouterSettings(yaml, "router.yaml", "");
    return settings ? "valid" : settings.error().detail;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("valid settings are read", "[settings]")
{
    const auto settings = parseRouterSettings(valid, "router.yaml", "");
    REQUIRE(settings);
    CHECK(settings.value().routerId == "router-1");
    CHECK(settings.value().platform.retention == std::chrono::hours(2));
    CHECK(settings.value().platform.weightLoadsPerSecond == 2);
}

// Guards against a rate of zero, with which no engine would ever load.
TEST_CASE("the weight store's rate is checked", "[settings]")
{
    const auto withRate = [](const std::string &rate) {
        std::string yaml = valid;
        const std::string retention = "retention: 2h";
        return yaml.replace(yaml.find(retention), retention.size(),
                            "weight_loads_per_second: " + rate);
    };
    const auto settings = parseRouterSettings(withRate("5"), "router.yaml", "");
    REQUIRE(settings);
    CHECK(settings.value().platform.weightLoadsPerSecond == 5);
    CHECK(contains(detailOf(withRate("0")), "platform.weight_loads_per_second: must be a whole"));
}

TEST_CASE("each problem names file, line, field and remedy", "[settings]")
{
    // Guards against a typing error that silently leaves a default in force.
    CHECK(contains(detailOf(valid + "wokers: 3\n"), "router.yaml:9: wokers: is not a known field"));
    CHECK(contains(detailOf(valid + "workers: many\n"), "router.yaml:9: workers: must be a whole"));
    CHECK(contains(detailOf(valid + "timing: { log_timeout: 5 }\n"),
                   "timing.log_timeout: must be a time from 50ms to 30s with its unit"));
    CHECK(contains(detailOf(valid + "cell: 1\ncell: 2\n"), "cell: is given twice"));
    CHECK(contains(detailOf("router_id: [\n"), "router.yaml:"));
    CHECK(contains(detailOf("just text"), "must be a mapping"));
}

TEST_CASE("all problems of a file are reported at once", "[settings]")
{
    const std::string detail = detailOf("router_id: router-1\ncallers: { address: localhost }\n");
    CHECK(contains(detail, "deployment: is missing"));
    CHECK(contains(detail, "callers.address: must be ip:port"));
    CHECK(contains(detail, "platform: has no valid address"));
    CHECK(contains(detail, "approvers: is empty"));
}

TEST_CASE("a peer section without a readable secret is refused", "[settings]")
{
    const std::string peers = "peers: { address: \"127.0.0.1:7101\", secret_file: missing }\n";
    CHECK(contains(detailOf(valid + peers), "peers.secret_file: cannot be read"));
}

} // namespace fescuedeck
