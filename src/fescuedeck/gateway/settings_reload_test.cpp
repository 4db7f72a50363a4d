#include "fescuedeck/gateway/settings_reload.h"

#include <catch2/catch.hpp>

namespace fescuedeck {

TEST_CASE("a reload applies changed limits and lists changed addresses as needing a restart",
          "[gateway]")
{
    gateway_settings current;
    current.callersAddress = "127.0.0.1:80";
    gateway_settings fresh = current;
    CHECK(applySettings(current, fresh).applied.empty());
    fresh.minRetriesPerWindow = 50;
    fresh.gracePeriod = std::chrono::seconds(3);
    fresh.callersAddress = "127.0.0.1:81";
    const settings_change change = applySettings(current, fresh);
    CHECK(change.applied == "grace_period,retry_reserve");
    CHECK(change.needRestart == "callers_address");
    CHECK(current.gracePeriod == std::chrono::seconds(3));
    CHECK(current.callersAddress == "127.0.0.1:80");
    CHECK(applySettings(current, fresh).applied.empty());
}

} // namespace fescuedeck
