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
    explicit follower_fixture(bool startsStalled = false,
                              duration wholePageGrace = std::chrono::milliseconds(1))
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
            ++readsOfNew;
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
        settings.pace = [this] {
            return read_pace{ std::chrono::seconds(1), {}, readsStore.load() };
        };
        settings.checkInterval = settings.failedReadInterval = std::chrono::hours(1);
        settings.pollInterval = settings.gapGrace = std::chrono::milliseconds(5);
        settings.wholePageGrace = wholePageGrace;
        settings.wholeReadSpread = std::chrono::milliseconds(1);
        settings.firstReadInterval = std::chrono::milliseconds(5);
        settings.retry = { std::chrono::milliseconds(2), std::chrono::milliseconds(4) };
        table_follower_hooks hooks;
        hooks.onRecord = [this](const store_record &record) {
            ++records;
            lastOffset = record.offset;
        };
        hooks.onPage = [this](const applied_page &page) {
            peerPages += page.source == page_source::Peer ? 1 : 0;
        };
        hooks.onWholeTableRead = [this](const std::vector<std::string> &) { ++wholeTables; };
        hooks.onRestored = [this] { recordsAtRestoration = records.load(); };
        hooks.onOutage = [this](bool isUnavailable, duration) {
            isUnavailable ? ++outages : ++recoveries;
            if (!isUnavailable && refreshesAfterOutage)
                follower->refresh(whole_read::FromPeer);
        };
        follower = std::make_unique<table_follower>(io.context(), m_store, store_table::Endpoints,
                                                    settings, hooks, seededRandom(1));
        follower->start();
    }
    ~follower_fixture() { io.stop(); }

    // Leaves the store to peers once the follower has read the table, which ends at offset 5.
    void leaveStoreToPeers()
    {
        CHECK(eventually([&] { return lastFrom == 5; }));
        readsStore = false;
        // Unused once the read that was under way has ended.
        CHECK(eventually([&] {
            return io.run([&](boost::asio::yield_context) {
                return follower->access() == store_access::Unused;
            });
        }));
    }
    // Hands over a page of a peer and returns the follower's position after it.
    std::int64_t receive(std::int64_t from, std::int64_t next, std::int64_t pageEpoch = 1,
                         bool isWhole = false)
    {
        store_page page;
        for (std::int64_t offset = from; offset < next; ++offset)
            page.records.push_back({ "k" + std::to_string(offset), "1", offset, false });
        page.next = next;
        page.epoch = pageEpoch;
        return io.run([&](boost::asio::yield_context) {
            follower->receive(page, from, isWhole);
            return follower->position();
        });
    }

    test_io io{ 1 };
    std::atomic<bool> isDown{ false };
    std::atomic<bool> isStalled;
    std::atomic<int> recordsAtRestoration{ -1 };
    std::atomic<bool> hasGap{ false };
    std::atomic<bool> refreshesAfterOutage{ false };
    std::atomic<bool> readsStore{ true };
    std::atomic<int> readsOfNew{ 0 }, peerPages{ 0 };
    std::atomic<std::int64_t> lastOffset{ -1 }; // of the records that were applied
    std::atomic<std::int64_t> epoch{ 1 };       // of the store
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

// Guards against records that are lost, or applied twice or in the wrong order, when the pages of
// several readers arrive mixed.
TEST_CASE("pages of peers are applied if they continue what is known", "[gateway][tables]")
{
    follower_fixture fixture;
    fixture.leaveStoreToPeers();
    const int reads = fixture.readsOfNew;
    CHECK(fixture.receive(5, 7) == 7);
    CHECK(fixture.records == 3);
    CHECK(fixture.receive(5, 7) == 7); // from another reader
    CHECK(fixture.receive(4, 6) == 7);
    CHECK(fixture.records == 3);
    CHECK(fixture.receive(6, 9) == 9);
    CHECK(fixture.records == 5);
    CHECK(fixture.lastOffset == 8);
    CHECK(fixture.receive(9, 12, 0) == 9); // of a reader whose store is out of date
    CHECK(fixture.receive(0, 8, 1, true) == 9);
    CHECK(fixture.records == 5);
    CHECK(fixture.readsOfNew == reads);
    CHECK(fixture.wholeReads == 1);
}

// Guards against records that a reader has read and not passed on, because it died between.
TEST_CASE("after a gap the follower reads the store once", "[gateway][tables]")
{
    follower_fixture fixture;
    fixture.leaveStoreToPeers();
    const int reads = fixture.readsOfNew;
    CHECK(fixture.receive(6, 7) == 5);
    CHECK(fixture.records == 1);
    CHECK(eventually([&] { return fixture.readsOfNew == reads + 1; }));
    CHECK(fixture.receive(5, 6) == 6);
    CHECK(fixture.receive(6, 7) == 7);
    CHECK(fixture.readsOfNew == reads + 1);
}

// Guards against gateways that all read the whole table when the store was restored.
TEST_CASE("after an epoch change the whole table comes from a peer", "[gateway][tables]")
{
    follower_fixture fixture(false, std::chrono::seconds(5));
    fixture.leaveStoreToPeers();
    fixture.epoch = 2;
    CHECK(fixture.receive(3, 4, 2) == 0); // its offsets mean other records
    CHECK(fixture.records == 1);
    CHECK(fixture.receive(0, 3, 2, true) == 3);
    CHECK(fixture.recordsAtRestoration == 1);
    CHECK(fixture.wholeTables == 2);
    CHECK(fixture.wholeReads == 1);
    CHECK(fixture.receive(3, 4, 2) == 4);
}

// Guards against a follower without a table because no peer passes it on, for example as it is too
// large for a message.
TEST_CASE("a follower reads the whole table if no peer passes it on", "[gateway][tables]")
{
    follower_fixture fixture;
    fixture.leaveStoreToPeers();
    fixture.epoch = 2;
    CHECK(fixture.receive(3, 4, 2) == 0);
    CHECK(eventually([&] { return fixture.wholeTables == 2; }));
    CHECK(fixture.wholeReads == 2);
}

// Guards against announcements that are removed at the end of an outage before their endpoints have
// had the time to repeat them, and against an outage that only readers notice.
TEST_CASE("an outage that the readers see begins and ends for the others", "[gateway][tables]")
{
    follower_fixture fixture(false, std::chrono::seconds(5));
    fixture.refreshesAfterOutage = true;
    fixture.leaveStoreToPeers();
    const auto note = [&](store_access access) {
        fixture.io.run([&](boost::asio::yield_context) {
            fixture.follower->notePeers(access);
            return true;
        });
    };
    note(store_access::Unused);
    CHECK(fixture.outages == 0);
    note(store_access::Failing);
    CHECK(fixture.outages == 1);
    SECTION("by a digest")
    {
        note(store_access::Served);
    }
    SECTION("by the page of the reader that has read first") {}
    CHECK(fixture.receive(0, 5, 1, true) == 5);
    CHECK(fixture.recoveries == 1);
    CHECK(fixture.wholeTables == 2);
    CHECK(fixture.receive(0, 5, 1, true) == 5); // of another reader
    CHECK(fixture.wholeTables == 2);
    CHECK(fixture.wholeReads == 1);
}

// Guards against a gateway that treats a cut of its own link to the store as an outage and believes
// reports of departures, although its peers pass the table on.
TEST_CASE("a read that fails while peers read the store is no outage", "[gateway][tables]")
{
    follower_fixture fixture;
    fixture.leaveStoreToPeers();
    fixture.isDown = true;
    const int reads = fixture.readsOfNew;
    boost::asio::post(fixture.io.context(), [&] { fixture.follower->restartRead(); });
    CHECK(eventually([&] { return fixture.readsOfNew > reads; }));
    CHECK(eventually([&] {
        return fixture.io.run([&](boost::asio::yield_context) {
            return fixture.follower->access() == store_access::Failing;
        });
    }));
    CHECK(fixture.outages == 0);
    CHECK(fixture.receive(5, 6) == 6);
}

} // namespace fescuedeck
