#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <catch2/trompeloeil.hpp>
