#include "fescuedeck/gateway/table_follower.h"

#include <atomic>
#include <mutex>

#include <catch2/catch.hpp>

#include "fescuedeck/net/test_io.h"
#include "fescuedeck/router/wait_event.h"

namespace fescuedeck {
namespace {

// A follower of a store whose failures the test controls. Counts the calls of the hooks.
class follower_fixture
{
public:
    explicit follower_fixture(bool startsStalled = false)
        : isStalled(startsStalled)
    {
        m_store.readNewest = [this](store_table, duration,
                                    boost::asio::yield_context yield) -> result<store_page> {
            sleepFor(std::chrono::milliseconds(2), yield);
            ++wholeReads;
            if (isStalled)
                sleepFor(std::chrono::hours(1), yield); // also after the store has recovered
            if (isDown)
                return makeFailure(errc::LogUnavailable, "down");
            store_page page;
            page.records = { { "a", "1", 4, false } };
            page.next = 5;
            page.epoch = epoch;
            return page;
        };
        m_store.readFrom = [this](store_table, std::int64_t from, duration wait, duration,
                                  const call_cancellation &,
                                  boost::asio::yield_context yield) -> result<store_page> {
            sleepFor(std::chrono::milliseconds(2), yield);
            failedReads += isDown && outages > 0 ? 1 : 0;
            longPolledWhileDown
                    = longPolledWhileDown || (isDown && outages > 0 && wait > duration::zero());
            if (isDown)
                return makeFailure(errc::LogUnavailable, "down");
            store_page page;
            page.next = from;
            page.epoch = epoch;
            if (hasGap.exchange(false)) {
                page.hasMissingRecords = true;
                page.next = 40;
                return page;
            }
            lastFrom = from;
            immediateReads += wait == duration::zero() ? 1 : 0;
            return page;
        };
        table_follower_settings settings;
        settings.name = "test";
        settings.pace = [] { return read_pace{ std::chrono::seconds(1), {} }; };
        settings.firstReadInterval = std::chrono::milliseconds(5);
        settings.retry = { std::chrono::milliseconds(2), std::chrono::milliseconds(4) };
        table_follower_hooks hooks;
        hooks.onRecord = [this](const store_record &) { ++records; };
        hooks.onWholeTableRead = [this](const std::vector<std::string> &) { ++wholeTables; };
        hooks.onRestored = [this] { recordsAtRestoration = records.load(); };
        hooks.onOutage = [this](bool isUnavailable, duration) {
            isUnavailable ? ++outages : ++recoveries;
            if (!isUnavailable && refreshesAfterOutage)
                follower->refresh();
        };
        follower = std::make_unique<table_follower>(io.context(), m_store, store_table::Endpoints,
                                                    settings, hooks, seededRandom(1));
        follower->start();
    }
    ~follower_fixture() { io.stop(); }

    test_io io{ 1 };
    std::atomic<bool> isDown{ false };
    std::atomic<bool> isStalled;
    std::atomic<int> recordsAtRestoration{ -1 };
    std::atomic<bool> hasGap{ false };
    std::atomic<bool> refreshesAfterOutage{ false };
    std::atomic<std::int64_t> epoch{ 1 }; // of the store
    std::atomic<bool> longPolledWhileDown{ false };
    std::atomic<int> failedReads{ 0 }; // after the outage was reported
    std::atomic<int> wholeReads{ 0 }, records{ 0 }, wholeTables{ 0 }, outages{ 0 }, recoveries{ 0 };
    std::atomic<std::int64_t> lastFrom{ -1 };
    std::atomic<int> immediateReads{ 0 }; // successful reads that the store must not delay
    std::unique_ptr<table_follower> follower;

private:
    store_hooks m_store;
};

} // namespace

TEST_CASE("a table is read whole once and then only its new records", "[gateway]")
{
    follower_fixture fixture;
    CHECK(eventually([&] { return fixture.lastFrom == 5; }));
    CHECK(fixture.wholeTables == 1);
    CHECK(fixture.records == 1);
}

TEST_CASE("after dropped records the whole table is read, and reading continues after them",
          "[gateway]")
{
    follower_fixture fixture;
    CHECK(eventually([&] { return fixture.lastFrom == 5; }));
    fixture.hasGap = true;
    CHECK(eventually([&] { return fixture.lastFrom == 40; }));
    CHECK(fixture.wholeTables == 2);
}

// Guards against skipping records that a restored store has given offsets below the follower's.
TEST_CASE("after the store was restored the whole table is read again", "[gateway]")
{
    follower_fixture fixture;
    CHECK(eventually([&] { return fixture.lastFrom == 5; }));
    SECTION("also if the offset to read from exists again")
    {
        CHECK(fixture.recordsAtRestoration == -1);
        fixture.epoch = 2;
        CHECK(eventually([&] { return fixture.wholeTables == 2; }));
        CHECK(fixture.recordsAtRestoration == 1); // before those of the second read
    }
    SECTION("and reading continues after it, although earlier records had been dropped")
    {
        fixture.hasGap = true;
        CHECK(eventually([&] { return fixture.lastFrom == 40; }));
        fixture.epoch = 2;
        CHECK(eventually([&] { return fixture.lastFrom == 5; }));
        CHECK(fixture.wholeTables == 3);
    }
    const int reads = fixture.wholeReads;
    fixture.lastFrom = -1;
    CHECK(eventually([&] { return fixture.lastFrom == 5; }));
    CHECK(fixture.wholeReads == reads);
}

TEST_CASE("an outage and its end are reported once each", "[gateway]")
{
    follower_fixture fixture;
    CHECK(eventually([&] { return fixture.lastFrom == 5; }));
    fixture.isDown = true;
    CHECK(eventually([&] { return fixture.outages == 1; }));
    fixture.isDown = false;
    CHECK(eventually([&] { return fixture.recoveries == 1; }));
    CHECK(fixture.outages == 1);
}

// Guards against a refresh that is lost because the read that ended the outage sets the position.
TEST_CASE("the whole table is read if a refresh is requested when an outage ends", "[gateway]")
{
    follower_fixture fixture;
    fixture.refreshesAfterOutage = true;
    CHECK(eventually([&] { return fixture.lastFrom == 5; }));
    fixture.isDown = true;
    CHECK(eventually([&] { return fixture.outages == 1; }));
    fixture.isDown = false;
    CHECK(eventually([&] { return fixture.recoveries == 1; }));
    fixture.lastFrom = -1;
    CHECK(eventually([&] { return fixture.lastFrom == 5; }));
    CHECK(fixture.wholeTables == 2);
}

// Guards against a follower that starts during an outage and waits forever for a read that the
// store never answers.
TEST_CASE("the first read is repeated while earlier ones are unanswered", "[gateway]")
{
    follower_fixture fixture(true);
    CHECK(eventually([&] { return fixture.wholeReads >= 2; }));
    fixture.isStalled = false;
    CHECK(eventually([&] { return fixture.lastFrom == 5; }));
    CHECK(fixture.wholeTables == 1);
}

// Guards against a recovery of the store that is noticed only when a long-poll read ends.
TEST_CASE("reads do not use long polling while the store does not answer", "[gateway]")
{
    follower_fixture fixture;
    CHECK(eventually([&] { return fixture.lastFrom == 5; }));
    fixture.isDown = true;
    CHECK(eventually([&] { return fixture.failedReads >= 3; }));
    fixture.isDown = false;
    CHECK(eventually([&] { return fixture.recoveries == 1; }));
    CHECK_FALSE(fixture.longPolledWhileDown);
}

// Guards against a lost answer that hides records until a long read times out.
TEST_CASE("a restarted read does not wait for a record", "[gateway]")
{
    follower_fixture fixture;
    CHECK(eventually([&] { return fixture.lastFrom == 5; }));
    CHECK(fixture.immediateReads == 0);
    boost::asio::post(fixture.io.context(), [&] { fixture.follower->restartRead(); });
    CHECK(eventually([&] { return fixture.immediateReads > 0; }));
    CHECK(fixture.wholeTables == 1);
}

} // namespace fescuedeck
