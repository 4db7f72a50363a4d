#include "fescuedeck/base/error.h"

#include <catch2/catch.hpp>

namespace fescuedeck {

TEST_CASE("every error kind has a name and a remedy", "[base]")
{
    // Guards against a kind that is added to the enum and forgotten in a table.
    for (int value = 1; value <= static_cast<int>(errc::Internal); ++value) {
        const auto kind = static_cast<errc>(value);
        CHECK(errorName(kind) != "unknown");
        CHECK(make_error_code(kind).message() != "unknown");
    }
}

TEST_CASE("a failure's message ends with the remedy", "[base]")
{
    const failure error = makeFailure(errc::NoRoute, "model waiver: layers 8-16 have no endpoint");
    CHECK(error.message().find("layers 8-16") == 14);
    CHECK(error.message().find(error.remedy()) != std::string::npos);
}

} // namespace fescuedeck
