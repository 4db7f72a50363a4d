#include "fescuedeck/gateway/crash_ledger.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };

} // namespace

TEST_CASE("the third crash quarantines a request, once", "[gateway]")
{
    crash_ledger ledger;
    CHECK_FALSE(ledger.recordCrash("a", start));
    CHECK_FALSE(ledger.recordCrash("a", start));
    CHECK_FALSE(ledger.isQuarantined("a", start));
    CHECK(ledger.recordCrash("a", start));
    CHECK(ledger.isQuarantined("a", start));
    CHECK_FALSE(ledger.recordCrash("a", start));
    CHECK_FALSE(ledger.isQuarantined("b", start));
}

TEST_CASE("a quarantine heard from a peer counts at once and ends after its time", "[gateway]")
{
    crash_ledger_settings settings;
    settings.quarantineExpiry = std::chrono::seconds(10);
    crash_ledger ledger(settings);
    ledger.quarantine("a", start);
    CHECK(ledger.quarantined() == std::vector<std::string>{ "a" });
    // Hearing of it again does not lengthen it.
    ledger.quarantine("a", start + std::chrono::seconds(9));
    CHECK_FALSE(ledger.isQuarantined("a", start + std::chrono::seconds(10)));
    ledger.expire(start + std::chrono::seconds(10));
    CHECK(ledger.quarantined().empty());
}

TEST_CASE("the ledger stays within its limit", "[gateway]")
{
    crash_ledger_settings settings;
    settings.maxFingerprints = 3;
    crash_ledger ledger(settings);
    for (int i = 0; i < 10; ++i)
        ledger.quarantine(std::to_string(i), start + std::chrono::seconds(i));
    CHECK(ledger.quarantined().size() == 3);
    CHECK(ledger.isQuarantined("9", start + std::chrono::seconds(9)));
}

} // namespace fescuedeck
