#include "fescuedeck/gateway/page_repeater.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };
constexpr duration digestLifetime = std::chrono::seconds(20);

time_point at(int millis)
{
    return start + std::chrono::milliseconds(millis);
}

table_records pageOf(std::int64_t from, std::int64_t next, std::int64_t epoch = 1)
{
    table_records page;
    page.table = "endpoints";
    page.epoch = epoch;
    page.from = from;
    page.next = next;
    return page;
}

peer_digest digestAt(std::int64_t next, std::int64_t epoch = 1)
{
    peer_digest digest;
    digest.tables = table_report{ store_access::Failing, { { "endpoints", { epoch, next } } } };
    return digest;
}

} // namespace

TEST_CASE("a peer that stays behind gets the pages that it lacks, again until it has them",
          "[gateway][tables]")
{
    peer_directory domain(digestLifetime);
    page_repeater repeater;
    repeater.add(pageOf(4, 5), start);
    repeater.add(pageOf(5, 7), start);
    repeater.add(pageOf(7, 8), start);
    domain.onDigest("behind", digestAt(5), start);
    domain.onDigest("ahead", digestAt(8), start);
    CHECK(repeater.update(domain, start).empty());
    CHECK(repeater.update(domain, at(600)).empty());
    const auto repeated = repeater.update(domain, at(700));
    REQUIRE(repeated.size() == 2);
    CHECK(repeated[0].peer == "behind");
    CHECK(repeated[0].page.from == 5);
    CHECK(repeated[1].page.from == 7);
    CHECK(repeater.update(domain, at(800)).empty());
    CHECK(repeater.update(domain, at(1400)).size() == 2);
    domain.onDigest("behind", digestAt(8), at(1500));
    CHECK(repeater.update(domain, at(3000)).empty());
}

TEST_CASE("a peer that makes progress is not overdue", "[gateway][tables]")
{
    peer_directory domain(digestLifetime);
    page_repeater repeater;
    repeater.add(pageOf(4, 8), start);
    for (int i = 0; i < 4; ++i) {
        domain.onDigest("peer", digestAt(4 + i), at(500 * i));
        CHECK(repeater.update(domain, at(500 * i)).empty());
    }
}

TEST_CASE("pages that cannot be applied are not repeated", "[gateway][tables]")
{
    peer_directory domain(digestLifetime);
    page_repeater repeater;
    repeater.add(pageOf(5, 6), start);
    domain.onDigest("too far behind", digestAt(3), start);
    domain.onDigest("in another epoch", digestAt(5, 2), start);
    CHECK(repeater.update(domain, start).empty());
    CHECK(repeater.update(domain, at(1000)).empty());
    domain.onDigest("late", digestAt(5), at(10100)); // the page has expired
    CHECK(repeater.update(domain, at(10100)).empty());
    CHECK(repeater.update(domain, at(11000)).empty());
}

} // namespace fescuedeck
