// A test program that ends in the middle of its second test, for the test of
// scripts/run-test-program.
#include <cstdlib>

#include <catch2/catch.hpp>

TEST_CASE("a: passes")
{
    CHECK(true);
}

TEST_CASE("b: ends the program")
{
    std::_Exit(3);
}

TEST_CASE("c: does not run")
{
    CHECK(true);
}
