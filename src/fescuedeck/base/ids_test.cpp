#include "fescuedeck/base/ids.h"

#include <catch2/catch.hpp>

namespace fescuedeck {

TEST_CASE("a UUIDv7 carries its creation time", "[base]")
{
    const unix_millis created(1764806400123);
    const std::string id = makeUuidV7(created, seededRandom(1));
    CHECK(id.size() == 36);
    CHECK(uuidV7Time(id) == created);
}

TEST_CASE("text that is not a UUIDv7 has no creation time", "[base]")
{
    // Guards against a key whose age cannot be known being taken as a fresh one.
    CHECK_FALSE(uuidV7Time(""));
    CHECK_FALSE(uuidV7Time("order-17"));
    CHECK_FALSE(uuidV7Time("550e8400-e29b-41d4-a716-446655440000")); // version 4
    CHECK_FALSE(uuidV7Time("0193a1b2-c3d4-7zzz-8123-456789abcdef"));
}

} // namespace fescuedeck
