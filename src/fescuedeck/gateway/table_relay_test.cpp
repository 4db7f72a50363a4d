#include "fescuedeck/gateway/table_relay.h"

#include <catch2/catch.hpp>

#include "fescuedeck/net/test_io.h"

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };

peer_digest digestOf(store_access access, std::int64_t position)
{
    peer_digest digest;
    digest.tables = table_report{ access, { { "endpoints", { 1, position } } } };
    return digest;
}

} // namespace

// Guards against frames that fill the memory of a small host, once for each slow peer.
TEST_CASE("a page becomes a message unless it is too large", "[gateway][tables]")
{
    store_page page;
    page.epoch = 2;
    page.next = 12;
    page.records = { { "e1", "{}", 9, false }, { "e2", "", 11, true } };
    const auto message
            = toMessage(store_table::Endpoints, { page, 8, 12, false, page_source::Store });
    REQUIRE(message);
    CHECK(message->table == "endpoints");
    CHECK(message->from == 8);
    const store_page received = toPage(*message);
    CHECK(received.epoch == 2);
    CHECK(received.next == 12);
    CHECK(received.records.at(1).isRemoval);
    page.records[0].value.assign(maxPassedBytes, 'x');
    CHECK_FALSE(toMessage(store_table::Endpoints, { page, 8, 12, false, page_source::Store }));
}

// Guards against requests at endpoints that have left: a peer that the store serves no longer
// misses the page that is passed on before it says so. It cannot apply the following ones, and its
// own reads fail.
TEST_CASE("a page that a peer has missed is passed on again", "[gateway][tables]")
{
    test_io io{ 1 };
    const store_hooks noStore;
    table_follower follower(io.context(), noStore, store_table::Endpoints, {}, {}, seededRandom(1));
    peer_directory domain(std::chrono::hours(1));
    metrics counters;
    std::vector<std::string> receivers;
    table_relay relay("a", domain, counters,
                      [&](const std::vector<std::string> &peers, const table_records &page) {
                          CHECK(page.from == 5);
                          receivers.insert(receivers.end(), peers.begin(), peers.end());
                      });
    relay.add(store_table::Endpoints, follower);
    domain.onDigest("b", digestOf(store_access::Served, 5), start);
    relay.update(start);
    store_page page;
    page.epoch = 1;
    page.next = 6;
    page.records = { { "e1", "{}", 5, false } };
    relay.onPage(store_table::Endpoints, { page, 5, 6, false, page_source::Store }, start);
    CHECK(receivers.empty());
    domain.onDigest("b", digestOf(store_access::Failing, 5), start);
    relay.update(start);
    relay.update(start + std::chrono::seconds(1));
    CHECK(receivers == std::vector<std::string>{ "b" });
    io.stop();
}

} // namespace fescuedeck
