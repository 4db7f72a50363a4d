#include "fescuedeck/gateway/table_relay.h"

#include <catch2/catch.hpp>

namespace fescuedeck {

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

} // namespace fescuedeck
